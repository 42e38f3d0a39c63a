/**
 * What client accounts ask of a service, as instances tell each other. Work is prefill time of the
 * service's engines; rates are milliseconds of it per second.
 */
#pragma once

#include "almondridge/base/ids.h"

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

} // namespace almondridge::gateway
