/**
 * Plans how many engines of a service run the prefill stage (read prompts) and how many the decode
 * stage (generate). Pure: its inputs are the demand, the engines and the time; its output is a list
 * of stage changes.
 *
 * The plan balances the utilization of both stages at their own peaks of about the last 30 s. The
 * peaks come at different times when the mix of requests swings, and engines cannot follow a swing
 * of seconds because a stage change takes an engine out of service for as long. The split therefore
 * has to cover both peaks. A change also empties the engine's cache, so it is made only if it
 * lowers the utilization of the busier stage enough. Before the first request, the split of a
 * typical load is used, because engines can change at no cost then.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/gateway/demandmeter.h"
#include "almondridge/gateway/endpoints.h"

#include <functional>
#include <map>
#include <vector>

namespace almondridge::gateway {

struct StagePlanSettings
{
    /** The share of all engines that may be changing at the same time while there is traffic. */
    double maxChangingShare_ = 0.12;
    /** An order that has had no effect after this time is given again. */
    std::int64_t orderTimeoutMillis_ = 4'500;
};

/**
 * Returns the share of prefill engines that suits a typical load. slots: requests that one decode
 * engine runs concurrently.
 */
double typicalPrefillShare(int slots);

/** The load of a service. */
struct StageLoad
{
    StageDemand demand_;
    double millisPerToken_ = 0; ///< Time in which a prefill engine reads one prompt token.
    double slotMillis_ = 0; ///< Mean time for which a request occupies a slot of a decode engine.
};

struct StageChange
{
    EndpointId engine_;
    Stage stage_ = Stage::None;
};

/** Returns true for an engine that the plan should leave out. */
using EngineFilter = std::function<bool(const Endpoint &engine)>;

class StagePlan
{
public:
    explicit StagePlan(StagePlanSettings settings);

    /**
     * Updates the smoothed waits and peaks. Call it several times a second, also while this
     * instance is not entitled to give orders.
     */
    void observe(const EndpointTable &table, const ServiceId &service, const StageLoad &load,
                 TimePoint now);
    /**
     * Returns the orders to give now. Each engine has at most one pending order. mayBeReleased:
     * engines for which it returns true are left out.
     */
    std::vector<StageChange> plan(const EndpointTable &table, const ServiceId &service,
                                  TimePoint now, const EngineFilter &mayBeReleased = {});
    /** The decaying peak demand of each stage, in busy engines. */
    const StageDemand &peak() const noexcept { return peak_; }
    /**
     * Call this if the engine refused an order because another order is in progress or because it
     * has accepted one since its report. The order is given up early.
     */
    void onRefused(const EndpointId &engine, TimePoint now);

private:
    struct PendingOrder
    {
        Stage stage_ = Stage::None;
        TimePoint expiresAt_ {};
        /** The engine's lifetime at the order; a restart drops orders. */
        std::uint64_t lifetime_ = 0;
    };

    /** Exponentially smoothed time that requests wait at the engines of a stage. */
    struct SmoothedWait
    {
        double millis_ = 0;
        void add(double sample, double weight) { millis_ += weight * (sample - millis_); }
    };

    bool isWaitLongEnough(bool towardPrefill, TimePoint now) const;
    bool isCountStable(int count, TimePoint now);
    /**
     * Returns how many of count engines should run prefill. prefill: how many run it now. At least
     * minPerStage engines stay in each stage.
     */
    int targetPrefill(int count, int prefill, int minPerStage);
    /** Returns the engine to change, or null if no engine of the stage may be changed. */
    const Endpoint *pickEngine(const std::vector<const Endpoint *> &engines, Stage from) const;
    bool canSpare(const std::vector<const Endpoint *> &engines, const Endpoint &engine) const;
    void removeFinishedOrders(const EndpointTable &table, TimePoint now);
    std::vector<StageChange> makeOrders(std::vector<const Endpoint *> engines, int difference,
                                        int maxChanging, TimePoint now);

    StagePlanSettings settings_;
    std::map<EndpointId, PendingOrder> pendingOrders_;
    SmoothedWait prefillWait_;
    SmoothedWait decodeWait_;
    TimePoint observedAt_ {};
    StageDemand peak_; ///< The decaying peak of each stage on its own.
    bool idle_ = true;
    bool addingPrefill_ = false; ///< The split was far off and prefill engines are being added.
    bool hasSeenDemand_ = false;
    TimePoint firstDemandAt_ {};
    int lastCount_ = 0;
    TimePoint countChangedAt_ {}; ///< When the number of engines last changed.
};

} // namespace almondridge::gateway
