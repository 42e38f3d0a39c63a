#include "almondridge/gateway/endpointreach.h"

#include <algorithm>

namespace almondridge::gateway {
namespace {

/** Failed endpoints without a reached one between them from which on a cut is suspected. */
constexpr std::size_t FailedForSuspicion = 2;
/** The same for a cut; fewer if fewer are listed. */
constexpr std::size_t FailedForCut = 4;
/** Nothing is reached for this long in a cut: a part of the endpoints may still be in reach. */
constexpr Duration MinFailingTime = millis(300);
/** Endpoints that are tried at once to find out whether any can be reached. */
constexpr std::size_t SampleSize = 3;
constexpr Duration SampleInterval = millis(250);
/** Without a byte of any endpoint for this long while requests wait, connections are tried. */
constexpr Duration SilenceForSample = millis(500);

} // namespace

bool EndpointReach::change(Reach state, TimePoint now)
{
    if (state_ == state) {
        return false;
    }
    state_ = state;
    since_ = now;
    return true;
}

bool EndpointReach::onConnected(TimePoint now)
{
    connectedAt_ = now;
    nextSampleAt_ = {};
    failed_.clear();
    if (unheardSince_ != TimePoint {}) {
        unheardSince_ = now;
    }
    return change(Reach::Connected, now);
}

bool EndpointReach::onConnectFailed(const EndpointId &id, TimePoint now)
{
    if (failed_.empty()) {
        failingSince_ = now;
    }
    failed_.insert(id);
    const bool isEnough =
        failed_.size() >= std::min(FailedForCut, std::max<std::size_t>(listed_, 1));
    if (isEnough && failingSince_ + MinFailingTime <= now) {
        return change(Reach::Cut, now);
    }
    return state_ == Reach::Connected && failed_.size() >= FailedForSuspicion
           && change(Reach::Suspected, now);
}

void EndpointReach::onSent(TimePoint now)
{
    if (unheardSince_ == TimePoint {}) {
        unheardSince_ = now;
    }
}

void EndpointReach::onHeard()
{
    unheardSince_ = {};
}

bool EndpointReach::isSilent(TimePoint now) const noexcept
{
    return unheardSince_ != TimePoint {} && unheardSince_ + SilenceForSample <= now;
}

std::size_t EndpointReach::takeSample(TimePoint now)
{
    if (now < nextSampleAt_ || (failed_.empty() && !isSilent(now))) {
        return 0;
    }
    nextSampleAt_ = now + SampleInterval;
    return failed_.size() < FailedForSuspicion ? 1 : SampleSize;
}

} // namespace almondridge::gateway
