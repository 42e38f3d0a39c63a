/**
 * What client accounts ask of a service, as instances tell each other. Work is prefill time of the
 * service's engines; rates are milliseconds of it per second.
 */
#pragma once

#include "almondridge/base/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace almondridge::gateway {

/** Work of one account, or of several that are told as a sum. */
struct AccountDemand
{
    AccountId account_; ///< Empty: the sum of the accounts that are not listed.
    int rank_ = 0;      ///< 0 is the most urgent; an account's own priority goes before a route's.
    double asked_ = 0;  ///< Work of all requests that came, admitted or not.
    double admitted_ = 0;

    friend bool operator==(const AccountDemand &, const AccountDemand &) = default;
};

/** The demand of one instance's callers. Values are absolute: a later report replaces it. */
struct ShareReport
{
    InstanceId sender_;
    std::uint64_t lifetime_ = 0; ///< Increases with each restart of the sender.
    std::uint64_t sequence_ = 0; ///< Increases within a lifetime; older reports are dropped.
    std::map<ServiceId, std::vector<AccountDemand>> demand_ {};
};

/** Bounds of a report; a datagram that exceeds any of them is dropped as a whole. */
struct ShareReportLimits
{
    static constexpr std::size_t MaxServices = 12;
    static constexpr std::size_t MaxAccounts = 8; ///< Of a service, by the work they ask for.
    static constexpr std::size_t MaxSums = 8;     ///< Of a service's other accounts, one by rank.
    static constexpr int MaxRank = 1'000;
    static constexpr double MaxWork = 1e9; ///< Milliseconds a second: a million busy engines.
    static constexpr std::size_t MaxNameBytes = 100; ///< Of an instance, service or account.
};

/** Values that can't be told are reduced to the limits; NaN becomes 0. */
double clampedWork(double work);

/**
 * The demand on a service within the limits: the accounts that ask for the most work, and the sum
 * of the others by rank. Ranks that exceed MaxSums are added to the last sum.
 */
std::vector<AccountDemand> summarized(const std::vector<AccountDemand> &demand);

} // namespace almondridge::gateway
