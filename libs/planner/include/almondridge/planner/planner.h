/**
 * Which engine holds which role, from the mix of prompt and output tokens that is seen.
 * Pure: time is passed in.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/fleet/fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace almondridge::planner {

/** Demand of one model in one failure domain since the last observation. */
struct Demand
{
    ModelId model_;
    double prefillTokens_ = 0; ///< Uncached prompt tokens asked for, admitted or refused.
    double decodeTokens_ = 0;  ///< Output tokens asked for.
};

/** An engine as the planner sees it. */
struct EngineView
{
    EndpointId engine_;
    ModelId model_;
    fleet::EngineRole role_ = fleet::EngineRole::Mixed;
    bool available_ = true; ///< False: draining, changing, unclear or gone.
    TimePoint lastChange_ {};
};

/** Tokens a second that an engine of a role prefills and decodes when kept busy. */
struct RoleRates
{
    double prefill_ = 0;
    double decode_ = 0;
};

struct RoleChange
{
    EndpointId engine_;
    fleet::EngineRole from_ = fleet::EngineRole::Mixed;
    fleet::EngineRole to_ = fleet::EngineRole::Mixed;
    std::string reason_; ///< Gain, cost, windows and the rule, as key=value pairs.
};

struct Plan
{
    std::vector<RoleChange> changes_;
    std::string declined_; ///< Why the best change was not made, when none was.
};

/** How cautious the planner is. docs/PLANNING.md has the figure that each default rests on. */
struct Tuning
{
    /** Gain, in seconds of the whole demand, that every change must bring beyond its cost. */
    double hysteresisSeconds_ = 1;
    /** Least share of all work by which the last seconds must differ to begin a new phase. */
    double shiftThreshold_ = 0.12;
    /** And how often the difference that noise makes. */
    double noiseFactor_ = 4.5;
    /** Share of the measured rates that can be used before queues grow. */
    double usableShare_ = 0.95;
};

class Planner
{
public:
    class Builder;

    void setFleet(std::shared_ptr<const fleet::Fleet> fleet);
    /** Rates per role as measured; a role that was never seen keeps its default ratio. */
    void onRates(const ModelId &model, fleet::EngineRole role, RoleRates rates);
    void onDemand(const Demand &demand, TimePoint now);
    /** Changes to start now. Empty while information is missing. */
    Plan plan(const std::vector<EngineView> &engines, TimePoint now);

    Planner(Planner &&) noexcept;
    Planner &operator=(Planner &&) noexcept;
    ~Planner();

private:
    struct State;
    explicit Planner(std::unique_ptr<State> state) noexcept;
    std::unique_ptr<State> state_;
};

class Planner::Builder
{
public:
    Builder &domain(DomainId domain);
    Builder &fastWindow(Duration window);
    Builder &slowWindow(Duration window);
    /** How long a change takes an engine away. */
    Builder &roleChangeDuration(Duration away);
    Builder &tuning(const Tuning &tuning);
    Planner build();

private:
    DomainId domain_;
    Duration fastWindow_ = millis(15'000);
    Duration slowWindow_ = millis(120'000);
    Duration away_ = millis(5'000);
    Tuning tuning_;
};

} // namespace almondridge::planner
