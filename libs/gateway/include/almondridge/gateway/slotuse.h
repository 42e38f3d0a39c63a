/**
 * Counts the requests that an engine runs or that wait for one of its slots.
 */
#pragma once

#include <algorithm>

namespace almondridge::gateway {

struct SlotUse
{
    int inTime_ = 0; ///< Requests that can still meet their deadline; they go first.
    int late_ = 0;   ///< Requests that can no longer meet it.

    int all() const noexcept { return inTime_ + late_; }
    void add(bool late) { ++(late ? late_ : inTime_); }
    /**
     * Stops at zero: a count that was received twice or late must not hide requests that are there.
     */
    void remove(bool late) { remove(late ? SlotUse {0, 1} : SlotUse {1, 0}); }
    void add(const SlotUse &other)
    {
        inTime_ += other.inTime_;
        late_ += other.late_;
    }
    void remove(const SlotUse &other)
    {
        inTime_ = std::max(0, inTime_ - other.inTime_);
        late_ = std::max(0, late_ - other.late_);
    }

    friend bool operator==(const SlotUse &, const SlotUse &) = default;
};

/**
 * Returns the time, in milliseconds, until the last of these requests gets a slot of the engine.
 */
inline double slotWaitMillis(int requests, int slots, double meanSlotMillis)
{
    const int slotCount = std::max(1, slots);
    return std::max(0, requests - slotCount) * meanSlotMillis / slotCount;
}

} // namespace almondridge::gateway
