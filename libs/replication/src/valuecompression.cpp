#include "almondridge/replication/valuecompression.h"

#include <zlib.h>

namespace almondridge::replication {
namespace {

/** A shorter value fits into a few packets as it is. */
constexpr std::size_t LeastPackedBytes = 4'096;
/** More than any value of the store: a broken length asks for no more memory than that. */
constexpr std::size_t MostUnpackedBytes = std::size_t {64} << 20U;
/** Large values are few; beyond it those of keys that are gone are forgotten. */
constexpr std::size_t MostPackedValues = 16;

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

} // namespace

std::string pack(std::string_view value)
{
    uLongf size = compressBound(value.size());
    std::string packed(size, '\0');
    // It fails only where the room is too small, which that bound excludes.
    compress2(bytesOf(packed), &size, bytesOf(value), value.size(), Z_BEST_SPEED);
    packed.resize(size);
    packed.shrink_to_fit();
    return packed;
}

std::optional<std::string> unpack(std::string_view packed, std::size_t size)
{
    if (size > MostUnpackedBytes) {
        return std::nullopt;
    }
    std::string value(size, '\0');
    uLongf written = size;
    const int status = uncompress(bytesOf(value), &written, bytesOf(packed), packed.size());
    return status == Z_OK && written == size ? std::optional(std::move(value)) : std::nullopt;
}

const std::string *PackedValues::of(const Change &change)
{
    if (change.value_.size() < LeastPackedBytes) {
        return nullptr;
    }
    if (values_.size() >= MostPackedValues) {
        values_.clear();
    }
    Packed &packed = values_[{change.topic_, change.key_}];
    if (packed.offset_ != change.offset_ || packed.size_ != change.value_.size()) {
        packed = {change.offset_, change.value_.size(), pack(change.value_)};
    }
    return &packed.bytes_;
}

} // namespace almondridge::replication
