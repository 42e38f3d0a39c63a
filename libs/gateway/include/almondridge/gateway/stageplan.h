/**
 * How many engines of a service read prompts and how many generate. Pure: demand, the engines and
 * the time go in, changes come out.
 *
 * Both stages are to be equally busy in their own peaks of the last half minute, which come at
 * different times where the mix swings: engines cannot follow swings of seconds, as each change
 * takes one away for as long, so the split has to bear them. A change also empties the engine's
 * cache: it is made only when the busier stage gains by it. Before the first request the split of a
 * typical load is used, since engines change for nothing then.
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
    /** Engines that may be away at once while there is traffic, as a share of all. */
    double awayShare_ = 0.12;
    /** An order that changed nothing in this time is given anew. */
    std::int64_t orderMillis_ = 4'500;
};

/**
 * Share of the engines that read prompts under a typical load, by the requests that one engine
 * generates for at once.
 */
double typicalPrefillShare(int slots);

/** How a service is loaded. */
struct StageLoad
{
    StageDemand demand_;
    double millisPerToken_ = 0; ///< That an engine takes to read.
    double slotMillis_ = 0;     ///< That a request takes a slot of an engine that generates.
};

struct StageChange
{
    EndpointId engine_;
    Stage stage_ = Stage::None;
};

/** Whether an engine is not to be counted on. */
using EngineFilter = std::function<bool(const Endpoint &engine)>;

class StagePlan
{
public:
    explicit StagePlan(StagePlanSettings settings);

    /** Looks at the load; to be called some times a second, also without the right to order. */
    void watch(const EndpointTable &table, const ServiceId &service, const StageLoad &load,
               TimePoint now);
    /** Orders to give now. Each engine has at most one on its way. */
    std::vector<StageChange> plan(const EndpointTable &table, const ServiceId &service,
                                  TimePoint now, const EngineFilter &mayBeReleased = {});
    /** The peaks that the stages are planned for, in engines kept busy. */
    const StageDemand &peak() const noexcept { return peak_; }
    /** The engine refused: another order is in progress, or it took one since. */
    void onRefused(const EndpointId &engine, TimePoint now);

private:
    struct Ordered
    {
        Stage stage_ = Stage::None;
        TimePoint until_ {};
        std::uint64_t lifetime_ = 0; ///< Of the engine: a restart forgets orders.
    };

    /** How long requests wait at the engines of a stage, smoothed. */
    struct Wait
    {
        double millis_ = 0;
        void add(double sample, double weight) { millis_ += weight * (sample - millis_); }
    };

    bool isWorthIt(bool toRead, TimePoint now) const;
    bool settled(int count, TimePoint now);
    /** How many engines should read prompts, of count, of which prefill do so now; at least so many
     * stay in each stage. */
    int wantedPrefill(int count, int prefill, int least);
    /** Null when no engine of the stage may be changed. */
    const Endpoint *pick(const std::vector<const Endpoint *> &engines, Stage from) const;
    void forgetOrders(const EndpointTable &table, TimePoint now);
    std::vector<StageChange> order(std::vector<const Endpoint *> engines, int difference, int room,
                                   TimePoint now);

    StagePlanSettings settings_;
    std::map<EndpointId, Ordered> ordered_;
    Wait prefillWait_;
    Wait decodeWait_;
    TimePoint watchedAt_ {};
    StageDemand peak_; ///< Of each stage for itself, fading.
    bool idle_ = true;
    bool addsReaders_ = false; ///< The split was found far off, and is being mended.
    bool sawDemand_ = false;
    TimePoint demandSince_ {};
    int lastCount_ = 0;
    TimePoint countedAt_ {}; ///< Since when there are so many engines.
};

} // namespace almondridge::gateway
