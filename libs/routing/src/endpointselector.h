/**
 * One choice of an endpoint among its candidates. Lives for one call of Router::choose().
 */
#pragma once

#include "candidate.h"

#include <map>
#include <optional>

namespace almondridge::routing {

/** Another domain's word on its room. */
struct DomainRoom
{
    double spareShare_ = 0;
    TimePoint validUntil_ {};
};

using DomainRooms = std::map<DomainId, DomainRoom>;

class Chooser
{
public:
    Chooser(EndpointTable &table, const ChoiceSettings &settings, const RouteQuery &query,
            const PrefixHits &hits, TimePoint now);

    std::optional<RouteChoice> choose(const DomainRooms &rooms);

private:
    struct Pick
    {
        Candidate taken_;
        std::optional<Candidate> prefill_;
        std::vector<Candidate> others_; ///< Alternatives, for the reason.
        bool otherDomain_ = false;
    };

    std::optional<Pick> pickService(GroupIndex group);
    std::optional<Pick> pickEngine(GroupIndex group);
    std::optional<Pick> pickSplit(GroupIndex group, const Candidate &alone);
    std::optional<Pick> pickOtherDomain(std::span<const GroupIndex> groups,
                                        const DomainRooms &rooms);
    std::optional<Pick> pickInBackoff(GroupIndex group);
    /** The best by score, or one with affinity that is hardly worse. */
    static Pick best(std::vector<Candidate> candidates);
    RouteChoice toChoice(const Pick &pick) const;
    std::string reasonOf(const Pick &pick) const;

    EndpointTable &table_;
    const ChoiceSettings &settings_;
    const RouteQuery &query_;
    TimePoint now_;
    CandidateSampler sampler_;
};

} // namespace almondridge::routing
