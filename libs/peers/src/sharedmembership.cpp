#include "sharedmembership.h"

namespace almondridge::peers {
namespace {

/**
 * Bytes of one exchange besides its two bodies: HTTP/2 frames and fields in both directions (see
 * benchmarks/peers.cpp), and three TCP segments with 52 bytes of headers each (request, answer,
 * acknowledgement).
 */
constexpr double ExchangeOverheadBytes = 360;
/** Weight of the newest exchange in the moving average. */
constexpr double NewestWeight = 0.125;

} // namespace

SharedMembership::SharedMembership(MembershipSettings settings, PeerEvents &events,
                                   DigestListener onFreshHeartbeat)
    : self_(settings.self_)
    , events_(events)
    , onFreshHeartbeat_(std::move(onFreshHeartbeat))
    , membership_(std::move(settings))
{ }

void SharedMembership::reportEvents(std::unique_lock<std::mutex> &lock)
{
    const std::vector<MemberEvent> events = membership_.takeEvents();
    lock.unlock();
    for (const MemberEvent &event : events) {
        const PeerIdentity &member = event.member_;
        events_.report(nameOf(MemberEventNames, event.kind_), member.instance_.value(),
                       "domain=" + member.domain_.value() + " address=" + toString(member.address_)
                           + " incarnation=" + std::to_string(member.incarnation_));
    }
}

void SharedMembership::seed(const std::vector<PeerAddress> &addresses)
{
    const std::lock_guard lock(mutex_);
    membership_.seed(addresses, BootClock::now());
}

HeartbeatResult SharedMembership::onHeartbeat(const Heartbeat &heartbeat,
                                              const std::optional<PeerAddress> &answeringAddress)
{
    std::unique_lock lock(mutex_);
    const HeartbeatResult result =
        membership_.onHeartbeat(heartbeat, BootClock::now(), answeringAddress);
    const std::optional<Member> member = onFreshHeartbeat_ && result == HeartbeatResult::Fresh
                                             ? membership_.member(heartbeat.sender_.instance_)
                                             : std::nullopt;
    reportEvents(lock);
    if (member) {
        onFreshHeartbeat_(*member);
    }
    return result;
}

void SharedMembership::onNoAnswer(const PeerAddress &address)
{
    std::unique_lock lock(mutex_);
    membership_.onNoAnswer(address, BootClock::now());
    reportEvents(lock);
}

std::vector<HeartbeatTarget> SharedMembership::advance(TimePoint now)
{
    std::unique_lock lock(mutex_);
    std::vector<HeartbeatTarget> targets = membership_.advance(now);
    reportEvents(lock);
    return targets;
}

void SharedMembership::scheduleHeartbeatsNow(TimePoint now)
{
    const std::lock_guard lock(mutex_);
    membership_.scheduleHeartbeatsNow(now);
}

TimePoint SharedMembership::nextDeadline() const
{
    const std::lock_guard lock(mutex_);
    return membership_.nextDeadline();
}

Heartbeat SharedMembership::compose(const InstanceId &to)
{
    const std::lock_guard lock(mutex_);
    return membership_.compose(to, digest_);
}

void SharedMembership::setLeaving()
{
    const std::lock_guard lock(mutex_);
    membership_.setLeaving();
}

void SharedMembership::setDigest(nlohmann::json digest)
{
    const std::lock_guard lock(mutex_);
    digest_ = std::move(digest);
}

std::vector<Member> SharedMembership::members() const
{
    const std::lock_guard lock(mutex_);
    return membership_.members();
}

std::optional<Member> SharedMembership::member(const InstanceId &instance) const
{
    const std::lock_guard lock(mutex_);
    return membership_.member(instance);
}

void SharedMembership::onExchanged(std::size_t bodyBytes)
{
    const std::lock_guard lock(mutex_);
    const double bytes = static_cast<double>(bodyBytes) + ExchangeOverheadBytes;
    exchangeBytes_ =
        exchangeBytes_ == 0 ? bytes : exchangeBytes_ + NewestWeight * (bytes - exchangeBytes_);
    membership_.setExchangeBytes(exchangeBytes_);
}

Duration SharedMembership::longestInterval() const
{
    const std::lock_guard lock(mutex_);
    // No member has an empty domain, so this is the interval to other domains.
    return membership_.intervalTo(DomainId());
}

} // namespace almondridge::peers
