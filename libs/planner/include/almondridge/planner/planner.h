/**
 * Plans which engine has which role, from the observed mix of prompt and output tokens. Performs no
 * I/O and reads no clock: the current time is passed in.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/fleet/fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace almondridge::planner {

/** Demand for one model in one failure domain since the last observation. */
struct Demand
{
    ModelId model_;
    double prefillTokens_ = 0; ///< Uncached prompt tokens of all requests, also refused ones.
    double decodeTokens_ = 0;  ///< Output tokens of the same requests.
};

/** State of an engine as input to the planner. */
struct EngineView
{
    EndpointId engine_;
    ModelId model_;
    fleet::EngineRole role_ = fleet::EngineRole::Mixed;
    bool available_ = true;   ///< False: draining, changing its role, gone, or in unknown state.
    TimePoint lastChange_ {}; ///< When its last role change was started.
};

/** Tokens per second that a fully loaded engine of a role prefills and decodes. */
struct RoleRates
{
    double prefill_ = 0;
    double decode_ = 0;
};

/** A planned change of one engine's role. */
struct RoleChange
{
    EndpointId engine_;
    fleet::EngineRole from_ = fleet::EngineRole::Mixed;
    fleet::EngineRole to_ = fleet::EngineRole::Mixed;
    std::string reason_; ///< Rule, gain, cost and demand as key=value pairs.
};

/** The result of one planning round. */
struct Plan
{
    std::vector<RoleChange> changes_;
    std::string declined_; ///< Why models get no change, as key=value pairs joined by "; ".
};

/** How cautiously roles are changed. docs/PLANNING.md gives the reasons for the defaults. */
struct Tuning
{
    /** Minimum gain of a change beyond its cost, in seconds of the whole demand. */
    double hysteresisSeconds_ = 1;
    /** Minimum difference of the fast window, as a share of all work, that starts a new phase. */
    double shiftThreshold_ = 0.12;
    /** Minimum of the same difference as a multiple of the noise level. */
    double noiseFactor_ = 4.5;
    /** Share of the measured rates that can be used before queues grow. */
    double usableShare_ = 0.95;
};

/** Plans the roles of the engines in one failure domain. Not thread-safe. */
class Planner
{
public:
    class Builder;

    /** Takes over policy and role bounds of the configuration. */
    void setFleet(std::shared_ptr<const fleet::Fleet> fleet);
    /** Measured rates of a role; 0: not measured. Rates of other roles are estimated from them. */
    void onRates(const ModelId &model, fleet::EngineRole role, RoleRates rates);
    /** Adds demand since the last call for the same model. */
    void onDemand(const Demand &demand, TimePoint now);
    /** Returns the role changes to start now; none while information is missing or stale. */
    Plan plan(const std::vector<EngineView> &engines, TimePoint now);

    Planner(Planner &&) noexcept;
    Planner &operator=(Planner &&) noexcept;
    ~Planner();

private:
    struct State;
    explicit Planner(std::unique_ptr<State> state) noexcept;
    std::unique_ptr<State> state_;
};

/** Configures and creates a Planner. */
class Planner::Builder
{
public:
    /** The failure domain whose engines are planned. */
    Builder &domain(DomainId domain);
    /** Averaging window for detecting shifts of the mix. */
    Builder &fastWindow(Duration window);
    /** Averaging window for the demand of a phase. */
    Builder &slowWindow(Duration window);
    /** How long an engine is unavailable during a role change. */
    Builder &roleChangeDuration(Duration duration);
    Builder &tuning(const Tuning &tuning);
    Planner build();

private:
    DomainId domain_;
    Duration fastWindow_ = millis(15'000);
    Duration slowWindow_ = millis(120'000);
    Duration roleChangeDuration_ = millis(5'000);
    Tuning tuning_;
};

} // namespace almondridge::planner
