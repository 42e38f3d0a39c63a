#include "endpointselector.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>

namespace almondridge::routing {
namespace {

using fleet::EngineRole;

/**
 * Consistent hashing with bounded loads: an engine with affinity is preferred while its score is at
 * most this multiple of the median score of the other candidates. The median is used because the
 * best of many outdated estimates is mostly the one with the largest error, and because prefilling
 * a prompt again adds load.
 */
constexpr double MaxAffinityFactor = 4;
/** Shared fraction of the prompt from which the whole factor applies; it is scaled down below. */
constexpr double FullFactorSharedFraction = 0.5;
constexpr double AffinitySlackSeconds = 0.02;
/** Below this shared fraction affinity is ignored: too little is saved to justify queueing. */
constexpr double MinSharedFraction = 0.1;

/** Another domain is used if its time, penalty included, is below this part of the local time. */
constexpr double MaxOtherDomainRatio = 0.5;
/** Domains with less spare capacity need it for their own bursts. */
constexpr double MinSpareShare = 0.1;

/** Alternatives listed in RouteChoice::reason_. */
constexpr std::size_t MaxLoggedAlternatives = 3;

/** Cost of a KV transfer: a fixed part, and 160 KB per token at about 32 GB/s. */
constexpr double HandoverFixedSeconds = 0.005;
constexpr double HandoverTokensPerSecond = 200'000;
/** Shorter prompts stay on one engine, since splitting them saves less than it costs. */
constexpr std::int64_t MinSplitTokens = 512;

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool hasAffinity(const Candidate &candidate)
{
    const bool byAffinityRule =
        candidate.rule_ == CandidateRule::Holder || candidate.rule_ == CandidateRule::Rendezvous;
    return byAffinityRule && candidate.sharedFraction_ >= MinSharedFraction;
}

bool hasLowerScore(const Candidate &left, const Candidate &right)
{
    return left.score_ < right.score_;
}

/** Median score of the candidates without affinity; infinity if all have it. */
double medianWithoutAffinity(const std::vector<Candidate> &candidates)
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

EndpointSelector::EndpointSelector(EndpointTable &table, const ChoiceSettings &settings,
                                   const RouteQuery &query, const PrefixHits &hits, TimePoint now)
    : table_(table)
    , settings_(settings)
    , query_(query)
    , now_(now)
    , sampler_(table, settings, query, hits, now)
{ }

std::optional<RouteChoice> EndpointSelector::choose(const DomainCapacities &capacities)
{
    const std::span<const GroupIndex> groups = table_.groupsFor(query_.model_, query_.service_);
    if (groups.empty()) {
        return std::nullopt;
    }
    const bool local = table_.group(groups.front()).domain_ == table_.domain();
    std::optional<Selection> selection;
    if (local) {
        selection =
            query_.model_.empty() ? selectService(groups.front()) : selectEngine(groups.front());
    }
    if (!selection || selection->selected_.seconds_ > settings_.firstTokenTargetSeconds_) {
        const std::optional<Selection> other =
            selectOtherDomain(local ? groups.subspan(1) : groups, capacities);
        const bool better =
            other && selection
            && other->selected_.seconds_ < selection->selected_.seconds_ * MaxOtherDomainRatio;
        if (other && (!selection || better)) {
            selection = other;
        }
    }
    if (!selection && local) {
        selection = selectInBackoff(groups.front());
    }
    return selection ? std::optional(toChoice(*selection)) : std::nullopt;
}

std::optional<EndpointSelector::Selection> EndpointSelector::selectService(GroupIndex group)
{
    const EndpointGroup &endpoints = table_.refreshedGroup(group, now_);
    std::vector<Candidate> candidates =
        sampler_.sampleRandom({&endpoints.available(EngineRole::Mixed)}, 2, CandidateRule::Random);
    if (candidates.empty()) {
        return std::nullopt;
    }
    for (Candidate &candidate : candidates) {
        const EndpointLoad &load = table_.at(candidate.slot_).load_;
        candidate.score_ = load.outstanding(now_, table_.rules(), endpoints.typical_);
    }
    return best(std::move(candidates));
}

std::optional<EndpointSelector::Selection> EndpointSelector::selectEngine(GroupIndex group)
{
    const EndpointGroup &engines = table_.refreshedGroup(group, now_);
    std::vector<Candidate> candidates = sampler_.gather(
        group, {&engines.available(EngineRole::Mixed), &engines.available(EngineRole::Decode)});
    if (candidates.empty()) {
        // A prefill engine can decode too, only slowly, which is better than a refusal.
        candidates = sampler_.gather(group, {&engines.available(EngineRole::Prefill)});
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    Selection single = best(std::move(candidates));
    std::optional<Selection> split = selectSplit(group, single.selected_);
    return split ? split : single;
}

std::optional<EndpointSelector::Selection> EndpointSelector::selectSplit(GroupIndex group,
                                                                         const Candidate &single)
{
    const EndpointGroup &engines = table_.refreshedGroup(group, now_);
    const std::int64_t uncached = query_.promptTokens_ - single.cachedTokens_;
    if (uncached < MinSplitTokens || engines.available(EngineRole::Prefill).empty()) {
        return std::nullopt;
    }
    std::vector<Candidate> prefillCandidates =
        sampler_.gather(group, {&engines.available(EngineRole::Prefill)});
    std::vector<Candidate> decodeCandidates =
        sampler_.sampleRandom({&engines.available(EngineRole::Decode)}, settings_.randomCandidates_,
                              CandidateRule::Random);
    if (prefillCandidates.empty() || decodeCandidates.empty()) {
        return std::nullopt;
    }
    Selection split = best(std::move(prefillCandidates));
    const double handover =
        HandoverFixedSeconds + static_cast<double>(query_.promptTokens_) / HandoverTokensPerSecond;
    const double seconds = split.selected_.seconds_ + handover;
    if (seconds >= single.seconds_) {
        return std::nullopt;
    }
    split.prefill_ = split.selected_;
    split.alternatives_.push_back(single);
    split.selected_ =
        *std::min_element(decodeCandidates.begin(), decodeCandidates.end(), hasLowerScore);
    split.selected_.seconds_ = seconds;
    return split;
}

std::optional<EndpointSelector::Selection>
EndpointSelector::selectOtherDomain(std::span<const GroupIndex> groups,
                                    const DomainCapacities &capacities)
{
    std::vector<Candidate> candidates;
    for (const GroupIndex index : groups) {
        const auto capacity = capacities.find(table_.group(index).domain_);
        if (capacity == capacities.end() || capacity->second.validUntil_ <= now_
            || capacity->second.spareShare_ < MinSpareShare) {
            continue;
        }
        const EndpointGroup &group = table_.refreshedGroup(index, now_);
        std::vector<Candidate> found = sampler_.sampleRandom(
            {&group.available(EngineRole::Mixed), &group.available(EngineRole::Decode)}, 1,
            CandidateRule::OtherDomain);
        for (Candidate &candidate : found) {
            // Without a fresh report of the engine, use the spare share of its domain.
            const double share = candidate.hasFreshReport_ ? 1.0 : capacity->second.spareShare_;
            candidate.seconds_ = candidate.seconds_ / share + settings_.otherDomainPenaltySeconds_;
            candidate.score_ = candidate.seconds_;
            candidates.push_back(candidate);
        }
    }
    if (candidates.empty()) {
        return std::nullopt;
    }
    Selection selection = best(std::move(candidates));
    selection.otherDomain_ = true;
    return selection;
}

std::optional<EndpointSelector::Selection> EndpointSelector::selectInBackoff(GroupIndex group)
{
    // If every endpoint is in back-off, the requests may be the cause: otherwise one query of death
    // would block the whole domain for all clients until the back-off ends.
    sampler_.ignoreBackoff();
    const EndpointGroup &endpoints = table_.refreshedGroup(group, now_);
    std::vector<Candidate> candidates = sampler_.sampleRandom(
        {&endpoints.available(EngineRole::Mixed), &endpoints.available(EngineRole::Decode),
         &endpoints.available(EngineRole::Prefill)},
        settings_.randomCandidates_, CandidateRule::LastResort);
    return candidates.empty() ? std::nullopt : std::optional(best(std::move(candidates)));
}

EndpointSelector::Selection EndpointSelector::best(std::vector<Candidate> candidates)
{
    auto selected = std::min_element(candidates.begin(), candidates.end(), hasLowerScore);
    const double median = medianWithoutAffinity(candidates);
    const auto withinBound = [&](const Candidate &candidate) {
        const double factor =
            1
            + (MaxAffinityFactor - 1)
                  * std::min(candidate.sharedFraction_ / FullFactorSharedFraction, 1.0);
        return hasAffinity(candidate) && candidate.score_ <= median * factor + AffinitySlackSeconds;
    };
    if (!hasAffinity(*selected)) {
        const auto withAffinity = std::find_if(candidates.begin(), candidates.end(), withinBound);
        selected = withAffinity == candidates.end() ? selected : withAffinity;
    }
    Selection selection;
    selection.selected_ = *selected;
    candidates.erase(selected);
    const std::size_t logged = std::min(candidates.size(), MaxLoggedAlternatives);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(logged),
                      candidates.end(), hasLowerScore);
    candidates.resize(logged);
    selection.alternatives_ = std::move(candidates);
    return selection;
}

RouteChoice EndpointSelector::toChoice(const Selection &selection) const
{
    RouteChoice choice;
    choice.endpoint_ = table_.at(selection.selected_.slot_).id_;
    if (selection.prefill_) {
        choice.prefill_ = table_.at(selection.prefill_->slot_).id_;
    }
    choice.firstToken_ = now_ + toDuration(selection.selected_.seconds_);
    choice.otherDomain_ = selection.otherDomain_;
    choice.reason_ = formatReason(selection);
    return choice;
}

std::string EndpointSelector::formatReason(const Selection &selection) const
{
    const Candidate &deciding = selection.prefill_ ? *selection.prefill_ : selection.selected_;
    std::string reason =
        fmt::format("rule={} estimate_ms={:.0f} cached_tokens={} report={} split={} alternatives=",
                    nameOf(CandidateRuleNames, deciding.rule_), selection.selected_.seconds_ * 1e3,
                    deciding.cachedTokens_, deciding.hasFreshReport_ ? "fresh" : "unknown",
                    selection.prefill_ ? "yes" : "no");
    if (selection.alternatives_.empty()) {
        return reason + "none";
    }
    for (const Candidate &other : selection.alternatives_) {
        fmt::format_to(std::back_inserter(reason), "{}{}:{:.0f}",
                       &other == selection.alternatives_.data() ? "" : ",",
                       table_.at(other.slot_).id_.value(), other.seconds_ * 1e3);
    }
    return reason;
}

} // namespace almondridge::routing
