/**
 * How many requests an engine generates for, or has waiting for a slot.
 */
#pragma once

#include <algorithm>

namespace almondridge::gateway {

struct SlotUse
{
    int inTime_ = 0; ///< Those that can be in time still; they go first.
    int late_ = 0;

    int all() const noexcept { return inTime_ + late_; }
    void add(bool late) { ++(late ? late_ : inTime_); }
    /** Never below zero: what was told twice or late must not hide what is there. */
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

/** Until the last of so many requests gets a slot of an engine, in milliseconds. */
inline double slotWaitMillis(int requests, int slots, double meanSlotMillis)
{
    const int most = std::max(1, slots);
    return std::max(0, requests - most) * meanSlotMillis / most;
}

} // namespace almondridge::gateway
