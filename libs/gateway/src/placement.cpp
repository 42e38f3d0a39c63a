#include "almondridge/gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <tuple>

namespace almondridge::gateway {
namespace {

/** Capacity of the cache index: some thousand shared parts on a few engines each. */
constexpr std::size_t MaxIndexedParts = 8'192;
/**
 * Only a measured speed below this fraction of the usual one counts as slow. Measured speeds of
 * healthy engines vary by chance, and placing prompts by them would lose cache hits.
 */
constexpr double SlowSpeedRatio = 0.5;

/** Parts kept for the next load report: more than an instance caches between two reports. */
constexpr std::size_t MaxPendingParts = 256;
/** The prefill time of fewer shared tokens is within the measurement error. */
constexpr double MinSampleTokens = 4'000;
/** Smoothing factor of the hit rate that is assumed for unknown parts. */
constexpr double HitRateSmoothing = 0.1;

/**
 * Prompts that wait this long for their first event count as much as a full engine. An engine with
 * slow links has few requests, so its slots look free though each request takes a second.
 */
constexpr double FullEngineWaitMillis = 100;

/** Older load reports say nothing about the current queue. */
constexpr Duration MaxLoadAge = millis(400);

/**
 * Engines that may prefill and cache the same part: the first of its ranking, and the second if
 * the first one's queue is long. Each copy costs a prefill and evicts other parts; without a limit,
 * a loaded fleet copies every part to every engine and keeps recomputing what was evicted.
 */
constexpr std::size_t ReplicasPerPart = 2;
/**
 * The same where endpoints report work times: engines differ in speed there, and which of them is
 * slow changes within a second. RecomputePenalty keeps long parts on few of these engines, while
 * prompts with short shared parts are prefilled on whichever has time.
 */
constexpr std::size_t ReplicasOfUnevenEngines = 12;

/**
 * Prefill time that a prompt may lose on an engine with an idle connection: a new one costs a round
 * trip and processor time at both ends.
 */
constexpr double ConnectMillis = 10;

/**
 * Weight of the time to recompute a shared part on another engine, added to that time itself: the
 * engine prefills nothing else meanwhile, and the copy evicts other parts from its cache.
 */
constexpr double RecomputePenalty = 2;

template <typename Id>
bool contains(const std::vector<Id> &ids, const Id &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

/** version: of a stream; endpoints of other and of unknown versions can't go on with it. */
void removeUnsuitable(std::vector<const Endpoint *> &endpoints, const EndpointTable &table,
                      const std::vector<EndpointId> &excluded,
                      const std::optional<SoftwareVersion> &version, TimePoint now)
{
    std::erase_if(endpoints, [&](const Endpoint *one) {
        return contains(excluded, one->listed_.id_)
               || (version && !isSameVersion(table.streamVersionAt(*one, now), *version));
    });
}

bool hasIdleConnection(const IdleConnectionCheck &check, const Endpoint &endpoint)
{
    return check && check(endpoint.listed_.id_);
}

bool decodes(const Endpoint &endpoint)
{
    return endpoint.listed_.stage_ != Stage::Prefill;
}

/** Requests at the endpoint per slot. */
double utilization(const Endpoint &endpoint, TimePoint now)
{
    const int slots = std::max(1, endpoint.listed_.slots_);
    double busy = endpoint.outstanding();
    if (endpoint.loadAt_ + MaxLoadAge > now) {
        busy = std::max<double>(busy, endpoint.load_.running_ + endpoint.load_.waiting_);
    }
    return busy / slots;
}

/** As utilization(), including the requests that peers report for a decode engine. */
double decodeUtilization(const Endpoint &endpoint, TimePoint now)
{
    const int slots = std::max(1, endpoint.listed_.slots_);
    return std::max(static_cast<double>(endpoint.fleetSlotUse().all()) / slots,
                    utilization(endpoint, now));
}

/** Requests like this one that fit into an engine: its slots, or fewer if its KV cache is full. */
double capacityFor(const Endpoint &endpoint, const DecodeQuery &query)
{
    const auto slots = static_cast<double>(std::max(1, endpoint.listed_.slots_));
    if (query.kvTokens_ <= 0 || query.promptTokens_ <= 0) {
        return slots;
    }
    const double byMemory =
        static_cast<double>(query.kvTokens_) / static_cast<double>(query.promptTokens_);
    return std::clamp(byMemory, 1.0, slots);
}

/**
 * As decodeUtilization(), with the request itself, for engines that report work times: slots that
 * take longer are worth less, and a long prompt takes more of the KV cache than of the slots.
 */
double unevenUtilization(const Endpoint &endpoint, const DecodeQuery &query, TimePoint now)
{
    if (!endpoint.workTime_.isKnown()) {
        return decodeUtilization(endpoint, now);
    }
    const auto slots = static_cast<double>(std::max(1, endpoint.listed_.slots_));
    const double requests = decodeUtilization(endpoint, now) * slots + 1;
    return requests / capacityFor(endpoint, query) * endpoint.workTime_.factorAt(now);
}

/**
 * The endpoint of least cost. The search starts at a position given by tieBreaker: if it always
 * started at the lowest id, all instances would send to the same idle endpoint.
 */
const Endpoint *cheapest(const std::vector<const Endpoint *> &endpoints, std::uint64_t tieBreaker,
                         const std::function<double(const Endpoint &)> &costOf)
{
    const Endpoint *best = nullptr;
    double bestCost = 0;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const Endpoint *one = endpoints[(index + tieBreaker) % endpoints.size()];
        const double cost = costOf(*one);
        if (best == nullptr || cost < bestCost) {
            best = one;
            bestCost = cost;
        }
    }
    return best;
}

/**
 * The part that decides where a prompt goes: the last shared one, so that exactly the prompts with
 * the same shared prefix go to the same engine. If the largest part decided, all prompts that begin
 * with the same long text would go to a few engines; the busiest got 7.4 times the mean load.
 */
const PromptPart *leadingPart(const Prompt &prompt)
{
    if (prompt.parts_.empty()) {
        return nullptr;
    }
    return prompt.parts_.size() > 1 ? &prompt.parts_[prompt.parts_.size() - 2]
                                    : &prompt.parts_.front();
}

} // namespace

/** Estimated cost of prefilling a prompt on one engine. */
struct Placement::Estimate
{
    const Endpoint *engine_ = nullptr;
    int urgency_ = 0;
    std::int64_t uncachedTokens_ = 0;
    std::int64_t queuedTokens_ = 0;
    bool cacheHitUnknown_ = false; ///< As in PromptPlan.
    double millis_ = 0;            ///< Time until the prefill ends, including the queue.
    double cost_ = 0;              ///< millis_ plus the penalty for recomputing shared parts.

    bool isCheaperThan(const Estimate &other) const
    {
        return other.engine_ == nullptr || cost_ < other.cost_;
    }
};

Placement::Placement(PlacementSettings settings)
    : settings_(std::move(settings))
    , cacheIndex_(MaxIndexedParts)
{ }

double Placement::millisPerToken(const RequestCosts &costs, const Endpoint &engine,
                                 TimePoint now) const
{
    double millis = costs.prefillComputeMillis(1);
    if (engine.workTime_.isKnown()) {
        millis *= engine.workTime_.factorAt(now);
    } else if (engine.prefillSpeed_ < SlowSpeedRatio) {
        millis /= engine.prefillSpeed_;
    }
    return engine.listed_.stage_ == Stage::Prefill ? millis
                                                   : millis / settings_.decodePrefillSpeed_;
}

Placement::Estimate Placement::estimateTokens(const Endpoint &engine, const PromptQuery &query,
                                              bool mayBeCached) const
{
    const Prompt &prompt = *query.prompt_;
    std::int64_t cached = cacheIndex_.cachedTokens(engine.listed_, prompt);
    const std::int64_t shared = prompt.tokens_ - prompt.unsharedTokens();
    Estimate estimate;
    estimate.engine_ = &engine;
    if (mayBeCached && cached < shared) {
        // Either cached before this instance started, or not at all: uses the learned hit rate.
        estimate.cacheHitUnknown_ = true;
        cached += std::llround(unknownHitRate_ * static_cast<double>(shared - cached));
    }
    estimate.uncachedTokens_ = std::max<std::int64_t>(1, prompt.tokens_ - cached);
    return estimate;
}

Placement::Estimate Placement::estimatePrefill(const Endpoint &engine, const PromptQuery &query,
                                               bool mayBeCached, int urgency, TimePoint now) const
{
    Estimate estimate = estimateTokens(engine, query, mayBeCached);
    const double perToken = millisPerToken(*query.costs_, engine, now);
    estimate.urgency_ = urgency;
    // Every queued prompt that can still be in time counts as ahead, even a less urgent one: an
    // engine prefills several prompts at once and doesn't preempt those that it has begun.
    const int maxUrgency = urgency < FirstLateUrgency ? FirstLateUrgency - 1 : UrgencyLevels - 1;
    estimate.queuedTokens_ = engine.fleetQueuedTokens(maxUrgency);
    estimate.millis_ =
        query.costs_->prefillMillis(0)
        + perToken * static_cast<double>(estimate.queuedTokens_ + estimate.uncachedTokens_);
    const std::int64_t recomputed = estimate.uncachedTokens_ - query.prompt_->unsharedTokens();
    estimate.cost_ =
        estimate.millis_
        + RecomputePenalty * perToken * static_cast<double>(std::max<std::int64_t>(0, recomputed));
    if (engine.workTime_.isKnown() && !hasIdleConnection(query.hasIdleConnection_, engine)) {
        estimate.cost_ += ConnectMillis;
    }
    return estimate;
}

Placement::Candidates Placement::candidates(const EndpointTable &table, const PromptQuery &query,
                                            TimePoint now) const
{
    std::vector<const Endpoint *> engines = table.usable(query.service_, now);
    removeUnsuitable(engines, table, query.excluded_, query.version_, now);
    const PromptPart *leading = leadingPart(*query.prompt_);
    const std::uint64_t part = leading != nullptr ? leading->id_ : 0;
    Candidates found;
    found.room_ = versionRoom(engines, now);
    found.ranking_.reserve(engines.size());
    // No engine could be told to fetch what an engine of unknown version has read.
    std::erase_if(engines, [&](const Endpoint *engine) {
        return !decodes(*engine) && engine->versionAt(now).empty();
    });
    for (const Endpoint *engine : engines) {
        found.ranking_.push_back({rendezvousWeight(engine->idHash_, part), engine});
        found.reportWorkTimes_ = found.reportWorkTimes_ || engine->workTime_.isKnown();
    }
    return found;
}

VersionRoom Placement::versionRoom(const std::vector<const Endpoint *> &engines, TimePoint now)
{
    VersionRoom room;
    for (const Endpoint *engine : engines) {
        if (decodes(*engine)) {
            room.add(engine->listed_.version_, decodeUtilization(*engine, now));
        }
    }
    return room;
}

/**
 * The highest-ranked prefill engines whose prompts an engine of the same version can decode. Those
 * of versions that are open to new streams come first.
 */
std::vector<const Endpoint *> Placement::replicaEngines(const Candidates &engines)
{
    const VersionRoom &room = engines.room_;
    const std::size_t most = engines.reportWorkTimes_ ? ReplicasOfUnevenEngines : ReplicasPerPart;
    Ranking replicas;
    const auto ranksBefore = [&](const Candidate &left, const Candidate &right) {
        const bool isLeftOpen = room.isOpen(left.engine_->listed_.version_);
        const bool isRightOpen = room.isOpen(right.engine_->listed_.version_);
        return isLeftOpen == isRightOpen ? left.weight_ > right.weight_ : isLeftOpen;
    };
    for (const Candidate &one : engines.ranking_) {
        const SoftwareVersion &version = one.engine_->listed_.version_;
        if (decodes(*one.engine_) || !room.decodes(version)) {
            continue;
        }
        const auto place =
            std::find_if(replicas.begin(), replicas.end(),
                         [&](const Candidate &replica) { return ranksBefore(one, replica); });
        if (place != replicas.end() || replicas.size() < most) {
            replicas.insert(place, one);
            replicas.resize(std::min(replicas.size(), most));
        }
    }
    std::vector<const Endpoint *> found;
    std::transform(replicas.begin(), replicas.end(), std::back_inserter(found),
                   [](const Candidate &replica) { return replica.engine_; });
    return found;
}

bool Placement::mayDecode(const Candidates &engines, const Endpoint &engine)
{
    return decodes(engine) && engines.room_.isOpen(engine.listed_.version_);
}

/** The highest-ranked engine that may decode the prompt; null if there is none. */
const Endpoint *Placement::firstDecodeEngine(const Candidates &engines)
{
    Candidate first;
    for (const Candidate &one : engines.ranking_) {
        if (mayDecode(engines, *one.engine_)
            && (first.engine_ == nullptr || one.weight_ > first.weight_)) {
            first = one;
        }
    }
    return first.engine_;
}

Placement::Estimate Placement::bestPrefillEngine(const Candidates &engines,
                                                 const PromptQuery &query, TimePoint now) const
{
    const std::vector<const Endpoint *> replicas = replicaEngines(engines);
    const PromptPart *leading = leadingPart(*query.prompt_);
    const bool known =
        leading == nullptr
        || std::any_of(replicas.begin(), replicas.end(), [&](const Endpoint *replica) {
               return cacheIndex_.holds(replica->listed_, leading->id_);
           });
    const auto bestAt = [&](int urgency) {
        Estimate best;
        for (const Endpoint *replica : replicas) {
            const bool mayBeCached = !known && replica == replicas.front();
            const Estimate estimate = estimatePrefill(*replica, query, mayBeCached, urgency, now);
            if (estimate.isCheaperThan(best)) {
                best = estimate;
            }
        }
        return best;
    };
    const int inTime = std::clamp(query.priority_, 0, FirstLateUrgency - 1);
    const Estimate best = bestAt(inTime);
    const auto budgetMillis =
        static_cast<double>(toMillis(query.firstEventDeadline_ - now) - settings_.handoverMillis_)
        - query.slotWaitMillis_;
    return best.engine_ == nullptr || best.millis_ <= budgetMillis
               ? best
               : bestAt(FirstLateUrgency + inTime);
}

Placement::Estimate Placement::bestInPlaceEngine(const Candidates &engines,
                                                 const PromptQuery &query, TimePoint now) const
{
    Estimate best;
    std::uint64_t bestWeight = 0;
    for (const auto &[weight, engine] : engines.ranking_) {
        if (!mayDecode(engines, *engine)) {
            continue;
        }
        const Estimate estimate = estimatePrefill(
            *engine, query, false, std::clamp(query.priority_, 0, FirstLateUrgency - 1), now);
        const bool isFirstOfEqual = estimate.cost_ == best.cost_ && weight > bestWeight;
        if (estimate.isCheaperThan(best) || isFirstOfEqual) {
            best = estimate;
            bestWeight = weight;
        }
    }
    return best;
}

const Endpoint *Placement::cacheCopySource(const Candidates &engines, const Endpoint &prefillEngine,
                                           const Prompt &prompt, TimePoint now) const
{
    // A prompt that was sent more recently may not be prefilled yet.
    constexpr Duration MinCacheAge = millis(1'500);
    // Prefilling fewer tokens takes about as long as setting up a copy.
    constexpr std::int64_t MinCopiedTokens = 1'000;
    const std::int64_t shared = prompt.tokens_ - prompt.unsharedTokens();
    const std::int64_t minTokens =
        cacheIndex_.cachedTokens(prefillEngine.listed_, prompt) + MinCopiedTokens;
    if (minTokens >= shared) {
        return nullptr; // Most prompts: the shared parts are cached there or are short.
    }
    // Most cached tokens first, then the same failure domain, then the rendezvous weight.
    using Rank = std::tuple<std::int64_t, bool, std::uint64_t>;
    const Endpoint *best = nullptr;
    Rank bestRank;
    for (const auto &[weight, engine] : engines.ranking_) {
        const std::int64_t kept =
            std::min(shared, cacheIndex_.cachedTokens(engine->listed_, prompt, now - MinCacheAge));
        if (engine == &prefillEngine || kept <= minTokens
            || !isSameVersion(engine->listed_.version_, prefillEngine.listed_.version_)) {
            continue;
        }
        const Rank engineRank {kept, engine->listed_.domain_ == prefillEngine.listed_.domain_,
                               weight};
        if (best == nullptr || engineRank > bestRank) {
            best = engine;
            bestRank = engineRank;
        }
    }
    return best;
}

std::optional<PromptPlan> Placement::planPrompt(const EndpointTable &table,
                                                const PromptQuery &query, TimePoint now) const
{
    const Candidates engines = candidates(table, query, now);
    const Endpoint *decodeEngine = firstDecodeEngine(engines);
    if (decodeEngine == nullptr) {
        return std::nullopt;
    }
    const Estimate separate = bestPrefillEngine(engines, query, now);
    const bool isInPlace = query.prefillInPlace_ || separate.engine_ == nullptr;
    const Estimate inPlace = isInPlace ? bestInPlaceEngine(engines, query, now) : Estimate();
    const Estimate &prefill = separate.engine_ != nullptr ? separate : inPlace;
    PromptPlan plan;
    if (separate.engine_ != nullptr) {
        plan.prefill_ = separate.engine_->listed_.id_;
    }
    plan.decode_ = (isInPlace ? inPlace.engine_ : decodeEngine)->listed_.id_;
    plan.urgency_ = prefill.urgency_;
    plan.uncachedTokens_ = prefill.uncachedTokens_;
    plan.queuedTokens_ = prefill.queuedTokens_;
    plan.cacheHitUnknown_ = prefill.cacheHitUnknown_;
    const Endpoint *source = cacheCopySource(engines, *prefill.engine_, *query.prompt_, now);
    if (source != nullptr) {
        plan.copyFrom_ = source->listed_.id_;
    }
    plan.prefillMillis_ = prefill.millis_;
    return plan;
}

std::optional<DecodeChoice> Placement::chooseDecodeEngine(const EndpointTable &table,
                                                          const DecodeQuery &query,
                                                          std::uint64_t tieBreaker,
                                                          TimePoint now) const
{
    // Transfers between failure domains take twice as long and cost more: an engine of another
    // domain is chosen only if those of the source's domain are fuller by a quarter of the slots.
    constexpr double CrossDomainPenalty = 0.25;
    std::vector<const Endpoint *> engines = table.usable(query.service_, now);
    removeUnsuitable(engines, table, query.excluded_, query.version_, now);
    if (query.prefillVersion_) {
        std::erase_if(engines, [&](const Endpoint *one) {
            return !isSameVersion(one->versionAt(now), *query.prefillVersion_);
        });
    }
    const VersionRoom room = versionRoom(engines, now);
    std::erase_if(engines, [&](const Endpoint *one) {
        return !decodes(*one) || !room.isOpen(one->listed_.version_);
    });
    const Endpoint *best = cheapest(engines, tieBreaker, [&](const Endpoint &one) {
        const double waitMillis =
            static_cast<double>(one.fleetQueuedTokens()) * millisPerToken(*query.costs_, one, now);
        return unevenUtilization(one, query, now) + waitMillis / FullEngineWaitMillis
               + (one.listed_.domain_ == query.source_ ? 0 : CrossDomainPenalty);
    });
    if (best == nullptr) {
        return std::nullopt;
    }
    const SlotUse use = best->fleetSlotUse();
    const int slots = best->listed_.slots_;
    const double slotMillis = query.costs_->meanGenerateMillis();
    return DecodeChoice {best->listed_.id_, slotWaitMillis(use.inTime_ + 1, slots, slotMillis),
                         slotWaitMillis(use.all() + 1, slots, slotMillis),
                         use.all() >= 2 * std::max(1, slots)};
}

bool Placement::anyDecodeEngineHasRoom(const EndpointTable &table, const DecodeQuery &query,
                                       TimePoint now) const
{
    // A full engine reports its load with every response, so an engine without a report for this
    // long gets few requests as far as this instance can tell.
    constexpr Duration MaxFullLoadAge = millis(2'000);
    std::vector<const Endpoint *> engines = table.usable(query.service_, now);
    removeUnsuitable(engines, table, query.excluded_, query.version_, now);
    return std::any_of(engines.begin(), engines.end(), [&](const Endpoint *engine) {
        const LoadSample &load = engine->load_;
        const bool full = engine->loadAt_ + MaxFullLoadAge > now && load.slots_ > 0
                          && load.running_ + load.waiting_ >= load.slots_;
        return decodes(*engine) && !full && engine->outstanding() < engine->listed_.slots_;
    });
}

std::optional<EndpointId>
Placement::chooseService(const EndpointTable &table, const ServiceId &service,
                         const std::vector<EndpointId> &excluded, std::uint64_t tieBreaker,
                         TimePoint now, const std::optional<SoftwareVersion> &version) const
{
    // Calls are short: a tenth of the slots less load outweighs the longer way to another domain.
    constexpr double CrossDomainPenalty = 0.1;
    std::vector<const Endpoint *> endpoints = table.usable(service, now);
    removeUnsuitable(endpoints, table, excluded, version, now);
    // The request itself counts as well, so that a slow idle endpoint is not the best one.
    const auto ownShare = [](const Endpoint &one) {
        return one.workTime_.isKnown() ? 1.0 / std::max(1, one.listed_.slots_) : 0;
    };
    const Endpoint *best = cheapest(endpoints, tieBreaker, [&](const Endpoint &one) {
        return (utilization(one, now) + ownShare(one)) * one.workTime_.factorAt(now)
               + (one.listed_.domain_ == settings_.domain_ ? 0 : CrossDomainPenalty);
    });
    return best != nullptr ? std::optional(best->listed_.id_) : std::nullopt;
}

std::optional<LeastLoadedChoice>
Placement::chooseLeastLoaded(const EndpointTable &table, const ServiceId &service,
                             const std::vector<EndpointId> &excluded, std::uint64_t tieBreaker,
                             TimePoint now, const std::optional<SoftwareVersion> &version) const
{
    const auto isPrefillOnly = [](const Endpoint *one) {
        return one->listed_.stage_ == Stage::Prefill;
    };
    std::vector<const Endpoint *> listed = table.listed(service);
    std::erase_if(listed, isPrefillOnly);
    std::vector<const Endpoint *> usableEngines = table.usable(service, now);
    std::erase_if(usableEngines, isPrefillOnly);
    const bool last = usableEngines.size() == 1 && listed.size() > 1;
    removeUnsuitable(usableEngines, table, excluded, version, now);
    const Endpoint *best = cheapest(usableEngines, tieBreaker, [&](const Endpoint &one) {
        return decodeUtilization(one, now) * std::max(1, one.listed_.slots_);
    });
    return best != nullptr ? std::optional(LeastLoadedChoice {best->listed_.id_, last})
                           : std::nullopt;
}

std::int64_t Placement::handoverTokens(const Prompt &prompt)
{
    // Transferring a prompt of some thousand tokens, plus its first decode step, takes as long as
    // prefilling a sixteenth of the tokens on the decode engine.
    constexpr std::int64_t TransferSpeedup = 16;
    return prompt.tokens_ / TransferSpeedup;
}

void Placement::onPromptSent(const ListedEndpoint &engine, const Prompt &prompt, TimePoint now)
{
    for (std::size_t index = 0; index < prompt.parts_.size(); ++index) {
        const PromptCacheIndex::Key key = PromptCacheIndex::keyOf(engine, prompt.parts_[index].id_);
        const bool shared = index + 1 < prompt.parts_.size();
        if (cacheIndex_.insert(key, now) && shared && newCachedParts_.size() < MaxPendingParts) {
            newCachedParts_.push_back(key);
        }
    }
}

void Placement::onPeerCachedParts(const std::vector<PromptCacheIndex::Key> &parts, TimePoint now)
{
    for (const PromptCacheIndex::Key part : parts) {
        cacheIndex_.insert(part, now);
    }
}

void Placement::onUnknownPartsPrefilled(const RequestCosts &costs, const Endpoint &engine,
                                        const Prompt &prompt, std::int64_t queuedTokens,
                                        double milliseconds, TimePoint now)
{
    const auto shared = static_cast<double>(prompt.tokens_ - prompt.unsharedTokens());
    if (shared < MinSampleTokens) {
        return;
    }
    const double computed =
        (milliseconds - costs.prefillMillis(0)) / millisPerToken(costs, engine, now)
        - static_cast<double>(queuedTokens + prompt.unsharedTokens());
    const double cached = computed < shared / 2 ? 1 : 0;
    unknownHitRate_ += HitRateSmoothing * (cached - unknownHitRate_);
}

} // namespace almondridge::gateway
