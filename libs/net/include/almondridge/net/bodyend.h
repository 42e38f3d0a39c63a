/**
 * Decides whether a response's body may end at the bytes received so far, by its content type: an
 * event stream that ends inside an event was broken off, whatever its framing says.
 */
#pragma once

#include "almondridge/net/http.h"

#include <cstddef>
#include <string_view>

namespace almondridge::net {

/** Finds the ends of server-sent events, with any kind of line end. */
class EventScanner
{
public:
    /** Returns the number of bytes up to the end of the last event that ends in them; 0: none. */
    std::size_t feed(std::string_view bytes);
    /** Whether the bytes so far end with an event. */
    bool isAfterEvent() const noexcept { return place_ == Place::AfterEvent; }
    /** Whether no byte was fed, or the bytes so far end with an event. */
    bool isBetweenEvents() const noexcept { return place_ != Place::InEvent; }

private:
    enum class Place { Start, InEvent, AfterEvent };

    Place place_ = Place::Start;
    bool lineEmpty_ = true;
    bool afterCr_ = false;
};

/** Whether the headers say that the body is a stream of server-sent events. */
bool isEventStream(const Headers &headers) noexcept;

class BodyEnd
{
public:
    explicit BodyEnd(const Headers &headers)
        : isEventStream_(isEventStream(headers))
    { }

    void onBytes(std::string_view bytes);
    /**
     * Whether the body may end here. marked: its framing marks the end (a length or the last
     * chunk); if only the end of the connection does, an event stream has to end with an event.
     */
    bool isPossible(bool marked) const noexcept;

private:
    bool isEventStream_;
    EventScanner events_;
};

} // namespace almondridge::net
