/** A connection of HttpServer. */
#pragma once

#include "almondridge/async/httpserver.h"

namespace almondridge::async {

struct HttpServer::Peer
{
    Peer(EventLoop &loop, std::uint64_t number, std::shared_ptr<Connection> connection)
        : number_(number)
        , connection_(std::move(connection))
        , deadline_(loop)
        , held_(loop.memory())
        , progressAt_(BootClock::now())
    { }
    ~Peer() { connection_->close(); }
    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    std::uint64_t number_;
    std::shared_ptr<Connection> connection_;
    Timer deadline_;
    std::unique_ptr<RequestParser> parser_ {}; ///< While a request is being read.
    TimePoint startedAt_ {};
    Listener listener_ = Listener::Callers;
    std::uint64_t call_ = 0; ///< The active call; 0 if there is none.
    bool keepAlive_ = true;
    bool http10_ = false;
    bool chunked_ = false;
    bool bodyless_ = false;      ///< The request is a HEAD, whose answer ends with its head.
    bool expectHandled_ = false; ///< The Expect header of the request was handled.
    bool closing_ = false;       ///< Ends once its last answer is written.
    HeldBytes held_;             ///< Of the parser.
    TimePoint progressAt_ {};
    std::uint64_t progressMark_ = 0; ///< Bytes received and written at that time.
    std::uint64_t receivedBytes_ = 0;
    std::uint64_t idleMark_ = 0; ///< Bytes written when the idle time began.

    std::size_t heldBytes() const { return connection_->heldBytes() + held_.bytes(); }
    bool isReading() const
    {
        return call_ == 0 && !closing_ && (parser_ != nullptr || !connection_->unread().empty());
    }
    bool isIdle() const
    {
        return call_ == 0 && parser_ == nullptr && connection_->unread().empty()
               && connection_->unwritten() == 0;
    }
};

} // namespace almondridge::async
