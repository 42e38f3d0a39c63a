/**
 * Access control: whether a caller may use a route, and as which account. No I/O: the
 * configuration, the credentials and the current time are arguments.
 *
 * A key can be revoked at any time and must stop working within a bound, even at an instance that
 * is cut off and can't learn of the revocation. Access by key is therefore a lease: keys are
 * accepted only while the configuration was confirmed to be the newest less than that bound ago.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/time.h"
#include "almondridge/gateway/config.h"
#include "almondridge/gateway/credentials.h"

namespace almondridge::gateway {

/** The time until which keys are accepted without another confirmation. */
class KeyLease
{
public:
    /** boundMillis: time after which a revoked key is refused everywhere; 0: no bound. */
    explicit KeyLease(std::int64_t boundMillis);

    /** The configuration in force was the newest one in the store at that time. */
    void confirm(TimePoint asOf);
    bool holds(TimePoint now) const noexcept { return !isBounded_ || now < until_; }
    /** When the configuration was last known to be the newest; nullopt: never. */
    std::optional<TimePoint> asOf() const noexcept { return asOf_; }

private:
    bool isBounded_;
    Duration term_;
    std::optional<TimePoint> asOf_;
    TimePoint until_ {};
};

enum class Access {
    Anonymous,   ///< No key is needed, and no valid one was sent.
    Granted,     ///< The key belongs to an account.
    Unconfirmed, ///< The lease has expired: keys may have been revoked since.
    KeyMissing,
    KeyMalformed,
    KeyUnknown,
};

inline constexpr std::array<EnumName<Access>, 6> AccessNames {{
    {Access::Anonymous, "anonymous"},
    {Access::Granted, "granted"},
    {Access::Unconfirmed, "keys-unconfirmed"},
    {Access::KeyMissing, "key-missing"},
    {Access::KeyMalformed, "key-malformed"},
    {Access::KeyUnknown, "key-unknown"},
}};

/** The result of an access check. */
struct AccessResult
{
    Access access_ = Access::Anonymous;
    Account account_ {};  ///< If granted.
    KeyDigest digest_ {}; ///< Of the caller's key, if granted.
};

/** Checks a request when it arrives. */
AccessResult checkAccess(const Config &config, const Route &route, const Credentials &credentials,
                         const KeyLease &lease, TimePoint now);

/** Whether access that was granted earlier still holds: the key belongs to the same account. */
bool isStillGranted(const Config &config, const AccessResult &granted, const KeyLease &lease,
                    TimePoint now);

} // namespace almondridge::gateway
