/**
 * An HTTP/1.1 server based on CivetWeb, with one worker thread per open connection.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/net/bodymemory.h"
#include "almondridge/net/http.h"

#include <functional>
#include <memory>

struct mg_connection;

namespace almondridge::net {

/** A request that is being answered. Allocated on the stack of the worker. */
class ServerExchange
{
public:
    ServerExchange(mg_connection *connection, BodyMemory &bodies);

    std::string_view method() const noexcept;
    /** The path without the query, as sent. */
    std::string_view path() const noexcept;
    /** The query without its question mark; empty when there is none. */
    std::string_view query() const noexcept;
    /** The decoded value of a query field; empty when there is none. */
    std::string queryValue(std::string_view name) const;
    /** The header's value; empty when there is none. */
    std::string_view header(std::string_view name) const noexcept;
    /** All headers, for forwarding. */
    Headers headers() const;

    /**
     * Reads the complete body. Overloaded: longer than limit bytes. TimedOut: not received by
     * deadline. Interrupted: the connection ended before the body did. NoMemory: the bodies of all
     * requests together take what they may. What is read counts until the request is answered.
     */
    Result<std::string> readBody(std::size_t limit, TimePoint deadline);

    /** Sends a complete response. Returns false if the caller has disconnected. */
    bool respond(int status, std::string_view contentType, std::string_view body,
                 const Headers &extra = {});

    /** Starts a chunked response. Returns false if the caller has disconnected. */
    bool beginStream(int status, std::string_view contentType, const Headers &extra = {});
    /** Sends one chunk. Returns false if the caller has disconnected. */
    bool writeChunk(std::string_view bytes);
    /** Sends the final, empty chunk. Returns false if the caller has disconnected. */
    bool endStream();
    /** Closes the connection after this response instead of waiting for another request. */
    void closeAfterAnswer() noexcept;

    /**
     * The caller's socket for polling, or -1 if it was not found. CivetWeb does not expose it, so
     * it is found by comparing the addresses of this process's sockets.
     */
    int callerSocket() const noexcept;
    /** Whether the caller closed or reset its connection; checked without consuming input. */
    bool callerGone() const noexcept;

    /** Whether a response was started. */
    bool answered() const noexcept { return answered_; }
    /** "ip:port" of the caller, for logs. */
    std::string callerAddress() const;

private:
    mg_connection *connection_;
    HeldBody body_;
    mutable int callerSocket_;
    mutable bool callerSocketKnown_ = false;
    bool answered_ = false;
    bool closeAfterAnswer_ = false;
};

using ServerHandler = std::function<void(ServerExchange &)>;

/** A running server; stops listening and joins its workers when destroyed. */
class HttpServer
{
public:
    class Builder;

    HttpServer(HttpServer &&) noexcept;
    HttpServer &operator=(HttpServer &&) noexcept;
    ~HttpServer();

    /** The listening port; the assigned one if port 0 was requested. */
    std::uint16_t port() const noexcept;
    /** Stops listening and joins the workers. */
    void stop();

private:
    struct State;
    explicit HttpServer(std::unique_ptr<State> state) noexcept;

    std::unique_ptr<State> state_;
};

/** Collects the settings of a server. */
class HttpServer::Builder
{
public:
    Builder &listen(Address address);
    /** Worker threads; one connection occupies one. */
    Builder &workers(int count);
    /** Maximum number of accepted connections that wait for a worker. */
    Builder &queue(int connections);
    /** Timeout of a single read or write on the connection of a caller, in milliseconds. */
    Builder &callerTimeout(std::int64_t milliseconds);
    /** Memory of the bodies of all requests together, in bytes; 0: without a limit. */
    Builder &bodyMemory(std::size_t bytes);
    /** Called on a worker for each request; if it sends no response, the server answers 500. */
    Builder &handler(ServerHandler handler);
    /** Fails with Unavailable if the port is in use. */
    Result<HttpServer> start();

private:
    Address address_ {"127.0.0.1", 0};
    int workers_ = 32;
    int queue_ = 1024;
    std::int64_t callerTimeout_ = 10'000;
    std::size_t bodyMemory_ = 0;
    ServerHandler handler_;
};

} // namespace almondridge::net
