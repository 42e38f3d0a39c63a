/**
 * How many engines of a service read prompts and how many generate. Pure: demand, the engines and
 * the time go in, changes come out.
 *
 * Demand is counted in engines kept busy. The split follows the demand of two windows: the short
 * one sees a turn of the mix, the long one keeps a burst from moving engines that cost seconds to
 * move. Before the first request the split of a typical load is used, since engines change for
 * nothing then.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/gateway/endpoints.h"

#include <optional>
#include <vector>

namespace almondridge::gateway {

struct StagePlanSettings
{
    /** A change is made for a difference of at least this share of the engines. */
    double leastDifference_ = 0.17;
    /** Engines that may be away at once while there is traffic, as a share of all. */
    double awayShare_ = 0.12;
    std::int64_t shortWindowMillis_ = 3'000;
    std::int64_t longWindowMillis_ = 12'000;
    /** An order that changed nothing in this time is given anew. */
    std::int64_t orderMillis_ = 4'500;
};

/** What a service asked of its engines in a span, counted in engine time. */
struct StageDemand
{
    double prefillSeconds_ = 0;
    double decodeSeconds_ = 0;
};

/**
 * Share of the engines that read prompts under a typical load, by the requests that one engine
 * generates for at once.
 */
double typicalPrefillShare(int slots);

struct StageChange
{
    EndpointId engine_;
    Stage stage_ = Stage::None;
};

class StagePlan
{
public:
    explicit StagePlan(StagePlanSettings settings);

    void onDemand(const StageDemand &demand, TimePoint now);
    /** Orders to give now. Each engine has at most one on its way. */
    std::vector<StageChange> plan(const EndpointTable &table, const ServiceId &service,
                                  TimePoint now);
    /** The engine refused: another order is in progress, or it took one since. */
    void onRefused(const EndpointId &engine, TimePoint now);
    /** How many engines should read prompts, of count. */
    int wantedPrefill(int count, int slots, TimePoint now) const;
    /** How long prompts wait at the engines of a stage, in milliseconds, as last looked at. */
    double waitMillis(Stage stage) const noexcept
    {
        return stage == Stage::Prefill ? prefillWait_.millis_ : decodeWait_.millis_;
    }

private:
    /** A decaying sum, so that a window needs no list of samples. */
    struct Window
    {
        explicit Window(std::int64_t lengthMillis);
        void add(const StageDemand &demand, TimePoint now);
        double prefillShare(TimePoint now, double otherwise) const;

        double lengthSeconds_;
        StageDemand sum_;
        TimePoint at_ {};
    };

    struct Ordered
    {
        Stage stage_ = Stage::None;
        TimePoint until_ {};
        std::uint64_t lifetime_ = 0; ///< Of the engine: a restart forgets orders.
    };

    /** How long prompts wait at the engines of a stage, smoothed. */
    struct Wait
    {
        double millis_ = 0;
        void add(double sample, double weight) { millis_ += weight * (sample - millis_); }
    };

    void watchWaits(const EndpointTable &table, const std::vector<const Endpoint *> &engines,
                    TimePoint now);
    bool settled(int count, TimePoint now);
    std::optional<EndpointId> pick(const std::vector<const Endpoint *> &engines, Stage from) const;

    StagePlanSettings settings_;
    Window shortWindow_;
    Window longWindow_;
    std::map<EndpointId, Ordered> ordered_;
    Wait prefillWait_;
    Wait decodeWait_;
    TimePoint watchedAt_ {};
    int lastCount_ = 0;
    TimePoint countedAt_ {}; ///< Since when there are so many engines.
};

} // namespace almondridge::gateway
