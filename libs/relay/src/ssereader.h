/**
 * Incremental parser for server-sent events.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace almondridge::relay {

/** Collects bytes, which may be split anywhere, and returns the data of complete events. */
class SseReader
{
public:
    explicit SseReader(std::size_t maxEventBytes = DefaultMaxEventBytes);

    /** Adds bytes. False when an event exceeds the limit. */
    bool append(std::string_view bytes);
    bool hasEvent() const noexcept { return !events_.empty(); }
    /** Returns the data of the next complete event. Requires hasEvent(). */
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
