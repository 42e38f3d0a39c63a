/**
 * Splits a stream of server-sent events into their data.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace almondridge::standins {

/** Not thread-safe. */
class EventReader
{
public:
    void add(std::string_view bytes) { buffer_ += bytes; }
    /** The data of the next whole event; nullopt when none is whole yet. */
    std::optional<std::string> next();
    /** Forgets an event that came in part. */
    void clear() { buffer_.clear(); }

private:
    std::string buffer_;
};

} // namespace almondridge::standins
