/** A fleet of ShareAdmission objects that exchange reports, and accounts that send requests. */
#pragma once

#include "almondridge/gateway/shareadmission.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace almondridge::gateway::testing {

/** Requests of one account: Poisson arrivals over the instances. */
struct ShareLoad
{
    std::string account_;
    double asked_ = 0; ///< Milliseconds of work per second.
    double workMillis_ = 100;
    int rank_ = 0;
    /** Weight of instance i: (i + 1) to the power of minus this; 0: even. */
    double skew_ = 0;
};

/** Work by account, in milliseconds. */
struct ShareResult
{
    std::map<std::string, double> asked_;
    std::map<std::string, double> admitted_;
    double total_ = 0;       ///< Admitted.
    double worstSecond_ = 0; ///< Most that was admitted within a second.
    std::int64_t refused_ = 0;
};

class ShareFleet
{
public:
    ShareFleet(int instances, double room, std::uint64_t seed)
        : random_(seed)
        , sequences_(static_cast<std::size_t>(instances))
        , reportPhase_(static_cast<std::size_t>(instances))
        , admissions_(static_cast<std::size_t>(instances))
    {
        for (std::size_t index = 0; index < admissions_.size(); ++index) {
            admissions_[index].setInstances(instances);
            admissions_[index].setRoom(service(), room);
            reportPhase_[index] = static_cast<std::int64_t>(random_() % ReportTicks);
        }
    }

    static ServiceId service() { return ServiceId("s"); }
    ShareAdmission &at(std::size_t index) { return admissions_.at(index); }
    TimePoint now() const { return TimePoint(millis(1'000'000 + TickMillis * tick_)); }
    /** Called with the time and account of each admitted request and its work. */
    std::function<void(TimePoint, const ShareLoad &, double)> onAdmitted_;

    void setRoom(double room)
    {
        for (ShareAdmission &admission : admissions_) {
            admission.setRoom(service(), room);
        }
    }

    /** New sessions only; refused requests don't come back. */
    ShareResult run(const std::vector<ShareLoad> &loads, double seconds)
    {
        ShareResult result;
        std::vector<double> perTick;
        std::vector<std::discrete_distribution<std::size_t>> places;
        for (const ShareLoad &load : loads) {
            std::vector<double> weights;
            for (std::size_t index = 0; index < admissions_.size(); ++index) {
                weights.push_back(std::pow(static_cast<double>(index + 1), -load.skew_));
            }
            places.emplace_back(weights.begin(), weights.end());
        }
        const auto ticks = static_cast<std::int64_t>(seconds * 1'000 / TickMillis);
        for (std::int64_t passed = 0; passed < ticks; ++passed) {
            ++tick_;
            exchange();
            perTick.push_back(0);
            for (std::size_t index = 0; index < loads.size(); ++index) {
                const ShareLoad &load = loads[index];
                std::poisson_distribution<int> count(load.asked_ / load.workMillis_ * TickMillis
                                                     / 1e3);
                for (int left = load.asked_ > 0 ? count(random_) : 0; left > 0; --left) {
                    perTick.back() += send(load, places[index](random_), result);
                }
            }
        }
        sumSeconds(perTick, result);
        return result;
    }

private:
    static constexpr std::int64_t TickMillis = 10;
    static constexpr std::int64_t ReportTicks = 25;

    /** A report arrives with all peers in the tick in which it is sent. */
    void exchange()
    {
        for (std::size_t from = 0; from < admissions_.size(); ++from) {
            if (tick_ % ReportTicks != reportPhase_[from]) {
                continue;
            }
            ShareReport report = admissions_[from].report(now());
            report.sender_ = InstanceId("i" + std::to_string(from));
            report.lifetime_ = 1;
            report.sequence_ = ++sequences_[from];
            for (std::size_t to = 0; to < admissions_.size(); ++to) {
                if (to != from) {
                    admissions_[to].onReport(report, now());
                }
            }
        }
    }

    double send(const ShareLoad &load, std::size_t place, ShareResult &result)
    {
        const ShareRequest request {service(), AccountId(load.account_), random_(), load.rank_,
                                    load.workMillis_};
        result.asked_[load.account_] += load.workMillis_;
        if (admissions_[place].admit(request, random_(), now())) {
            ++result.refused_;
            return 0;
        }
        result.admitted_[load.account_] += load.workMillis_;
        result.total_ += load.workMillis_;
        if (onAdmitted_) {
            onAdmitted_(now(), load, load.workMillis_);
        }
        return load.workMillis_;
    }

    static void sumSeconds(const std::vector<double> &perTick, ShareResult &result)
    {
        const std::size_t second = 1'000 / TickMillis;
        double sum = 0;
        for (std::size_t index = 0; index < perTick.size(); ++index) {
            sum += perTick[index] - (index >= second ? perTick[index - second] : 0);
            result.worstSecond_ = std::max(result.worstSecond_, sum);
        }
    }

    std::mt19937_64 random_;
    std::int64_t tick_ = 0;
    std::vector<std::uint64_t> sequences_;
    std::vector<std::int64_t> reportPhase_;
    std::vector<ShareAdmission> admissions_;
};

/** Accounts whose demand falls with a Zipf exponent of 1.2; together they ask for total. */
inline std::vector<ShareLoad> zipfLoads(int accounts, double total, double skew)
{
    double sum = 0;
    for (int index = 1; index <= accounts; ++index) {
        sum += std::pow(index, -1.2);
    }
    std::vector<ShareLoad> loads;
    for (int index = 1; index <= accounts; ++index) {
        loads.push_back(
            {"a" + std::to_string(index), total * std::pow(index, -1.2) / sum, 100, 0, skew});
    }
    return loads;
}

} // namespace almondridge::gateway::testing
