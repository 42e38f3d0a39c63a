/**
 * Divides the demand into phases of one mix each. A phase ends when the last seconds differ from
 * what it has been so far; the demand of the present phase is what roles are planned for.
 */
#pragma once

#include "capacity.h"
#include "decayingrate.h"

#include <string>

namespace almondridge::planner {

/** Demand over a window that can be started anew. */
class DemandWindow
{
public:
    explicit DemandWindow(Duration window)
        : prefill_(window)
        , decode_(window)
    { }

    void add(const TokenRates &tokens, TimePoint now);
    TokenRates perSecond() const { return {prefill_.perSecond(), decode_.perSecond()}; }
    /** How long it has been filling. */
    Duration age(TimePoint now) const;

private:
    DecayingRate prefill_;
    DecayingRate decode_;
};

struct MixWindows
{
    Duration fast_ {};
    Duration slow_ {};
    Tuning tuning_;
};

class MixPhase
{
public:
    explicit MixPhase(const MixWindows &windows);

    /** Tokens asked for since the last call. */
    void observe(const TokenRates &tokens, const RoleRateTable &rates, TimePoint now);

    /** Tokens a second of the present phase. */
    TokenRates demand() const { return present_.demand_.perSecond(); }
    TokenRates lastSeconds() const { return fast_.perSecond(); }
    TimePoint began() const noexcept { return present_.began_; }
    /** How much longer the present phase is likely to last. */
    Duration likelyToLast(TimePoint now) const;

private:
    struct Phase
    {
        TimePoint began_ {};
        DemandWindow demand_;
    };

    void beginPhase(TimePoint now);
    void learnLength(Duration length);
    void learnNoise(double difference, TimePoint now);
    double threshold() const;

    MixWindows windows_;
    DemandWindow fast_;
    Phase present_;
    double meanLengthSeconds_;
    double noise_ = 0;    ///< Mean difference of the fast window while no shift is seen.
    double noiseSeconds_; ///< Time that the mean covers, the first guess included.
    TimePoint noiseAt_ {};
    bool started_ = false;
    bool first_ = true; ///< No shift was seen yet.
};

} // namespace almondridge::planner
