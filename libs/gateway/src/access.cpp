#include "almondridge/gateway/access.h"

#include <algorithm>

namespace almondridge::gateway {
namespace {

/** Share of the bound; the rest allows for clock drift. */
constexpr double LeaseTermShare = 0.9;

constexpr double NanosPerMilli = 1e6;

AccessResult missingKeyResult(CredentialState state)
{
    AccessResult result;
    result.access_ = state == CredentialState::Absent ? Access::KeyMissing : Access::KeyMalformed;
    return result;
}

} // namespace

KeyLease::KeyLease(std::int64_t boundMillis)
    : isBounded_(boundMillis > 0)
    , term_(static_cast<Duration::rep>(LeaseTermShare * NanosPerMilli
                                       * static_cast<double>(boundMillis)))
{ }

void KeyLease::confirm(TimePoint asOf)
{
    asOf_ = std::max(asOf_.value_or(asOf), asOf);
    until_ = *asOf_ + term_;
}

AccessResult checkAccess(const Config &config, const Route &route, const Credentials &credentials,
                         const KeyLease &lease, TimePoint now)
{
    AccessResult result;
    if (!config.accounts()) {
        return result;
    }
    if (!lease.holds(now)) {
        result.access_ = route.public_ ? Access::Anonymous : Access::Unconfirmed;
        return result;
    }
    if (credentials.state_ != CredentialState::Present) {
        return route.public_ ? result : missingKeyResult(credentials.state_);
    }
    result.digest_ = digestOf(credentials.key_);
    if (const Account *account = config.accounts()->find(result.digest_)) {
        result.access_ = Access::Granted;
        result.account_ = *account;
    } else if (!route.public_) {
        result.access_ = Access::KeyUnknown;
    }
    return result;
}

bool isStillGranted(const Config &config, const AccessResult &granted, const KeyLease &lease,
                    TimePoint now)
{
    if (granted.access_ != Access::Granted) {
        return true;
    }
    const Account *account = config.accounts() ? config.accounts()->find(granted.digest_) : nullptr;
    return lease.holds(now) && account != nullptr && account->id_ == granted.account_.id_;
}

} // namespace almondridge::gateway
