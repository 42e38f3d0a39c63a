/**
 * Prefill backlog of an engine: queued prompt tokens per urgency level.
 */
#pragma once

#include <array>
#include <cstdint>

namespace almondridge::gateway {

/** Number of urgency levels of requests at an engine; level 0 is served first. */
inline constexpr int UrgencyLevels = 10;

/**
 * First urgency level of requests that can't meet their objective any more. They are served after
 * all that still can, whatever their route: if they were served in order of arrival, a queue longer
 * than the objective would make every request late.
 */
inline constexpr int FirstLateUrgency = UrgencyLevels / 2;

/** Prompt tokens queued at an engine, by the urgency of their requests. */
struct PromptQueue
{
    std::array<std::int64_t, UrgencyLevels> tokens_ {};

    void add(int urgency, std::int64_t tokens);
    /** Stops at zero: removals reported twice or late must not hide tokens that are queued. */
    void remove(int urgency, std::int64_t tokens);
    void add(const PromptQueue &other);
    void remove(const PromptQueue &other);
    /** Tokens that are prefilled before a new request of this urgency. */
    std::int64_t ahead(int urgency) const noexcept;
    std::int64_t all() const noexcept { return ahead(UrgencyLevels - 1); }

    friend bool operator==(const PromptQueue &, const PromptQueue &) = default;
};

} // namespace almondridge::gateway
