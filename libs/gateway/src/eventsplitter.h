/**
 * Splits a stream of server-sent events into complete events, so that only whole ones are handed
 * on. What was split counts for nothing: the position of a stream is StreamDelivery's.
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
    /** The incomplete event at the end of the bytes. */
    const std::string &partialEvent() const noexcept { return partialEvent_; }
    void discardPartialEvent();

private:
    net::EventScanner scanner_;
    std::string partialEvent_;
};

} // namespace almondridge::gateway
