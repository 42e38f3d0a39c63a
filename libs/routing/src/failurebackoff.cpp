#include "failurebackoff.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

constexpr Duration InitialBackoff = millis(500);
constexpr Duration MaxBackoff = millis(30'000);
constexpr int MaxDoublings = 6;
/** A probe without a result times out, so that a lost one does not block the endpoint forever. */
constexpr Duration ProbeTimeout = millis(2'000);

} // namespace

void FailureBackoff::onDispatched(TimePoint now)
{
    if (inBackoff()) {
        probeUntil_ = now + ProbeTimeout;
    }
}

void FailureBackoff::onFailure(TimePoint sentAt, TimePoint now)
{
    // A crash fails all streams of an engine at once. Attempts sent before the last counted failure
    // are part of it; counting each of them would turn one crash into the maximum back-off.
    if (failures_ > 0 && sentAt <= lastFailureAt_) {
        return;
    }
    const Duration delay = InitialBackoff * (1 << std::min(failures_, MaxDoublings));
    ++failures_;
    lastFailureAt_ = now;
    blockedUntil_ = now + std::min(delay, MaxBackoff);
    probeUntil_ = {};
}

void FailureBackoff::onSuccess(TimePoint sentAt)
{
    if (failures_ > 0 && sentAt > lastFailureAt_) {
        failures_ = 0;
    }
}

} // namespace almondridge::routing
