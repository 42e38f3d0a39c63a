/**
 * Admission of requests while a service is asked for more work than its engines can do: client
 * accounts get weighted max-min shares of the room, by rank. No I/O and no clock.
 *
 * Each instance counts what its own callers ask and takes what its peers report; all instances
 * compute the same shares from that, without a leader. An instance admits its part of an account's
 * share: the part of the account's demand that came to it.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/gateway/accountdemand.h"

#include <cstdint>
#include <map>
#include <optional>

namespace almondridge::gateway {

/** A request, as admission sees it. */
struct ShareRequest
{
    ServiceId service_;
    AccountId account_;
    std::uint64_t session_ = 0; ///< The last shared part of its prompt.
    int rank_ = 0;              ///< 0 is the most urgent.
    double workMillis_ = 0;     ///< Prefill time of the tokens that are not cached.
};

/** Why a request was refused, for the log. Rates are milliseconds of work per second. */
struct ShareRefusal
{
    std::int64_t retryAfterMillis_ = 0;
    double asked_ = 0;                    ///< By the account, in the whole fleet.
    double share_ = 0;                    ///< Of the account, in the whole fleet.
    double room_ = 0;                     ///< Of the service.
    std::int64_t oldestReportMillis_ = 0; ///< Age of the oldest report that was used.
};

class ShareAdmission
{
public:
    /** Work that the usable engines of a service can do, in milliseconds per second. */
    void setRoom(const ServiceId &service, double room);
    /** Number of instances that share the endpoints, this one included. */
    void setInstances(int count);
    /** Replaces what the sender reported before; older and doubled reports are ignored. */
    void onReport(const ShareReport &report, TimePoint now);
    /**
     * Counts the request as asked for, and as admitted unless it returns a refusal. random: spreads
     * the times after which refused requests return.
     */
    std::optional<ShareRefusal> admit(const ShareRequest &request, std::uint64_t random,
                                      TimePoint now);
    /** The demand of this instance's callers; the sender, lifetime and sequence are not set. */
    ShareReport report(TimePoint now) const;
    /** Whether the fleet asks for more than the service's room. */
    bool isShort(const ServiceId &service, TimePoint now) const;
};

} // namespace almondridge::gateway
