#include "endpointselector.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace almondridge::routing {
namespace {

using fleet::EngineRole;

/**
 * Bounded load: an engine with affinity is taken up to this multiple of the median of the other
 * candidates. Their median and not their best, since the best of many late estimates is mostly the
 * one that is most wrong, and a prompt read anew makes load.
 */
constexpr double AffinityBound = 4;
/** From this shared part of the prompt on the whole bound holds, below it a part. */
constexpr double FullBoundPart = 0.5;
constexpr double AffinitySlackSeconds = 0.02;
/** Where less of the prompt is shared, affinity brings too little to queue for. */
constexpr double LeastSharedPart = 0.1;

/** Another domain must need less than this part of the local time, penalty included. */
constexpr double ClearlyBetter = 0.5;
/** Room below this share is what a domain needs for its own bursts. */
constexpr double LeastSpareShare = 0.1;

/** Alternatives that a choice's reason names. */
constexpr std::size_t ToldAlternatives = 3;

/** A KV handover costs a fixed part and the transfer, at 160 KB a token over some 32 GB/s. */
constexpr double HandoverSeconds = 0.005;
constexpr double HandoverTokensPerSecond = 200'000;
/** Shorter prompts are read alone: the second engine's part of the work would not pay. */
constexpr std::int64_t LeastSplitTokens = 512;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool hasAffinity(const Candidate &candidate)
{
    const bool ruled =
        candidate.rule_ == CandidateRule::Holder || candidate.rule_ == CandidateRule::Rendezvous;
    return ruled && candidate.sharedPart_ >= LeastSharedPart;
}

bool scoresLess(const Candidate &left, const Candidate &right)
{
    return left.score_ < right.score_;
}

/** The median score of the candidates without affinity; infinite when all have it. */
double medianOfOthers(const std::vector<Candidate> &candidates)
{
    std::vector<double> scores;
    for (const Candidate &candidate : candidates) {
        if (!hasAffinity(candidate)) {
            scores.push_back(candidate.score_);
        }
    }
    if (scores.empty()) {
        return std::numeric_limits<double>::infinity();
    }
    const auto middle = scores.begin() + static_cast<std::ptrdiff_t>((scores.size() - 1) / 2);
    std::nth_element(scores.begin(), middle, scores.end());
    return *middle;
}

} // namespace

Chooser::Chooser(EndpointTable &table, const ChoiceSettings &settings, const RouteQuery &query,
                 const PrefixHits &hits, TimePoint now)
    : table_(table)
    , settings_(settings)
    , query_(query)
    , now_(now)
    , sampler_(table, settings, query, hits, now)
{ }

std::optional<RouteChoice> Chooser::choose(const DomainRooms &rooms)
{
    const std::span<const GroupIndex> groups = table_.groupsFor(query_.model_, query_.service_);
    if (groups.empty()) {
        return std::nullopt;
    }
    const bool local = table_.group(groups.front()).domain_ == table_.domain();
    std::optional<Pick> pick;
    if (local) {
        pick = query_.model_.empty() ? pickService(groups.front()) : pickEngine(groups.front());
    }
    if (!pick || pick->taken_.seconds_ > settings_.firstTokenAimSeconds_) {
        const std::optional<Pick> other =
            pickOtherDomain(local ? groups.subspan(1) : groups, rooms);
        const bool better =
            other && pick && other->taken_.seconds_ < pick->taken_.seconds_ * ClearlyBetter;
        if (other && (!pick || better)) {
            pick = other;
        }
    }
    if (!pick && local) {
        pick = pickInBackoff(groups.front());
    }
    return pick ? std::optional(toChoice(*pick)) : std::nullopt;
}

std::optional<Chooser::Pick> Chooser::pickService(GroupIndex group)
{
    const EndpointGroup &endpoints = table_.refreshed(group, now_);
    std::vector<Candidate> candidates =
        sampler_.random({&endpoints.open(EngineRole::Mixed)}, 2, CandidateRule::Random);
    if (candidates.empty()) {
        return std::nullopt;
    }
    for (Candidate &candidate : candidates) {
        const EndpointLoad &load = table_.at(candidate.slot_).load_;
        candidate.score_ = load.outstanding(now_, table_.rules(), endpoints.typical_);
    }
    return best(std::move(candidates));
}

std::optional<Chooser::Pick> Chooser::pickEngine(GroupIndex group)
{
    const EndpointGroup &engines = table_.refreshed(group, now_);
    std::vector<Candidate> candidates = sampler_.gather(
        group, {&engines.open(EngineRole::Mixed), &engines.open(EngineRole::Decode)});
    if (candidates.empty()) {
        // A prefill engine decodes too, only slowly: better than refusing the request.
        candidates = sampler_.gather(group, {&engines.open(EngineRole::Prefill)});
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    Pick alone = best(std::move(candidates));
    std::optional<Pick> split = pickSplit(group, alone.taken_);
    return split ? split : alone;
}

std::optional<Chooser::Pick> Chooser::pickSplit(GroupIndex group, const Candidate &alone)
{
    const EndpointGroup &engines = table_.refreshed(group, now_);
    const std::int64_t uncached = query_.promptTokens_ - alone.cachedTokens_;
    if (uncached < LeastSplitTokens || engines.open(EngineRole::Prefill).empty()) {
        return std::nullopt;
    }
    std::vector<Candidate> readers = sampler_.gather(group, {&engines.open(EngineRole::Prefill)});
    std::vector<Candidate> decoders = sampler_.random(
        {&engines.open(EngineRole::Decode)}, settings_.randomCandidates_, CandidateRule::Random);
    if (readers.empty() || decoders.empty()) {
        return std::nullopt;
    }
    Pick split = best(std::move(readers));
    const double handover =
        HandoverSeconds + static_cast<double>(query_.promptTokens_) / HandoverTokensPerSecond;
    const double seconds = split.taken_.seconds_ + handover;
    if (seconds >= alone.seconds_) {
        return std::nullopt;
    }
    split.prefill_ = split.taken_;
    split.others_.push_back(alone);
    split.taken_ = *std::min_element(decoders.begin(), decoders.end(), scoresLess);
    split.taken_.seconds_ = seconds;
    return split;
}

std::optional<Chooser::Pick> Chooser::pickOtherDomain(std::span<const GroupIndex> groups,
                                                      const DomainRooms &rooms)
{
    std::vector<Candidate> candidates;
    for (const GroupIndex index : groups) {
        const auto room = rooms.find(table_.group(index).domain_);
        if (room == rooms.end() || room->second.validUntil_ <= now_
            || room->second.spareShare_ < LeastSpareShare) {
            continue;
        }
        const EndpointGroup &group = table_.refreshed(index, now_);
        std::vector<Candidate> found =
            sampler_.random({&group.open(EngineRole::Mixed), &group.open(EngineRole::Decode)}, 1,
                            CandidateRule::OtherDomain);
        for (Candidate &candidate : found) {
            // Without a report of its own the engine is as free as its domain says.
            const double share = candidate.fresh_ ? 1.0 : room->second.spareShare_;
            candidate.seconds_ = candidate.seconds_ / share + settings_.otherDomainPenaltySeconds_;
            candidate.score_ = candidate.seconds_;
            candidates.push_back(candidate);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    Pick pick = best(std::move(candidates));
    pick.otherDomain_ = true;
    return pick;
}

std::optional<Chooser::Pick> Chooser::pickInBackoff(GroupIndex group)
{
    // When every endpoint is in back-off the fault may be the requests': one that crashes engines
    // would otherwise close the whole domain to everyone else until the back-off ends.
    sampler_.ignoreBackoff();
    const EndpointGroup &endpoints = table_.refreshed(group, now_);
    std::vector<Candidate> candidates =
        sampler_.random({&endpoints.open(EngineRole::Mixed), &endpoints.open(EngineRole::Decode),
                         &endpoints.open(EngineRole::Prefill)},
                        settings_.randomCandidates_, CandidateRule::LastResort);
    return candidates.empty() ? std::nullopt : std::optional(best(std::move(candidates)));
}

Chooser::Pick Chooser::best(std::vector<Candidate> candidates)
{
    auto taken = std::min_element(candidates.begin(), candidates.end(), scoresLess);
    const double median = medianOfOthers(candidates);
    const auto within = [&](const Candidate &candidate) {
        const double factor =
            1 + (AffinityBound - 1) * std::min(candidate.sharedPart_ / FullBoundPart, 1.0);
        return hasAffinity(candidate) && candidate.score_ <= median * factor + AffinitySlackSeconds;
    };
    if (!hasAffinity(*taken)) {
        const auto affine = std::find_if(candidates.begin(), candidates.end(), within);
        taken = affine == candidates.end() ? taken : affine;
    }
    Pick pick;
    pick.taken_ = *taken;
    candidates.erase(taken);
    const std::size_t told = std::min(candidates.size(), ToldAlternatives);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(told),
                      candidates.end(), scoresLess);
    candidates.resize(told);
    pick.others_ = std::move(candidates);
    return pick;
}

RouteChoice Chooser::toChoice(const Pick &pick) const
{
    RouteChoice choice;
    choice.endpoint_ = table_.at(pick.taken_.slot_).id_;
    if (pick.prefill_) {
        choice.prefill_ = table_.at(pick.prefill_->slot_).id_;
    }
    choice.firstToken_ = now_ + toDuration(pick.taken_.seconds_);
    choice.otherDomain_ = pick.otherDomain_;
    choice.reason_ = reasonOf(pick);
    return choice;
}

std::string Chooser::reasonOf(const Pick &pick) const
{
    const Candidate &because = pick.prefill_ ? *pick.prefill_ : pick.taken_;
    std::string reason = fmt::format(
        "rule={} estimate_ms={:.0f} cached_tokens={} report={} split={} alternatives=",
        nameOf(CandidateRuleNames, because.rule_), pick.taken_.seconds_ * 1e3,
        because.cachedTokens_, because.fresh_ ? "fresh" : "unknown", pick.prefill_ ? "yes" : "no");
    if (pick.others_.empty()) {
        return reason + "none";
    }
    for (const Candidate &other : pick.others_) {
        fmt::format_to(std::back_inserter(reason), "{}{}:{:.0f}",
                       &other == pick.others_.data() ? "" : ",", table_.at(other.slot_).id_.value(),
                       other.seconds_ * 1e3);
    }
    return reason;
}

} // namespace almondridge::routing
