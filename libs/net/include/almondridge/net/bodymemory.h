/**
 * Bounds the memory of all request bodies that a server with worker threads holds. Thread-safe.
 */
#pragma once

#include <atomic>
#include <cstddef>
#include <utility>

namespace almondridge::net {

class BodyMemory
{
public:
    /** 0: without a limit. */
    explicit BodyMemory(std::size_t limit = 0)
        : limit_(limit)
    { }

    std::size_t held() const noexcept { return held_; }

private:
    friend class HeldBody;

    bool take(std::size_t bytes) noexcept;

    std::size_t limit_;
    std::atomic<std::size_t> held_ {0};
};

/** A body's part of the memory, which is given back with this object. */
class HeldBody
{
public:
    explicit HeldBody(BodyMemory &memory)
        : memory_(memory)
    { }
    ~HeldBody() { memory_.held_ -= bytes_; }
    HeldBody(const HeldBody &) = delete;
    HeldBody &operator=(const HeldBody &) = delete;

    /** Takes as many bytes as a body of that capacity needs; false: there is no room for it. */
    bool grow(std::size_t capacity);

private:
    BodyMemory &memory_;
    std::size_t bytes_ = 0;
};

} // namespace almondridge::net
