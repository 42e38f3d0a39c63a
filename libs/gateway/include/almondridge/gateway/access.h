/**
 * Whether a caller may use a route, and as which account. Pure: the configuration, what the caller
 * showed and the time go in.
 *
 * What a key allows is a lease: a key may be taken away at any moment, and must not work for longer
 * than a bound afterwards, also at an instance that cannot learn of it. So keys count only while
 * the configuration is known to have been the newest at a moment less than that bound ago.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/time.h"
#include "almondridge/gateway/config.h"
#include "almondridge/gateway/credentials.h"

namespace almondridge::gateway {

class KeyLease
{
public:
    /** boundMillis: until a key that was taken away must not work any more; 0: no such bound. */
    explicit KeyLease(std::int64_t boundMillis);

    /** The configuration in force was the store's newest at that time. */
    void confirm(TimePoint asOf);
    bool holds(TimePoint now) const noexcept { return !isBounded_ || now < until_; }
    /** When the configuration was last known to be the newest; none: never. */
    std::optional<TimePoint> asOf() const noexcept { return asOf_; }

private:
    bool isBounded_;
    Duration term_;
    std::optional<TimePoint> asOf_;
    TimePoint until_ {};
};

enum class Access {
    Anonymous, ///< No key is needed, and none that counts was shown.
    Granted,
    Unproven, ///< Keys may have been taken away without this instance knowing.
    KeyMissing,
    KeyMalformed,
    KeyUnknown,
};

inline constexpr std::array<EnumName<Access>, 6> AccessNames {{
    {Access::Anonymous, "anonymous"},
    {Access::Granted, "granted"},
    {Access::Unproven, "keys-unconfirmed"},
    {Access::KeyMissing, "key-missing"},
    {Access::KeyMalformed, "key-malformed"},
    {Access::KeyUnknown, "key-unknown"},
}};

struct AccessVerdict
{
    Access access_ = Access::Anonymous;
    Account account_ {};  ///< When granted.
    KeyDigest digest_ {}; ///< Of the key that was shown, when granted.
};

AccessVerdict checkAccess(const Config &config, const Route &route, const Credentials &credentials,
                          const KeyLease &lease, TimePoint now);

/** Whether a key that was granted earlier still belongs to that account now. */
bool isStillGranted(const Config &config, const AccessVerdict &granted, const KeyLease &lease,
                    TimePoint now);

} // namespace almondridge::gateway
