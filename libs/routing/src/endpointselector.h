/**
 * Selects an endpoint for one request. Created for one call of Router::choose().
 */
#pragma once

#include "candidate.h"

#include <map>
#include <optional>

namespace almondridge::routing {

/** Spare capacity that another failure domain reported. */
struct DomainCapacity
{
    double spareShare_ = 0; ///< Free share of its engines, 0 to 1.
    TimePoint validUntil_ {};
};

using DomainCapacities = std::map<DomainId, DomainCapacity>;

/** Applies the selection rules to the candidates of one request. */
class EndpointSelector
{
public:
    EndpointSelector(EndpointTable &table, const ChoiceSettings &settings, const RouteQuery &query,
                     const PrefixHits &hits, TimePoint now);

    /** Returns nullopt if no endpoint is available. */
    std::optional<RouteChoice> choose(const DomainCapacities &capacities);

private:
    /** The selected candidate or, with prefill_, the pair of them. */
    struct Selection
    {
        Candidate selected_;
        std::optional<Candidate> prefill_;
        std::vector<Candidate> alternatives_; ///< The next best, for RouteChoice::reason_.
        bool otherDomain_ = false;
    };

    std::optional<Selection> selectService(GroupIndex group);
    std::optional<Selection> selectEngine(GroupIndex group);
    std::optional<Selection> selectSplit(GroupIndex group, const Candidate &single);
    std::optional<Selection> selectOtherDomain(std::span<const GroupIndex> groups,
                                               const DomainCapacities &capacities);
    std::optional<Selection> selectInBackoff(GroupIndex group);
    /** The candidate with the lowest score, or one with affinity within the affinity bound. */
    static Selection best(std::vector<Candidate> candidates);
    RouteChoice toChoice(const Selection &selection) const;
    std::string formatReason(const Selection &selection) const;

    EndpointTable &table_;
    const ChoiceSettings &settings_;
    const RouteQuery &query_;
    TimePoint now_;
    CandidateSampler sampler_;
};

} // namespace almondridge::routing
