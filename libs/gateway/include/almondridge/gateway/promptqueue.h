/**
 * What an engine has still to read, as a sum of prompt tokens for each urgency.
 */
#pragma once

#include <array>
#include <cstdint>

namespace almondridge::gateway {

/** How urgent a request is for an engine: 0 goes first. */
inline constexpr int Urgencies = 10;

/** Prompt tokens that an engine has still to read, by the urgency of their requests. */
struct PromptQueue
{
    std::array<std::int64_t, Urgencies> tokens_ {};

    void add(int urgency, std::int64_t tokens);
    /** Never below zero: what was told twice or late must not hide what is queued. */
    void remove(int urgency, std::int64_t tokens);
    void add(const PromptQueue &other);
    void remove(const PromptQueue &other);
    /** What is read before a new request of this urgency. */
    std::int64_t ahead(int urgency) const noexcept;
    std::int64_t all() const noexcept { return ahead(Urgencies - 1); }

    friend bool operator==(const PromptQueue &, const PromptQueue &) = default;
};

} // namespace almondridge::gateway
