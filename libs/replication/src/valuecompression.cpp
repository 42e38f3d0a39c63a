#include "almondridge/replication/valuecompression.h"

#include <zlib.h>

namespace almondridge::replication {
namespace {

/** A shorter value fits into a few packets uncompressed. */
constexpr std::size_t MinCompressedBytes = 4'096;
/** Larger than any value in the store; limits the memory that an invalid size can allocate. */
constexpr std::size_t MaxDecompressedBytes = std::size_t {64} << 20U;
/** Few values are large; clearing the cache beyond this drops those of removed keys. */
constexpr std::size_t MaxCachedValues = 16;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

} // namespace

std::string compressValue(std::string_view value)
{
    uLongf size = compressBound(value.size());
    std::string compressed(size, '\0');
    // It fails only if the buffer is too small, which compressBound excludes.
    compress2(bytesOf(compressed), &size, bytesOf(value), value.size(), Z_BEST_SPEED);
    compressed.resize(size);
    compressed.shrink_to_fit();
    return compressed;
}

std::optional<std::string> decompressValue(std::string_view compressed, std::size_t size)
{
    if (size > MaxDecompressedBytes) {
        return std::nullopt;
    }
    std::string value(size, '\0');
    uLongf written = size;
    const int status = uncompress(bytesOf(value), &written, bytesOf(compressed), compressed.size());
    return status == Z_OK && written == size ? std::optional(std::move(value)) : std::nullopt;
}

const std::string *CompressedValueCache::compressedFormOf(const Change &change)
{
    if (change.value_.size() < MinCompressedBytes) {
        return nullptr;
    }
    if (values_.size() >= MaxCachedValues) {
        values_.clear();
    }
    Compressed &compressed = values_[{change.topic_, change.key_}];
    if (compressed.offset_ != change.offset_ || compressed.size_ != change.value_.size()) {
        compressed = {change.offset_, change.value_.size(), compressValue(change.value_)};
    }
    return &compressed.bytes_;
}

} // namespace almondridge::replication
