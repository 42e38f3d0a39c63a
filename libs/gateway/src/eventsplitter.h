/**
 * Splits a stream of server-sent events into complete events, so that a stream that breaks in the
 * middle of an event can be resumed after the last complete one.
 */
#pragma once

#include "almondridge/net/bodyend.h"

#include <string>
#include <string_view>

namespace almondridge::gateway {

class EventSplitter
{
public:
    /** Adds bytes and returns all events that are complete now, unchanged. */
    std::string feed(std::string_view bytes);
    /** The id of the last complete event that has one; empty if there is none. */
    const std::string &lastEventId() const noexcept { return lastEventId_; }
    /** The incomplete event at the end of the bytes. */
    const std::string &partialEvent() const noexcept { return partialEvent_; }
    void discardPartialEvent();

private:
    net::EventScanner scanner_;
    std::string partialEvent_;
    std::string lastEventId_;
};

} // namespace almondridge::gateway
