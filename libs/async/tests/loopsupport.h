/**
 * Support for tests on an event loop: runs it until a condition holds, and provides a raw server
 * and a raw client that send exactly the given bytes.
 */
#pragma once

#include "almondridge/async/connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

namespace almondridge::async::testing {

/** Runs the loop until condition holds; fails the test if it does not within the time limit. */
inline void runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    const TimePoint giveUp = BootClock::now() + millis(20'000);
    loop.context().restart();
    while (!condition() && BootClock::now() < giveUp) {
        loop.context().run_one_for(std::chrono::milliseconds(20));
    }
    BOOST_REQUIRE(condition());
}

/** Refuses connections. Its port stays taken, so that no other process begins to listen there. */
class RefusingAddress
{
public:
    explicit RefusingAddress(EventLoop &loop)
        : socket_(loop.context(), {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
    { }

    net::Address address() const { return {"127.0.0.1", socket_.local_endpoint().port()}; }

private:
    boost::asio::ip::tcp::socket socket_; ///< Bound, and not listening.
};

/** A server that passes each request to a function of the test. */
class RawServer
{
public:
    using Peer = std::shared_ptr<Connection>;
    /** Called with each complete request (head, and body if it has a Content-Length). */
    using Script = std::function<void(const Peer &peer, const std::string &request)>;

    RawServer(EventLoop &loop, Script script)
        : loop_(loop)
        , script_(std::move(script))
        , acceptor_(loop.context(), {boost::asio::ip::make_address_v4("127.0.0.1"), 0})
    {
        accept();
    }

    /** Closes all connections and refuses new ones. */
    void crash()
    {
        acceptor_.close();
        for (const Peer &peer : peers_) {
            peer->close();
        }
    }

    /** Reads nothing from connections that are accepted from now on. */
    void readNothing() { reads_ = false; }
    /** Called with each connection that is accepted from now on. */
    void onAccept(std::function<void(const Peer &)> handler) { onAccept_ = std::move(handler); }

    net::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    int connections() const { return connections_; }
    int requests() const { return requests_; }
    int closedByClient() const { return closedByClient_; }
    const std::string &lastRequest() const { return lastRequest_; }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](const boost::system::error_code &failure, Connection::Socket socket) {
                if (failure) {
                    return;
                }
                ++connections_;
                Peer peer = Connection::adopt(loop_, std::move(socket), {});
                peers_.push_back(peer);
                peer->onInput([this, raw = peer.get()] { onInput(raw->shared_from_this()); });
                peer->onClosed([this](CloseCause) { ++closedByClient_; });
                if (reads_) {
                    peer->startReading();
                }
                if (onAccept_) {
                    onAccept_(peer);
                }
                accept();
            });
    }

    void onInput(const Peer &peer)
    {
        std::string &input = peer->input();
        const std::size_t headEnd = input.find("\r\n\r\n");
        if (headEnd == std::string::npos) {
            return;
        }
        std::size_t length = 0;
        const std::size_t field = input.find("Content-Length: ");
        if (field < headEnd) {
            length = std::stoul(input.substr(field + 16));
        }
        const std::size_t whole = headEnd + 4 + length;
        if (input.size() < whole) {
            return;
        }
        lastRequest_ = input.substr(0, whole);
        input.erase(0, whole);
        ++requests_;
        script_(peer, lastRequest_);
    }

    EventLoop &loop_;
    Script script_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<Peer> peers_;
    std::string lastRequest_;
    std::function<void(const Peer &)> onAccept_;
    bool reads_ = true;
    int connections_ = 0;
    int requests_ = 0;
    int closedByClient_ = 0;
};

/** A client that sends given bytes and stores all received bytes. */
class RawClient
{
public:
    RawClient(EventLoop &loop, std::uint16_t port)
    {
        connection_ =
            Connection::connect(loop, {"127.0.0.1", port}, BootClock::now() + millis(10'000), {});
        connection_->onEstablished([this] { established_ = true; });
        connection_->onInput([this] {
            received_ += connection_->input();
            connection_->input().clear();
        });
        connection_->onClosed([this](CloseCause cause) {
            closed_ = true;
            cause_ = cause;
        });
    }

    void send(std::string_view text) { connection_->write(text); }
    void leave() { connection_->close(); }
    const std::string &received() const { return received_; }
    bool has(std::string_view text) const { return received_.find(text) != std::string::npos; }
    /** Whether the connection stands, and all bytes sent so far are on their way. */
    bool established() const { return established_; }
    bool closed() const { return closed_; }
    CloseCause cause() const { return cause_; }

private:
    std::shared_ptr<Connection> connection_;
    std::string received_;
    bool established_ = false;
    bool closed_ = false;
    CloseCause cause_ = CloseCause::EndOfStream;
};

/** A response with a Content-Length. */
inline std::string responseText(int status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace almondridge::async::testing
