#include "almondridge/gateway/leaderelection.h"

#include "almondridge/base/log.h"

namespace almondridge::gateway {
namespace {

/** Time for the instances to discover each other, which decides which one queries the store. */
constexpr Duration DiscoveryTime = millis(2'500);

} // namespace

LeaderElection::LeaderElection(async::EventLoop &loop, LeaderStore &store,
                               LeaderLeaseSettings settings)
    : store_(store)
    , settings_(settings)
    , state_(settings, BootClock::now())
    , renewal_(loop)
{ }

void LeaderElection::start()
{
    running_ = true;
    // Delayed, because each instance that joins the group may take the lease from another one, and
    // each new leader has to wait before it may give orders.
    renewal_.startAt(BootClock::now() + DiscoveryTime, [this] { renew(); });
}

void LeaderElection::stop()
{
    running_ = false;
    renewal_.stop();
}

std::optional<LeaderLease> LeaderElection::lease() const
{
    return running_ ? state_.lease(BootClock::now()) : std::nullopt;
}

void LeaderElection::onHigherFenceSeen()
{
    state_.onHigherFenceSeen(BootClock::now());
}

void LeaderElection::renew()
{
    const TimePoint askedAt = BootClock::now();
    renewal_.startAt(askedAt + millis(settings_.renewMillis_), [this] { renew(); });
    store_.queryLeader([this, askedAt](std::optional<bool> isNamed) {
        if (!isNamed || !running_) {
            return;
        }
        if (*isNamed != state_.wasNamed()) {
            logEvent(LogLevel::Info, "authority", {{"named", *isNamed ? "yes" : "no"}});
        }
        state_.onLeaderReply(*isNamed, askedAt, BootClock::now());
        claimFenceIfNeeded();
    });
}

void LeaderElection::claimFenceIfNeeded()
{
    if (claiming_ || !state_.needsFence(BootClock::now())) {
        return;
    }
    claiming_ = true;
    store_.claimFence([this](const std::optional<FenceClaim> &claim) {
        claiming_ = false;
        if (!claim) {
            return;
        }
        state_.onFenceClaimed(*claim, BootClock::now());
        logEvent(LogLevel::Info, "fence_claimed",
                 {{"offset", claim->offset_}, {"first", claim->isFirst_ ? "yes" : "no"}});
    });
}

} // namespace almondridge::gateway
