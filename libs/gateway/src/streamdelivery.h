/**
 * The stream of events that one caller gets, from one answer or from several that go on with each
 * other. All of it goes out here, so that the position of the stream is what the caller has been
 * handed, whatever else was received, buffered or thrown away. Nothing but accepted answers can
 * begin, go on with or end it.
 */
#pragma once

#include "acceptedanswer.h"
#include "almondridge/async/httpserver.h"

#include <string>
#include <string_view>

namespace almondridge::gateway {

class StreamDelivery
{
public:
    /** lastEventId: where the caller's own attempt goes on with a stream; empty: at its start. */
    StreamDelivery(async::HttpServer &server, async::CallId call, std::string lastEventId);

    /** Whether the head of the response was sent to the caller. */
    bool hasBegun() const noexcept { return hasBegun_; }
    /** The id of the last event that the caller has been handed; empty: none with an id. */
    const std::string &position() const noexcept { return position_; }

    /** Whether these events, the first of another answer, may come after the position. */
    bool isFollowedBy(std::string_view events) const;

    void begin(const AcceptedAnswer &answer, net::Headers headers);
    /** Hands on whole events of the answer. */
    void handOn(const AcceptedAnswer &answer, std::string_view events);
    /** The stream is complete, as the answer was. */
    void end(const AcceptedAnswer &answer);

private:
    async::HttpServer &server_;
    async::CallId call_;
    std::string position_;
    bool hasBegun_ = false;
};

} // namespace almondridge::gateway
