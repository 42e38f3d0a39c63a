/**
 * Compresses large values for the transfer between instances. A configuration of thousands of
 * routes is repetitive, and a slow link can carry it to many followers only when compressed.
 */
#pragma once

#include "almondridge/replication/topicreplica.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace almondridge::replication {

/** Compresses a value with zlib. */
std::string compressValue(std::string_view value);

/** Restores a value of `size` bytes; nullopt if the data is invalid or has another size. */
std::optional<std::string> decompressValue(std::string_view compressed, std::size_t size);

/** Caches compressed values, so that each is compressed once for all followers. */
class CompressedValueCache
{
public:
    /** nullptr: the value is sent uncompressed. The result is valid until the next call. */
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
