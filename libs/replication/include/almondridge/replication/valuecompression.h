/**
 * Large values in a short form for the way between instances: a configuration of thousands of
 * routes repeats itself, and a narrow link bears it to many followers only when it is short.
 */
#pragma once

#include "almondridge/replication/topicreplica.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace almondridge::replication {

/** The zlib form of a value. */
std::string compressValue(std::string_view value);

/** The value of `size` bytes that was packed; nullopt: it is no such form, or of another size. */
std::optional<std::string> decompressValue(std::string_view compressed, std::size_t size);

/** Packed forms of large values, each worked out once for all followers that are sent it. */
class CompressedValueCache
{
public:
    /** nullptr: the value is sent as it is. Valid until the next call. */
    const std::string *compressedFormOf(const Change &change);

private:
    struct Compressed
    {
        LogOffset offset_ = 0;
        std::size_t size_ = 0;
        std::string bytes_;
    };

    std::map<std::pair<Topic, std::string>, Compressed> values_;
};

} // namespace almondridge::replication
