/**
 * Starting a stand-in's HTTP server.
 */
#pragma once

#include "almondridge/net/httpserver.h"

namespace almondridge::standins {

/** Listens and hands each exchange to self->*handle. Unavailable: the address is taken. */
template <typename Self>
Result<net::HttpServer> startServer(const net::Address &listen, int workers, Self *self,
                                    void (Self::*handle)(net::ServerExchange &))
{
    return net::HttpServer::Builder()
        .listen(listen)
        .workers(workers)
        .handler([self, handle](net::ServerExchange &exchange) { (self->*handle)(exchange); })
        .start();
}

} // namespace almondridge::standins
