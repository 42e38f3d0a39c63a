#include "almondridge/net/bodymemory.h"

namespace almondridge::net {

bool BodyMemory::take(std::size_t bytes) noexcept
{
    const std::size_t before = held_.fetch_add(bytes);
    if (limit_ == 0 || before + bytes <= limit_) {
        return true;
    }
    held_ -= bytes;
    return false;
}

bool HeldBody::grow(std::size_t capacity)
{
    if (capacity <= bytes_) {
        return true;
    }
    const std::size_t more = capacity - bytes_;
    if (!memory_.take(more)) {
        return false;
    }
    bytes_ = capacity;
    return true;
}

} // namespace almondridge::net
