/**
 * A server that sends given bytes to its only client, then closes the connection or resets it.
 */
#pragma once

#include "almondridge/net/http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace almondridge::net::testing {

class OneAnswerServer
{
public:
    OneAnswerServer(std::string bytes, bool reset)
        : listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in own {};
        own.sin_family = AF_INET;
        own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(listener_, reinterpret_cast<const sockaddr *>(&own), sizeof own);
        ::listen(listener_, 1);
        ::pipe(mayEnd_);
        thread_ = std::thread([this, bytes = std::move(bytes), reset] { serve(bytes, reset); });
    }
    ~OneAnswerServer()
    {
        thread_.join();
        for (const int descriptor : {listener_, mayEnd_[0], mayEnd_[1]}) {
            ::close(descriptor);
        }
    }
    OneAnswerServer(const OneAnswerServer &) = delete;
    OneAnswerServer &operator=(const OneAnswerServer &) = delete;

    Address address() const
    {
        sockaddr_in own {};
        socklen_t size = sizeof own;
        ::getsockname(listener_, reinterpret_cast<sockaddr *>(&own), &size);
        return {"127.0.0.1", ntohs(own.sin_port)};
    }
    /** The connection may end now: the client has got the head. */
    void allowEnd() const { (void) ::write(mayEnd_[1], "x", 1); }

private:
    void serve(const std::string &bytes, bool reset) const
    {
        const int client = ::accept(listener_, nullptr, nullptr);
        char request[4'096];
        // Unread bytes would turn an orderly close into a reset.
        (void) ::recv(client, request, sizeof request, 0);
        (void) ::send(client, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        (void) ::read(mayEnd_[0], request, 1);
        if (reset) {
            const linger atOnce {1, 0};
            ::setsockopt(client, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        }
        ::close(client);
    }

    int listener_;
    int mayEnd_[2] {};
    std::thread thread_;
};

} // namespace almondridge::net::testing
