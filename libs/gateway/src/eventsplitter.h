/**
 * Cuts a stream of server-sent events into whole events, so that a stream that breaks in the
 * middle of one can be resumed at the event before.
 */
#pragma once

#include <string>
#include <string_view>

namespace almondridge::gateway {

class EventSplitter
{
public:
    /** Adds bytes and takes all events that are whole now, as they stand. */
    std::string feed(std::string_view bytes);
    /** The id of the last whole event; empty before the first one. */
    const std::string &lastId() const noexcept { return lastId_; }
    /** The piece of an event at the end. */
    const std::string &rest() const noexcept { return rest_; }
    void dropRest() { rest_.clear(); }

private:
    std::string rest_;
    std::string lastId_;
};

} // namespace almondridge::gateway
