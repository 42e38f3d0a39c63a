/**
 * One exchange with a server of the test, and what is reported of its answer.
 */
#pragma once

#include "almondridge/async/httpclient.h"

#include "../../net/tests/brokenheads.h"
#include "loopsupport.h"

namespace almondridge::async::testing {

struct Reported
{
    int status_ = 0; ///< 0: no head was reported.
    std::string body_;
    std::optional<ExchangeFailure> failure_;
    bool ended_ = false;

    bool over() const { return ended_ || failure_.has_value(); }
};

struct ExchangeFixture
{
    std::shared_ptr<Reported> start(const net::Address &address, std::size_t bodyBytes)
    {
        const auto reported = std::make_shared<Reported>();
        ExchangeRequest request;
        request.peer_ = net::toString(address);
        request.address_ = address;
        request.text_ = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes)
                        + "\r\n\r\n" + std::string(bodyBytes, 'b');
        requestBytes_ = request.text_.size();
        request.requestId_ = "r1";
        request.connectBy_ = BootClock::now() + millis(5'000);
        ExchangeEvents events;
        events.onHead_ = [reported](ResponseHead &head) { reported->status_ = head.status_; };
        events.onBody_ = [reported](const std::string &bytes) { reported->body_ += bytes; };
        events.onEnd_ = [reported] { reported->ended_ = true; };
        events.onFailed_ = [reported](ExchangeFailure failure) { reported->failure_ = failure; };
        client_.start(std::move(request), std::move(events));
        return reported;
    }

    /** A server's answer in two parts, to show that it doesn't matter where they are divided. */
    std::shared_ptr<Reported> answerWith(const net::testing::RawHead &head, std::size_t firstPart)
    {
        const std::string bytes = head.bytes_ + std::string(net::testing::HeadsBody);
        std::list<Timer> timers;
        RawServer server(loop_, [&](const RawServer::Peer &peer, const std::string &) {
            peer->write(bytes.substr(0, firstPart));
            timers.emplace_back(loop_).startAt(BootClock::now() + millis(2),
                                               [&bytes, peer, firstPart] {
                                                   peer->write(bytes.substr(firstPart));
                                                   peer->closeAfterWriting();
                                               });
        });
        auto reported = start(server.address(), 0);
        runUntil(loop_, [&] { return reported->over(); });
        connectionsLeft_ = client_.connections(net::toString(server.address()));
        return reported;
    }

    EventLoop loop_;
    HttpClient client_ {loop_};
    std::size_t requestBytes_ = 0;
    std::size_t connectionsLeft_ = 0; ///< In the client's pool after the last answer.
};

} // namespace almondridge::async::testing
