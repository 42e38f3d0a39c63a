#include "candidate.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

/** Further holders are no better than the random candidates. */
constexpr std::size_t MaxHolders = 2;
/** Limit on random draws, some of which hit duplicates or ineligible endpoints. */
constexpr std::size_t DrawsPerCandidate = 4;
/** Weight of a second of decode lateness relative to a second of time to first token. */
constexpr double DecodeLatenessWeight = 0.1;

std::size_t totalSize(const CandidateSampler::Lists &lists)
{
    std::size_t total = 0;
    for (const std::vector<AvailableEndpoint> *list : lists) {
        total += list->size();
    }
    return total;
}

/** The endpoint at index in the concatenation of the lists. */
const AvailableEndpoint &endpointAt(const CandidateSampler::Lists &lists, std::size_t index)
{
    auto list = lists.begin();
    while (index >= (*list)->size()) {
        index -= (*list)->size();
        ++list;
    }
    return (**list)[index];
}

/** Seconds by which decoding the expected output misses the inter-token target. */
double decodeLateness(const EndpointSlot &slot, const RouteQuery &query,
                      const ChoiceSettings &settings, const TypicalLoad &typical)
{
    const double late = 1 / slot.load_.decodeRate(typical) - settings.interTokenTargetSeconds_;
    return std::max(late, 0.0) * static_cast<double>(query.outputTokens_);
}

} // namespace

std::int64_t tokensInBlocks(const RouteQuery &query, std::size_t blocks)
{
    const std::size_t all = std::max<std::size_t>(query.prefixHashes_.size(), 1);
    return query.promptTokens_ * static_cast<std::int64_t>(std::min(blocks, all))
           / static_cast<std::int64_t>(all);
}

RequestCost requestCost(const RouteQuery &query, std::int64_t cachedTokens)
{
    return {std::max<std::int64_t>(query.promptTokens_ - cachedTokens, 1),
            query.promptTokens_ + query.outputTokens_, query.outputTokens_};
}

Candidate estimateCandidate(const EndpointTable &table, const EndpointSlot &slot,
                            const RouteQuery &query, const PrefixHits &hits,
                            const ChoiceSettings &settings, TimePoint now)
{
    Candidate candidate;
    candidate.slot_ = table.indexOf(slot);
    const std::size_t blocks = hits.blocksAt(table.refOf(candidate.slot_));
    candidate.cachedTokens_ = static_cast<std::int64_t>(
        static_cast<double>(tokensInBlocks(query, blocks)) * slot.cacheHitPrecision_.ratio());
    candidate.sharedFraction_ =
        static_cast<double>(tokensInBlocks(query, blocks))
        / static_cast<double>(std::max<std::int64_t>(query.promptTokens_, 1));
    const TypicalLoad &typical = table.group(slot.group_).typical_;
    const LoadRules &rules = table.rules();
    const RequestCost cost = requestCost(query, candidate.cachedTokens_);
    candidate.rawSeconds_ = slot.load_.rawSeconds(cost, now, rules, typical);
    candidate.seconds_ = slot.load_.correctedSeconds(candidate.rawSeconds_, now, rules);
    candidate.hasFreshReport_ = slot.load_.reportIsFresh(now, rules);
    candidate.score_ =
        candidate.seconds_ + decodeLateness(slot, query, settings, typical) * DecodeLatenessWeight;
    return candidate;
}

CandidateSampler::CandidateSampler(EndpointTable &table, const ChoiceSettings &settings,
                                   const RouteQuery &query, const PrefixHits &hits, TimePoint now)
    : table_(table)
    , settings_(settings)
    , query_(query)
    , hits_(hits)
    , now_(now)
    , random_(query.random_)
{ }

std::vector<Candidate> CandidateSampler::gather(GroupIndex group, const Lists &lists)
{
    std::vector<Candidate> candidates;
    addHolders(candidates, group, lists);
    if (candidates.empty()) {
        addRendezvous(candidates, lists);
    }
    addRandom(candidates, lists,
              candidates.size() + static_cast<std::size_t>(settings_.randomCandidates_),
              CandidateRule::Random);
    return candidates;
}

std::vector<Candidate> CandidateSampler::sampleRandom(const Lists &lists, int count,
                                                      CandidateRule rule)
{
    std::vector<Candidate> candidates;
    addRandom(candidates, lists, static_cast<std::size_t>(count), rule);
    return candidates;
}

bool CandidateSampler::eligible(SlotIndex index) const
{
    const EndpointSlot &slot = table_.at(index);
    if (!ignoreBackoff_ && !slot.backoff_.allowsDispatch(now_)) {
        return false;
    }
    return std::find(query_.excluded_.begin(), query_.excluded_.end(), slot.id_)
           == query_.excluded_.end();
}

std::uint64_t CandidateSampler::nextRandom()
{
    random_ = mixHashes(random_, query_.random_);
    return random_;
}

void CandidateSampler::addHolders(std::vector<Candidate> &candidates, GroupIndex group,
                                  const Lists &lists)
{
    for (const PrefixHit &hit : hits_.hits_) {
        const EndpointSlot *slot = table_.at(hit.slot_);
        if (slot == nullptr || slot->group_ != group || !slot->available()) {
            continue;
        }
        const std::vector<AvailableEndpoint> *list = &table_.group(group).available(slot->role());
        const bool listed = std::find(lists.begin(), lists.end(), list) != lists.end();
        if (listed && eligible(hit.slot_.index_)) {
            add(candidates, hit.slot_.index_, CandidateRule::Holder);
        }
        if (candidates.size() == MaxHolders) {
            return;
        }
    }
}

void CandidateSampler::addRendezvous(std::vector<Candidate> &candidates, const Lists &lists)
{
    if (!hits_.rendezvousKey_) {
        return;
    }
    std::uint64_t highest = 0;
    std::optional<SlotIndex> winner;
    for (const std::vector<AvailableEndpoint> *list : lists) {
        for (const AvailableEndpoint &endpoint : *list) {
            const std::uint64_t rank = mixHashes(*hits_.rendezvousKey_, endpoint.idHash_);
            if (rank >= highest && eligible(endpoint.slot_)) {
                highest = rank;
                winner = endpoint.slot_;
            }
        }
    }
    if (winner) {
        add(candidates, *winner, CandidateRule::Rendezvous);
        candidates.back().sharedFraction_ = hits_.sharedPromptShare_;
    }
}

void CandidateSampler::addRandom(std::vector<Candidate> &candidates, const Lists &lists,
                                 std::size_t count, CandidateRule rule)
{
    const std::size_t total = totalSize(lists);
    if (total == 0) {
        return;
    }
    for (std::size_t draw = 0; draw < count * DrawsPerCandidate && candidates.size() < count;
         ++draw) {
        const SlotIndex slot = endpointAt(lists, nextRandom() % total).slot_;
        if (eligible(slot)) {
            add(candidates, slot, rule);
        }
    }
    if (candidates.empty()) {
        scan(candidates, lists, count, rule);
    }
}

void CandidateSampler::scan(std::vector<Candidate> &candidates, const Lists &lists,
                            std::size_t count, CandidateRule rule)
{
    const std::size_t total = totalSize(lists);
    const std::size_t start = nextRandom() % total;
    for (std::size_t step = 0; step < total && candidates.size() < count; ++step) {
        const SlotIndex slot = endpointAt(lists, (start + step) % total).slot_;
        if (eligible(slot)) {
            add(candidates, slot, rule);
        }
    }
}

void CandidateSampler::add(std::vector<Candidate> &candidates, SlotIndex slot, CandidateRule rule)
{
    const bool known = std::any_of(candidates.begin(), candidates.end(),
                                   [&](const Candidate &other) { return other.slot_ == slot; });
    if (known) {
        return;
    }
    candidates.push_back(
        estimateCandidate(table_, table_.at(slot), query_, hits_, settings_, now_));
    candidates.back().rule_ = rule;
}

} // namespace almondridge::routing
