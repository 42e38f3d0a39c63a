/**
 * Detects shifts in the mix of prefill and decode demand and divides time into phases of a stable
 * mix. A phase ends when the demand in the fast window differs from that of the phase so far. Roles
 * are planned for the demand of the current phase.
 */
#pragma once

#include "capacity.h"
#include "decayingrate.h"

#include <string>

namespace almondridge::planner {

/** Average demand over a window. */
class DemandWindow
{
public:
    explicit DemandWindow(Duration window)
        : prefill_(window)
        , decode_(window)
    { }

    void add(const TokenRates &tokens, TimePoint now);
    TokenRates perSecond() const { return {prefill_.perSecond(), decode_.perSecond()}; }
    /** Time since the first add(). */
    Duration age(TimePoint now) const;

private:
    DecayingRate prefill_;
    DecayingRate decode_;
};

/** Windows and thresholds of phase detection. */
struct PhaseSettings
{
    Duration fast_ {}; ///< Window of the demand that is compared with the phase.
    Duration slow_ {}; ///< Window of the demand of a phase.
    Tuning tuning_;
};

/** Change-point detection on the demand of one model. */
class DemandPhaseDetector
{
public:
    explicit DemandPhaseDetector(const PhaseSettings &settings);

    /** Adds the tokens requested since the last call. */
    void observe(const TokenRates &tokens, const RoleRateTable &rates, TimePoint now);

    /** Tokens per second in the current phase. */
    TokenRates demand() const { return current_.demand_.perSecond(); }
    /** Tokens per second in the fast window. */
    TokenRates fastDemand() const { return fast_.perSecond(); }
    TimePoint startedAt() const noexcept { return current_.startedAt_; }
    /** How much longer the current phase is expected to last. */
    Duration expectedRemaining(TimePoint now) const;

private:
    struct Phase
    {
        TimePoint startedAt_ {};
        DemandWindow demand_;
    };

    void beginPhase(TimePoint now);
    void updateMeanLength(Duration length);
    void updateNoise(double relativeDifference, TimePoint now);
    double threshold() const;

    PhaseSettings settings_;
    DemandWindow fast_;
    Phase current_;
    double meanLengthSeconds_;
    double noise_ = 0;          ///< Mean difference of the fast window without a shift.
    double noiseWindowSeconds_; ///< Averaging time of noise_, the initial guess included.
    TimePoint noiseUpdatedAt_ {};
    bool started_ = false;
    bool firstPhase_ = true; ///< No shift has been detected yet.
};

} // namespace almondridge::planner
