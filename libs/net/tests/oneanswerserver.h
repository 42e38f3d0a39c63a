/**
 * A server that sends given bytes to its only client, then closes the connection or resets it, or
 * repeats other bytes without end.
 */
#pragma once

#include "almondridge/net/http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace almondridge::net::testing {

class OneAnswerServer
{
public:
    /** endless: sent again and again after the bytes, until the client has closed. */
    OneAnswerServer(std::string bytes, bool reset, std::string endless = "")
        : endless_(std::move(endless))
        , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
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
    /** Whether the client has closed before it received more than an instance may keep. */
    bool wasGivenUp()
    {
        thread_.join();
        thread_ = std::thread([] {});
        return endlessSent_ < MaxEndlessBytes;
    }
    /** The connection may end now: the client has got the head. */
    void allowEnd() const { (void) ::write(mayEnd_[1], "x", 1); }

private:
    static constexpr std::size_t MaxEndlessBytes = 40'000'000;

    void serve(const std::string &bytes, bool reset) const
    {
        const int client = ::accept(listener_, nullptr, nullptr);
        char request[4'096];
        // Unread bytes would turn an orderly close into a reset.
        (void) ::recv(client, request, sizeof request, 0);
        (void) ::send(client, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (!endless_.empty()) {
            repeatEndless(client);
            ::close(client);
            return;
        }
        (void) ::read(mayEnd_[0], request, 1);
        if (reset) {
            const linger atOnce {1, 0};
            ::setsockopt(client, SOL_SOCKET, SO_LINGER, &atOnce, sizeof atOnce);
        }
        ::close(client);
    }

    void repeatEndless(int client) const
    {
        std::string piece;
        while (piece.size() < 65'536) {
            piece += endless_;
        }
        ssize_t sent = 0;
        while (sent >= 0 && endlessSent_ < MaxEndlessBytes) {
            sent = ::send(client, piece.data(), piece.size(), MSG_NOSIGNAL);
            endlessSent_ += static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
        }
    }

    std::string endless_;
    mutable std::atomic<std::size_t> endlessSent_ = 0;
    int listener_;
    int mayEnd_[2] {};
    std::thread thread_;
};

} // namespace almondridge::net::testing
