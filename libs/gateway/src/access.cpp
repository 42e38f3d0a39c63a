#include "almondridge/gateway/access.h"

#include <algorithm>

namespace almondridge::gateway {
namespace {

/** Of the bound; the rest is for clocks that run apart. */
constexpr double TermShare = 0.9;

constexpr double NanosPerMilli = 1e6;

AccessVerdict withoutKey(CredentialState state)
{
    AccessVerdict verdict;
    verdict.access_ = state == CredentialState::Absent ? Access::KeyMissing : Access::KeyMalformed;
    return verdict;
}

} // namespace

KeyLease::KeyLease(std::int64_t boundMillis)
    : isBounded_(boundMillis > 0)
    , term_(
          static_cast<Duration::rep>(TermShare * NanosPerMilli * static_cast<double>(boundMillis)))
{ }

void KeyLease::confirm(TimePoint asOf)
{
    asOf_ = std::max(asOf_.value_or(asOf), asOf);
    until_ = *asOf_ + term_;
}

AccessVerdict checkAccess(const Config &config, const Route &route, const Credentials &credentials,
                          const KeyLease &lease, TimePoint now)
{
    AccessVerdict verdict;
    if (!config.accounts()) {
        return verdict;
    }
    if (!lease.holds(now)) {
        verdict.access_ = route.public_ ? Access::Anonymous : Access::Unproven;
        return verdict;
    }
    if (credentials.state_ != CredentialState::Present) {
        return route.public_ ? verdict : withoutKey(credentials.state_);
    }
    verdict.digest_ = digestOf(credentials.key_);
    if (const Account *account = config.accounts()->find(verdict.digest_)) {
        verdict.access_ = Access::Granted;
        verdict.account_ = *account;
    } else if (!route.public_) {
        verdict.access_ = Access::KeyUnknown;
    }
    return verdict;
}

bool isStillGranted(const Config &config, const AccessVerdict &granted, const KeyLease &lease,
                    TimePoint now)
{
    if (granted.access_ != Access::Granted) {
        return true;
    }
    const Account *account = config.accounts() ? config.accounts()->find(granted.digest_) : nullptr;
    return lease.holds(now) && account != nullptr && account->id_ == granted.account_.id_;
}

} // namespace almondridge::gateway
