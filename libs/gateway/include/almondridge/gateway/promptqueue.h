/**
 * What an engine has still to read, as a sum of prompt tokens for each urgency.
 */
#pragma once

#include <array>
#include <cstdint>

namespace almondridge::gateway {

/** How urgent a request is for an engine: 0 goes first. */
inline constexpr int UrgencyLevels = 10;

/**
 * A request that cannot be in time any more goes behind all that can, whatever its route: served
 * in the order of arrival, a queue that is longer than an objective makes every request late.
 * Urgencies from this one on are for requests that are late.
 */
inline constexpr int FirstLateUrgency = UrgencyLevels / 2;

/** Prompt tokens that an engine has still to read, by the urgency of their requests. */
struct PromptQueue
{
    std::array<std::int64_t, UrgencyLevels> tokens_ {};

    void add(int urgency, std::int64_t tokens);
    /** Never below zero: what was told twice or late must not hide what is queued. */
    void remove(int urgency, std::int64_t tokens);
    void add(const PromptQueue &other);
    void remove(const PromptQueue &other);
    /** What is read before a new request of this urgency. */
    std::int64_t ahead(int urgency) const noexcept;
    std::int64_t all() const noexcept { return ahead(UrgencyLevels - 1); }

    friend bool operator==(const PromptQueue &, const PromptQueue &) = default;
};

} // namespace almondridge::gateway
