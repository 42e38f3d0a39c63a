/**
 * Server-sent events out of a stream of bytes that is cut anywhere.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace almondridge::relay {

/** Collects bytes and gives the data of whole events. Holds at most one unfinished event. */
class SseReader
{
public:
    explicit SseReader(std::size_t maxEventBytes = DefaultMaxEventBytes);

    /** False when an event is longer than the limit: the sender speaks something else. */
    bool append(std::string_view bytes);
    bool hasEvent() const noexcept { return !events_.empty(); }
    /** The data of the next whole event; only when hasEvent(). */
    std::string takeEvent();

    static constexpr std::size_t DefaultMaxEventBytes = 262'144;

private:
    void endLine();

    std::size_t maxEventBytes_;
    std::string line_;
    std::string data_;
    bool hasData_ = false;
    std::deque<std::string> events_;
};

} // namespace almondridge::relay
