#include "almondridge/gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <tuple>

namespace almondridge::gateway {
namespace {

/** Shared parts that are remembered: some thousand subjects on a few engines each. */
constexpr std::size_t MaxIndexedParts = 8'192;
/**
 * An engine slower than this share of the usual rate is taken for slow. The speeds of sound ones
 * differ by chance, and choosing by them would send prompts away from their cached parts.
 */
constexpr double SlowSpeedRatio = 0.5;

/** Parts that wait to be told: more than an instance sends anew between two notes. */
constexpr std::size_t MaxPendingParts = 256;
/** Fewer tokens are read within what a measurement is off by. */
constexpr double MinSampleTokens = 4'000;
/** How much one more prompt counts for the share of unknown parts that are cached. */
constexpr double HitRateSmoothing = 0.1;

/** How long a load told by an answer says something of the queue now. */
constexpr Duration MaxLoadAge = millis(400);

/**
 * Engines that may read one part: the first of its order, and another one when that one's queue is
 * long. Each copy takes a read of its own and memory from the other parts; without a bound a loaded
 * fleet copies everything everywhere and reads it again and again.
 */
constexpr std::size_t ReplicasPerPart = 2;

/**
 * What reading a part again elsewhere costs beside its own time: the engine reads nothing else
 * meanwhile, and the copy pushes others out of its memory.
 */
constexpr double RecomputePenalty = 2;

bool contains(const std::vector<EndpointId> &ids, const EndpointId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

void removeExcluded(std::vector<const Endpoint *> &endpoints,
                    const std::vector<EndpointId> &excluded)
{
    std::erase_if(endpoints,
                  [&](const Endpoint *one) { return contains(excluded, one->listed_.id_); });
}

/** Requests that a new one would share the endpoint with, as a share of its slots. */
double utilization(const Endpoint &endpoint, TimePoint now)
{
    const int slots = std::max(1, endpoint.listed_.slots_);
    double busy = endpoint.outstanding();
    if (endpoint.loadAt_ + MaxLoadAge > now) {
        busy = std::max<double>(busy, endpoint.load_.running_ + endpoint.load_.waiting_);
    }
    return busy / slots;
}

/** The same of an engine that generates, of which the other instances tell. */
double decodeUtilization(const Endpoint &endpoint, TimePoint now)
{
    const int slots = std::max(1, endpoint.listed_.slots_);
    return std::max(static_cast<double>(endpoint.fleetSlotUse().all()) / slots,
                    utilization(endpoint, now));
}

/**
 * The endpoint that costs least. Among equals the ticket decides: in the order of their ids all
 * instances would send to the first idle one.
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
 * The part that decides where a prompt goes: the last one that others share, so that prompts with
 * the same shared beginning meet, and no others. By the largest part all prompts that begin with
 * one common text would meet on a few engines: the busiest got 7.4 times the mean.
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

/** What one engine could do for a prompt. */
struct Placement::Estimate
{
    const Endpoint *engine_ = nullptr;
    int urgency_ = 0;
    std::int64_t uncachedTokens_ = 0;
    std::int64_t queuedTokens_ = 0;
    bool cacheHitUnknown_ = false; ///< Whether the shared parts are cached is a guess.
    double millis_ = 0;         ///< Until the prompt is read.
    double cost_ = 0;           ///< The same, and what it takes from other prompts.

    bool isCheaperThan(const Estimate &other) const
    {
        return other.engine_ == nullptr || cost_ < other.cost_;
    }
};

Placement::Placement(PlacementSettings settings)
    : settings_(std::move(settings))
    , cacheIndex_(MaxIndexedParts)
{ }

double Placement::millisPerToken(const RequestCosts &costs, const Endpoint &engine) const
{
    double millis = costs.prefillComputeMillis(1);
    if (engine.prefillSpeed_ < SlowSpeedRatio) {
        millis /= engine.prefillSpeed_;
    }
    return engine.listed_.stage_ == Stage::Prefill ? millis : millis / settings_.decodePrefillSpeed_;
}

Placement::Estimate Placement::estimateTokens(const Endpoint &engine, const PromptQuery &query,
                                    bool mayBeCached) const
{
    const Prompt &prompt = *query.prompt_;
    std::int64_t cached = cacheIndex_.cachedTokens(engine.listed_, prompt);
    const std::int64_t shared = prompt.tokens_ - prompt.ownTokens();
    Estimate estimate;
    estimate.engine_ = &engine;
    if (mayBeCached && cached < shared) {
        // Read there before this instance was listening, or never: as often as it proved so.
        estimate.cacheHitUnknown_ = true;
        cached += std::llround(unknownHitRate_ * static_cast<double>(shared - cached));
    }
    estimate.uncachedTokens_ = std::max<std::int64_t>(1, prompt.tokens_ - cached);
    return estimate;
}

Placement::Estimate Placement::estimatePrefill(const Endpoint &engine, const PromptQuery &query, bool mayBeCached,
                                 int urgency) const
{
    Estimate estimate = estimateTokens(engine, query, mayBeCached);
    const double perToken = millisPerToken(*query.costs_, engine);
    estimate.urgency_ = urgency;
    // All that can be in time counts as ahead, also what is less urgent: an engine reads several
    // prompts at once, and does not stop those that it has begun.
    const int maxUrgency = urgency < FirstLateUrgency ? FirstLateUrgency - 1 : UrgencyLevels - 1;
    estimate.queuedTokens_ = engine.fleetQueuedTokens(maxUrgency);
    estimate.millis_ = query.costs_->prefillMillis(0)
                    + perToken * static_cast<double>(estimate.queuedTokens_ + estimate.uncachedTokens_);
    const std::int64_t recomputed = estimate.uncachedTokens_ - query.prompt_->ownTokens();
    estimate.cost_ =
        estimate.millis_
        + RecomputePenalty * perToken * static_cast<double>(std::max<std::int64_t>(0, recomputed));
    return estimate;
}

Placement::Candidates Placement::candidates(const EndpointTable &table, const PromptQuery &query,
                                            TimePoint now) const
{
    std::vector<const Endpoint *> engines = table.usable(query.service_, now);
    removeExcluded(engines, query.excluded_);
    const PromptPart *leading = leadingPart(*query.prompt_);
    const std::uint64_t part = leading != nullptr ? leading->id_ : 0;
    Candidates found;
    found.reserve(engines.size());
    for (const Endpoint *engine : engines) {
        found.push_back({rendezvousWeight(engine->idHash_, part), engine});
    }
    return found;
}

/** The first ones of the order that read prompts. */
std::vector<const Endpoint *> Placement::replicaEngines(const Candidates &engines)
{
    Candidates replicas;
    for (const Candidate &one : engines) {
        if (one.engine_->listed_.stage_ != Stage::Prefill) {
            continue;
        }
        const auto place = std::find_if(replicas.begin(), replicas.end(), [&](const Candidate &replica) {
            return replica.weight_ < one.weight_;
        });
        if (place != replicas.end() || replicas.size() < ReplicasPerPart) {
            replicas.insert(place, one);
            replicas.resize(std::min(replicas.size(), ReplicasPerPart));
        }
    }
    std::vector<const Endpoint *> found;
    std::transform(replicas.begin(), replicas.end(), std::back_inserter(found),
                   [](const Candidate &replica) { return replica.engine_; });
    return found;
}

/** The first one of the order that generates; null: there is none. */
const Endpoint *Placement::firstDecodeEngine(const Candidates &engines)
{
    Candidate first;
    for (const Candidate &one : engines) {
        const bool generates = one.engine_->listed_.stage_ != Stage::Prefill;
        if (generates && (first.engine_ == nullptr || one.weight_ > first.weight_)) {
            first = one;
        }
    }
    return first.engine_;
}

Placement::Estimate Placement::bestPrefillEngine(const Candidates &engines, const PromptQuery &query,
                                       TimePoint now) const
{
    const std::vector<const Endpoint *> replicas = replicaEngines(engines);
    const PromptPart *leading = leadingPart(*query.prompt_);
    const bool known =
        leading == nullptr || std::any_of(replicas.begin(), replicas.end(), [&](const Endpoint *replica) {
            return cacheIndex_.holds(replica->listed_, leading->id_);
        });
    const auto bestAt = [&](int urgency) {
        Estimate best;
        for (const Endpoint *replica : replicas) {
            const bool mayBeCached = !known && replica == replicas.front();
            const Estimate estimate = estimatePrefill(*replica, query, mayBeCached, urgency);
            if (estimate.isCheaperThan(best)) {
                best = estimate;
            }
        }
        return best;
    };
    const int inTime = std::clamp(query.priority_, 0, FirstLateUrgency - 1);
    const Estimate best = bestAt(inTime);
    const auto budgetMillis = static_cast<double>(toMillis(query.firstEventDeadline_ - now) - settings_.handoverMillis_)
                      - query.slotWaitMillis_;
    return best.engine_ == nullptr || best.millis_ <= budgetMillis ? best : bestAt(FirstLateUrgency + inTime);
}

Placement::Estimate Placement::bestInPlaceEngine(const Candidates &engines, const PromptQuery &query) const
{
    Estimate best;
    std::uint64_t bestWeight = 0;
    for (const auto &[weight, engine] : engines) {
        if (engine->listed_.stage_ == Stage::Prefill) {
            continue;
        }
        const Estimate estimate =
            estimatePrefill(*engine, query, false, std::clamp(query.priority_, 0, FirstLateUrgency - 1));
        const bool isFirstOfEqual = estimate.cost_ == best.cost_ && weight > bestWeight;
        if (estimate.isCheaperThan(best) || isFirstOfEqual) {
            best = estimate;
            bestWeight = weight;
        }
    }
    return best;
}

const Endpoint *Placement::cacheCopySource(const Candidates &engines, const Endpoint &reader,
                                       const Prompt &prompt, TimePoint now) const
{
    // What was sent to be read a moment ago is not there yet.
    constexpr Duration MinCacheAge = millis(1'500);
    // Fewer tokens are read about as fast as a copy is set up.
    constexpr std::int64_t MinCopiedTokens = 1'000;
    const std::int64_t shared = prompt.tokens_ - prompt.ownTokens();
    const std::int64_t minTokens = cacheIndex_.cachedTokens(reader.listed_, prompt) + MinCopiedTokens;
    if (minTokens >= shared) {
        return nullptr; // Most prompts: their shared parts are there, or are short.
    }
    // The most tokens, then the reader's own failure domain, then the order.
    using Rank = std::tuple<std::int64_t, bool, std::uint64_t>;
    const Endpoint *best = nullptr;
    Rank bestRank;
    for (const auto &[weight, engine] : engines) {
        const std::int64_t kept =
            std::min(shared, cacheIndex_.cachedTokens(engine->listed_, prompt, now - MinCacheAge));
        if (engine == &reader || kept <= minTokens) {
            continue;
        }
        const Rank engineRank {kept, engine->listed_.domain_ == reader.listed_.domain_, weight};
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
    const Estimate reader = bestPrefillEngine(engines, query, now);
    const bool isInPlace = query.prefillInPlace_ || reader.engine_ == nullptr;
    const Estimate inPlace = isInPlace ? bestInPlaceEngine(engines, query) : Estimate();
    const Estimate &prefill = reader.engine_ != nullptr ? reader : inPlace;
    PromptPlan plan;
    if (reader.engine_ != nullptr) {
        plan.prefill_ = reader.engine_->listed_.id_;
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
                                                          std::uint64_t tieBreaker, TimePoint now) const
{
    // Moving a prompt between failure domains takes twice as long and is dearer: another domain's
    // engine is taken when ours is fuller by a quarter of its slots.
    constexpr double CrossDomainPenalty = 0.25;
    // Prompts that wait for their first event there count like a full engine from this wait on,
    // in milliseconds: an engine whose links are slow has few requests, and each takes a second.
    constexpr double FullEngineWaitMillis = 100;
    std::vector<const Endpoint *> engines = table.usable(query.service_, now);
    removeExcluded(engines, query.excluded_);
    std::erase_if(engines,
                  [](const Endpoint *one) { return one->listed_.stage_ == Stage::Prefill; });
    const Endpoint *best = cheapest(engines, tieBreaker, [&](const Endpoint &one) {
        const double waitMillis =
            static_cast<double>(one.fleetQueuedTokens()) * millisPerToken(*query.costs_, one);
        return decodeUtilization(one, now) + waitMillis / FullEngineWaitMillis
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

bool Placement::anyDecodeEngineHasRoom(const EndpointTable &table, const ServiceId &service,
                                     const std::vector<EndpointId> &excluded, TimePoint now) const
{
    // An engine that is full answers every request with its load; one that has not been heard of
    // for this long gets few, as far as this instance can know.
    constexpr Duration MaxFullLoadAge = millis(2'000);
    std::vector<const Endpoint *> engines = table.usable(service, now);
    removeExcluded(engines, excluded);
    return std::any_of(engines.begin(), engines.end(), [&](const Endpoint *engine) {
        const LoadSample &load = engine->load_;
        const bool full = engine->loadAt_ + MaxFullLoadAge > now && load.slots_ > 0
                          && load.running_ + load.waiting_ >= load.slots_;
        return engine->listed_.stage_ != Stage::Prefill && !full
               && engine->outstanding() < engine->listed_.slots_;
    });
}

std::optional<EndpointId> Placement::chooseService(const EndpointTable &table,
                                                   const ServiceId &service,
                                                   const std::vector<EndpointId> &excluded,
                                                   std::uint64_t tieBreaker, TimePoint now) const
{
    // A call is short: half a slot's difference is worth the way into another failure domain.
    constexpr double CrossDomainPenalty = 0.1;
    std::vector<const Endpoint *> endpoints = table.usable(service, now);
    removeExcluded(endpoints, excluded);
    const Endpoint *best = cheapest(endpoints, tieBreaker, [&](const Endpoint &one) {
        return utilization(one, now)
               + (one.listed_.domain_ == settings_.domain_ ? 0 : CrossDomainPenalty);
    });
    return best != nullptr ? std::optional(best->listed_.id_) : std::nullopt;
}

std::optional<LeastLoadedChoice> Placement::chooseLeastLoaded(const EndpointTable &table,
                                                     const ServiceId &service,
                                                     const std::vector<EndpointId> &excluded,
                                                     std::uint64_t tieBreaker, TimePoint now) const
{
    const auto isPrefillOnly = [](const Endpoint *one) {
        return one->listed_.stage_ == Stage::Prefill;
    };
    std::vector<const Endpoint *> listed = table.listed(service);
    std::erase_if(listed, isPrefillOnly);
    std::vector<const Endpoint *> usableEngines = table.usable(service, now);
    std::erase_if(usableEngines, isPrefillOnly);
    const bool last = usableEngines.size() == 1 && listed.size() > 1;
    removeExcluded(usableEngines, excluded);
    const Endpoint *best = cheapest(usableEngines, tieBreaker, [&](const Endpoint &one) {
        return decodeUtilization(one, now) * std::max(1, one.listed_.slots_);
    });
    return best != nullptr ? std::optional(LeastLoadedChoice {best->listed_.id_, last}) : std::nullopt;
}

std::int64_t Placement::handoverTokens(const Prompt &prompt)
{
    // Moving a prompt of some thousand tokens and its first step take as long as reading a
    // sixteenth of them where it is generated.
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
                              const Prompt &prompt, std::int64_t aheadTokens, double milliseconds)
{
    const auto shared = static_cast<double>(prompt.tokens_ - prompt.ownTokens());
    if (shared < MinSampleTokens) {
        return;
    }
    const double read = (milliseconds - costs.prefillMillis(0)) / millisPerToken(costs, engine)
                        - static_cast<double>(aheadTokens + prompt.ownTokens());
    const double cached = read < shared / 2 ? 1 : 0;
    unknownHitRate_ += HitRateSmoothing * (cached - unknownHitRate_);
}

} // namespace almondridge::gateway
