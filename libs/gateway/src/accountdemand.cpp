#include "almondridge/gateway/accountdemand.h"

#include <algorithm>
#include <tuple>

namespace almondridge::gateway {
namespace {

using Limits = ShareReportLimits;

/** Less is not told: work is sent in tenths. */
constexpr double MinWork = 0.05;

bool hasWork(const AccountDemand &demand)
{
    return demand.asked_ >= MinWork || demand.admitted_ >= MinWork;
}

/** Adds to the sum of the demand's rank, or to the last sum if there are too many ranks. */
void addToSums(const AccountDemand &demand, std::map<int, AccountDemand> &sums)
{
    const bool isFull = sums.size() >= Limits::MaxSums && !sums.contains(demand.rank_);
    AccountDemand &sum = isFull ? sums.rbegin()->second : sums[demand.rank_];
    if (!isFull) {
        sum.rank_ = demand.rank_;
    }
    sum.asked_ = clampedWork(sum.asked_ + demand.asked_);
    sum.admitted_ = clampedWork(sum.admitted_ + demand.admitted_);
}

} // namespace

double clampedWork(double work)
{
    return work > 0 ? std::min(work, Limits::MaxWork) : 0;
}

std::vector<AccountDemand> summarized(const std::vector<AccountDemand> &demand)
{
    std::vector<AccountDemand> accounts;
    std::vector<AccountDemand> others;
    for (AccountDemand one : demand) {
        one.rank_ = std::clamp(one.rank_, 0, Limits::MaxRank);
        one.asked_ = clampedWork(one.asked_);
        one.admitted_ = clampedWork(one.admitted_);
        const bool isListable =
            !one.account_.empty() && one.account_.value().size() <= Limits::MaxNameBytes;
        if (hasWork(one)) {
            (isListable ? accounts : others).push_back(std::move(one));
        }
    }
    std::sort(accounts.begin(), accounts.end(),
              [](const AccountDemand &left, const AccountDemand &right) {
                  return std::tie(right.asked_, left.account_, left.rank_)
                         < std::tie(left.asked_, right.account_, right.rank_);
              });
    const auto firstOther =
        accounts.begin()
        + static_cast<std::ptrdiff_t>(std::min(accounts.size(), Limits::MaxAccounts));
    others.insert(others.end(), firstOther, accounts.end());
    accounts.erase(firstOther, accounts.end());
    // The most urgent ranks get sums of their own.
    std::stable_sort(others.begin(), others.end(),
                     [](const AccountDemand &left, const AccountDemand &right) {
                         return left.rank_ < right.rank_;
                     });
    std::map<int, AccountDemand> sums;
    for (const AccountDemand &other : others) {
        addToSums(other, sums);
    }
    for (const auto &[rank, sum] : sums) {
        accounts.push_back(sum);
    }
    return accounts;
}

} // namespace almondridge::gateway
