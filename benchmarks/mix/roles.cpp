#include "roles.h"

#include <algorithm>
#include <cmath>

namespace almondridge::mix {
namespace {

using fleet::EngineRole;

class StaticRoles : public RoleControl
{
public:
    std::vector<RoleOrder> decide(int, const std::vector<EngineSight> &, TimePoint) override
    {
        return {};
    }
};

class PhaseRoles : public StaticRoles
{
public:
    explicit PhaseRoles(std::vector<std::vector<EngineRole>> byPhase)
        : byPhase_(std::move(byPhase))
    { }

    std::vector<EngineRole> onPhase(std::size_t phase) override { return byPhase_[phase]; }

private:
    std::vector<std::vector<EngineRole>> byPhase_;
};

/** Seconds of waiting prefill at which greedy calls prefill fully used. */
constexpr double FullPrefillSeconds = 1;

/** Smooths the reported utilisations a little, as any such loop has to. */
constexpr double GreedySmoothing = 0.5;

class GreedyThreshold : public RoleControl
{
public:
    GreedyThreshold(const Day &day, double threshold)
        : used_(static_cast<std::size_t>(day.domains_))
        , maxAway_(day.maxAway_)
        , threshold_(threshold)
    { }

    std::vector<RoleOrder> decide(int domain, const std::vector<EngineSight> &engines,
                                  TimePoint) override
    {
        const auto away = std::count_if(engines.begin(), engines.end(),
                                        [](const EngineSight &sight) { return !sight.available_; });
        const double gap = smoothedGap(domain, engines);
        if (away >= maxAway_ || std::abs(gap) < threshold_) {
            return {};
        }
        const EngineRole to = gap > 0 ? EngineRole::Prefill : EngineRole::Decode;
        const EngineRole from = gap > 0 ? EngineRole::Decode : EngineRole::Prefill;
        const int engine = pick(engines, from);
        return engine < 0 ? std::vector<RoleOrder> {}
                          : std::vector<RoleOrder> {{engine, to, "rule=threshold"}};
    }

private:
    /** Utilisation of prefill less that of decode, each between 0 and 1. */
    double smoothedGap(int domain, const std::vector<EngineSight> &engines)
    {
        double prefillSeconds = 0;
        double decodeFull = 0;
        int prefillEngines = 0;
        int decodeEngines = 0;
        for (const EngineSight &sight : engines) {
            if (!sight.available_) {
                continue;
            }
            const bool prefill = sight.role_ != EngineRole::Decode;
            const bool decode = sight.role_ != EngineRole::Prefill;
            prefillEngines += prefill ? 1 : 0;
            decodeEngines += decode ? 1 : 0;
            const double rate = busyRates(sight.role_).prefill_;
            prefillSeconds +=
                prefill ? static_cast<double>(sight.report_.prefillTokensWaiting_) / rate : 0;
            decodeFull +=
                decode ? static_cast<double>(sight.report_.running_) / limitsOf(sight.role_).batch_
                       : 0;
        }
        const double prefillUsed =
            std::min(1.0, prefillSeconds / FullPrefillSeconds / std::max(1, prefillEngines));
        const double decodeUsed = std::min(1.0, decodeFull / std::max(1, decodeEngines));
        double &gap = used_[domain];
        gap += GreedySmoothing * (prefillUsed - decodeUsed - gap);
        return gap;
    }

    static int pick(const std::vector<EngineSight> &engines, EngineRole from)
    {
        // The last engine that can do the overloaded kind of work is kept.
        int found = -1;
        int able = 0;
        for (const EngineSight &sight : engines) {
            const bool fits =
                sight.available_ && (sight.role_ == from || sight.role_ == EngineRole::Mixed);
            able += fits ? 1 : 0;
            if (fits && (found < 0 || sight.role_ == EngineRole::Mixed)) {
                found = sight.index_;
            }
        }
        return able > 1 ? found : -1;
    }

    std::vector<double> used_;
    int maxAway_;
    double threshold_;
};

class PlannedRoles : public RoleControl
{
public:
    PlannedRoles(const Day &day, const PlannerSetup &setup)
    {
        auto fleet = std::make_shared<fleet::Fleet>();
        fleet->policy_.roleChangeWeight_ = setup.weight_;
        fleet->policy_.minimumDwellMillis_ = toMillis(setup.dwell_);
        fleet->policy_.maxAwayPerDomain_ = day.maxAway_;
        for (int domain = 0; domain < day.domains_; ++domain) {
            planners_.push_back(planner::Planner::Builder()
                                    .domain(DomainId("d" + std::to_string(domain)))
                                    .fastWindow(setup.fastWindow_)
                                    .slowWindow(setup.slowWindow_)
                                    .tuning(setup.tuning_)
                                    .build());
            planners_.back().setFleet(fleet);
            for (const EngineRole role :
                 {EngineRole::Prefill, EngineRole::Decode, EngineRole::Mixed}) {
                const planner::RoleRates rates = busyRates(role);
                planners_.back().onRates(
                    model_, role,
                    {rates.prefill_ * setup.rateError_, rates.decode_ * setup.rateError_});
            }
        }
    }

    void onDemand(int domain, planner::RoleRates tokens, TimePoint now) override
    {
        planners_[domain].onDemand({model_, tokens.prefill_, tokens.decode_}, now);
    }

    std::vector<RoleOrder> decide(int domain, const std::vector<EngineSight> &engines,
                                  TimePoint now) override
    {
        std::vector<planner::EngineView> views;
        views.reserve(engines.size());
        for (const EngineSight &sight : engines) {
            views.push_back({EndpointId(std::to_string(sight.index_)), model_, sight.role_,
                             sight.available_, sight.lastChange_});
        }
        std::vector<RoleOrder> orders;
        for (const planner::RoleChange &change : planners_[domain].plan(views, now).changes_) {
            orders.push_back({std::stoi(change.engine_.value()), change.to_, change.reason_});
        }
        return orders;
    }

private:
    ModelId model_ {"model"};
    std::vector<planner::Planner> planners_;
};

} // namespace

std::unique_ptr<RoleControl> makeStaticRoles()
{
    return std::make_unique<StaticRoles>();
}

std::unique_ptr<RoleControl> makeGreedyThreshold(const Day &day, double threshold)
{
    return std::make_unique<GreedyThreshold>(day, threshold);
}

std::unique_ptr<RoleControl> makePhaseRoles(std::vector<std::vector<EngineRole>> byPhase)
{
    return std::make_unique<PhaseRoles>(std::move(byPhase));
}

std::unique_ptr<RoleControl> makePlannedRoles(const Day &day, const PlannerSetup &setup)
{
    return std::make_unique<PlannedRoles>(day, setup);
}

} // namespace almondridge::mix
