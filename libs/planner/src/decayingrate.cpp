#include "decayingrate.h"

#include <cmath>

namespace almondridge::planner {

DecayingRate::DecayingRate(Duration window)
    : windowSeconds_(toSeconds(window))
{ }

void DecayingRate::add(double amount, TimePoint now)
{
    if (!started_) {
        started_ = now;
        updated_ = now;
        return;
    }
    pending_ += amount;
    if (now <= updated_) {
        return;
    }
    const double interval = toSeconds(now - updated_);
    const double kept = std::exp(-interval / windowSeconds_);
    value_ = value_ * kept + pending_ / interval * (1 - kept);
    weight_ = weight_ * kept + (1 - kept);
    pending_ = 0;
    updated_ = now;
}

double DecayingRate::perSecond() const noexcept
{
    return weight_ > 0 ? value_ / weight_ : 0;
}

} // namespace almondridge::planner
