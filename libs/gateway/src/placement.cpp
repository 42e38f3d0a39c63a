#include "almondridge/gateway/placement.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <tuple>

namespace almondridge::gateway {
namespace {

/** Shared parts that are remembered: some thousand subjects on a few engines each. */
constexpr std::size_t RememberedParts = 8'192;
/**
 * An engine slower than this share of the usual rate is taken for slow. The speeds of sound ones
 * differ by chance, and choosing by them would send prompts away from their cached parts.
 */
constexpr double SlowSpeed = 0.5;

/** Parts that wait to be told: more than an instance sends anew between two notes. */
constexpr std::size_t MostPartsToTell = 256;
/** Fewer tokens are read within what a measurement is off by. */
constexpr double LeastTellingTokens = 4'000;
/** How much one more prompt counts for the share of unknown parts that are cached. */
constexpr double UnknownWeight = 0.1;

/** How long a load told by an answer says something of the queue now. */
constexpr Duration LoadIsFresh = millis(400);

/**
 * Engines that may read one part: the first of its order, and another one when that one's queue is
 * long. Each copy takes a read of its own and memory from the other parts; without a bound a loaded
 * fleet copies everything everywhere and reads it again and again.
 */
constexpr std::size_t HomesOfAPart = 2;

/**
 * What reading a part again elsewhere costs beside its own time: the engine reads nothing else
 * meanwhile, and the copy pushes others out of its memory.
 */
constexpr double ReadAgainWeight = 2;

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
double fullness(const Endpoint &endpoint, TimePoint now)
{
    const int slots = std::max(1, endpoint.listed_.slots_);
    double busy = endpoint.outstanding();
    if (endpoint.loadAt_ + LoadIsFresh > now) {
        busy = std::max<double>(busy, endpoint.load_.running_ + endpoint.load_.waiting_);
    }
    return busy / slots;
}

/** The same of an engine that generates, of which the other instances tell. */
double generatorFullness(const Endpoint &endpoint, TimePoint now)
{
    const int slots = std::max(1, endpoint.listed_.slots_);
    return std::max(static_cast<double>(endpoint.usedByAll().all()) / slots,
                    fullness(endpoint, now));
}

/**
 * The endpoint that costs least. Among equals the ticket decides: in the order of their ids all
 * instances would send to the first idle one.
 */
const Endpoint *cheapest(const std::vector<const Endpoint *> &endpoints, std::uint64_t ticket,
                         const std::function<double(const Endpoint &)> &costOf)
{
    const Endpoint *best = nullptr;
    double bestCost = 0;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        const Endpoint *one = endpoints[(index + ticket) % endpoints.size()];
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
struct Placement::Offer
{
    const Endpoint *engine_ = nullptr;
    int urgency_ = 0;
    std::int64_t newTokens_ = 0;
    std::int64_t aheadTokens_ = 0;
    bool partsUnknown_ = false; ///< Whether the shared parts are cached is a guess.
    double millis_ = 0;         ///< Until the prompt is read.
    double cost_ = 0;           ///< The same, and what it takes from other prompts.

    bool betterThan(const Offer &other) const
    {
        return other.engine_ == nullptr || cost_ < other.cost_;
    }
};

Placement::Placement(PlacementSettings settings)
    : settings_(std::move(settings))
    , memory_(RememberedParts)
{ }

double Placement::millisPerToken(const RequestCosts &costs, const Endpoint &engine) const
{
    double millis = costs.readingMillis(1);
    if (engine.readingSpeed_ < SlowSpeed) {
        millis /= engine.readingSpeed_;
    }
    return engine.listed_.stage_ == Stage::Prefill ? millis : millis / settings_.decodeReadShare_;
}

Placement::Offer Placement::offerOf(const Endpoint &engine, const PromptQuery &query,
                                    bool mayHold) const
{
    const Prompt &prompt = *query.prompt_;
    std::int64_t cached = memory_.cachedTokens(engine.listed_, prompt);
    const std::int64_t shared = prompt.tokens_ - prompt.unsharedTokens();
    Offer offer;
    offer.engine_ = &engine;
    if (mayHold && cached < shared) {
        // Read there before this instance was listening, or never: as often as it proved so.
        offer.partsUnknown_ = true;
        cached += std::llround(unknownCached_ * static_cast<double>(shared - cached));
    }
    offer.newTokens_ = std::max<std::int64_t>(1, prompt.tokens_ - cached);
    return offer;
}

Placement::Offer Placement::rank(const Endpoint &engine, const PromptQuery &query, bool mayHold,
                                 int urgency) const
{
    Offer offer = offerOf(engine, query, mayHold);
    const double perToken = millisPerToken(*query.costs_, engine);
    offer.urgency_ = urgency;
    // All that can be in time counts as ahead, also what is less urgent: an engine reads several
    // prompts at once, and does not stop those that it has begun.
    const int counted = urgency < LateUrgencies ? LateUrgencies - 1 : Urgencies - 1;
    offer.aheadTokens_ = engine.queuedByAll(counted);
    offer.millis_ = query.costs_->readMillis(0)
                    + perToken * static_cast<double>(offer.aheadTokens_ + offer.newTokens_);
    const std::int64_t again = offer.newTokens_ - query.prompt_->unsharedTokens();
    offer.cost_ =
        offer.millis_
        + ReadAgainWeight * perToken * static_cast<double>(std::max<std::int64_t>(0, again));
    return offer;
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
std::vector<const Endpoint *> Placement::homesAmong(const Candidates &engines)
{
    Candidates homes;
    for (const Candidate &one : engines) {
        if (one.engine_->listed_.stage_ != Stage::Prefill) {
            continue;
        }
        const auto place = std::find_if(homes.begin(), homes.end(), [&](const Candidate &home) {
            return home.weight_ < one.weight_;
        });
        if (place != homes.end() || homes.size() < HomesOfAPart) {
            homes.insert(place, one);
            homes.resize(std::min(homes.size(), HomesOfAPart));
        }
    }
    std::vector<const Endpoint *> found;
    std::transform(homes.begin(), homes.end(), std::back_inserter(found),
                   [](const Candidate &home) { return home.engine_; });
    return found;
}

/** The first one of the order that generates; null: there is none. */
const Endpoint *Placement::firstGenerator(const Candidates &engines)
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

Placement::Offer Placement::bestReader(const Candidates &engines, const PromptQuery &query,
                                       TimePoint now) const
{
    const std::vector<const Endpoint *> homes = homesAmong(engines);
    const PromptPart *leading = leadingPart(*query.prompt_);
    const bool known =
        leading == nullptr || std::any_of(homes.begin(), homes.end(), [&](const Endpoint *home) {
            return memory_.holds(home->listed_, leading->id_);
        });
    const auto bestAt = [&](int urgency) {
        Offer best;
        for (const Endpoint *home : homes) {
            const bool mayHold = !known && home == homes.front();
            const Offer offer = rank(*home, query, mayHold, urgency);
            if (offer.betterThan(best)) {
                best = offer;
            }
        }
        return best;
    };
    const int inTime = std::clamp(query.priority_, 0, LateUrgencies - 1);
    const Offer best = bestAt(inTime);
    const auto left = static_cast<double>(toMillis(query.inTime_ - now) - settings_.handoverMillis_)
                      - query.slotWaitMillis_;
    return best.engine_ == nullptr || best.millis_ <= left ? best : bestAt(LateUrgencies + inTime);
}

Placement::Offer Placement::bestGenerator(const Candidates &engines, const PromptQuery &query) const
{
    Offer best;
    std::uint64_t weightOfBest = 0;
    for (const auto &[weight, engine] : engines) {
        if (engine->listed_.stage_ == Stage::Prefill) {
            continue;
        }
        const Offer offer =
            rank(*engine, query, false, std::clamp(query.priority_, 0, LateUrgencies - 1));
        const bool isFirstOfEqual = offer.cost_ == best.cost_ && weight > weightOfBest;
        if (offer.betterThan(best) || isFirstOfEqual) {
            best = offer;
            weightOfBest = weight;
        }
    }
    return best;
}

const Endpoint *Placement::partsSource(const Candidates &engines, const Endpoint &reader,
                                       const Prompt &prompt, TimePoint now) const
{
    // What was sent to be read a moment ago is not there yet.
    constexpr Duration ReadBy = millis(1'500);
    // Fewer tokens are read about as fast as a copy is set up.
    constexpr std::int64_t LeastTokens = 1'000;
    const std::int64_t shared = prompt.tokens_ - prompt.unsharedTokens();
    const std::int64_t least = memory_.cachedTokens(reader.listed_, prompt) + LeastTokens;
    if (least >= shared) {
        return nullptr; // Most prompts: their shared parts are there, or are short.
    }
    // The most tokens, then the reader's own failure domain, then the order.
    using Rank = std::tuple<std::int64_t, bool, std::uint64_t>;
    const Endpoint *best = nullptr;
    Rank rankOfBest;
    for (const auto &[weight, engine] : engines) {
        const std::int64_t kept =
            std::min(shared, memory_.cachedTokens(engine->listed_, prompt, now - ReadBy));
        if (engine == &reader || kept <= least) {
            continue;
        }
        const Rank rank {kept, engine->listed_.domain_ == reader.listed_.domain_, weight};
        if (best == nullptr || rank > rankOfBest) {
            best = engine;
            rankOfBest = rank;
        }
    }
    return best;
}

std::optional<PromptPlan> Placement::planPrompt(const EndpointTable &table,
                                                const PromptQuery &query, TimePoint now) const
{
    const Candidates engines = candidates(table, query, now);
    const Endpoint *generator = firstGenerator(engines);
    if (generator == nullptr) {
        return std::nullopt;
    }
    const Offer reader = bestReader(engines, query, now);
    const bool isInPlace = query.inPlace_ || reader.engine_ == nullptr;
    const Offer inPlace = isInPlace ? bestGenerator(engines, query) : Offer();
    const Offer &reads = reader.engine_ != nullptr ? reader : inPlace;
    PromptPlan plan;
    if (reader.engine_ != nullptr) {
        plan.prefill_ = reader.engine_->listed_.id_;
    }
    plan.decode_ = (isInPlace ? inPlace.engine_ : generator)->listed_.id_;
    plan.urgency_ = reads.urgency_;
    plan.newTokens_ = reads.newTokens_;
    plan.aheadTokens_ = reads.aheadTokens_;
    plan.partsUnknown_ = reads.partsUnknown_;
    const Endpoint *source = partsSource(engines, *reads.engine_, *query.prompt_, now);
    if (source != nullptr) {
        plan.copyFrom_ = source->listed_.id_;
    }
    plan.readMillis_ = reads.millis_;
    return plan;
}

std::optional<GeneratorChoice> Placement::chooseGenerator(const EndpointTable &table,
                                                          const GeneratorQuery &query,
                                                          std::uint64_t ticket, TimePoint now) const
{
    // Moving a prompt between failure domains takes twice as long and is dearer: another domain's
    // engine is taken when ours is fuller by a quarter of its slots.
    constexpr double OtherDomainCost = 0.25;
    // Prompts that wait for their first event there count like a full engine from this wait on,
    // in milliseconds: an engine whose links are slow has few requests, and each takes a second.
    constexpr double WaitOfAFullEngine = 100;
    std::vector<const Endpoint *> engines = table.usable(query.service_, now);
    removeExcluded(engines, query.excluded_);
    std::erase_if(engines,
                  [](const Endpoint *one) { return one->listed_.stage_ == Stage::Prefill; });
    const Endpoint *best = cheapest(engines, ticket, [&](const Endpoint &one) {
        const double waitMillis =
            static_cast<double>(one.queuedByAll()) * millisPerToken(*query.costs_, one);
        return generatorFullness(one, now) + waitMillis / WaitOfAFullEngine
               + (one.listed_.domain_ == query.source_ ? 0 : OtherDomainCost);
    });
    if (best == nullptr) {
        return std::nullopt;
    }
    const SlotUse use = best->usedByAll();
    const int slots = best->listed_.slots_;
    const double slotMillis = query.costs_->meanGenerateMillis();
    return GeneratorChoice {best->listed_.id_, slotWaitMillis(use.inTime_ + 1, slots, slotMillis),
                            slotWaitMillis(use.all() + 1, slots, slotMillis),
                            use.all() >= 2 * std::max(1, slots)};
}

bool Placement::someGeneratorHasRoom(const EndpointTable &table, const ServiceId &service,
                                     const std::vector<EndpointId> &excluded, TimePoint now) const
{
    // An engine that is full answers every request with its load; one that has not been heard of
    // for this long gets few, as far as this instance can know.
    constexpr Duration WordHolds = millis(2'000);
    std::vector<const Endpoint *> engines = table.usable(service, now);
    removeExcluded(engines, excluded);
    return std::any_of(engines.begin(), engines.end(), [&](const Endpoint *engine) {
        const LoadSample &load = engine->load_;
        const bool full = engine->loadAt_ + WordHolds > now && load.slots_ > 0
                          && load.running_ + load.waiting_ >= load.slots_;
        return engine->listed_.stage_ != Stage::Prefill && !full
               && engine->outstanding() < engine->listed_.slots_;
    });
}

std::optional<EndpointId> Placement::chooseService(const EndpointTable &table,
                                                   const ServiceId &service,
                                                   const std::vector<EndpointId> &excluded,
                                                   std::uint64_t ticket, TimePoint now) const
{
    // A call is short: half a slot's difference is worth the way into another failure domain.
    constexpr double OtherDomainCost = 0.1;
    std::vector<const Endpoint *> endpoints = table.usable(service, now);
    removeExcluded(endpoints, excluded);
    const Endpoint *best = cheapest(endpoints, ticket, [&](const Endpoint &one) {
        return fullness(one, now)
               + (one.listed_.domain_ == settings_.domain_ ? 0 : OtherDomainCost);
    });
    return best != nullptr ? std::optional(best->listed_.id_) : std::nullopt;
}

std::optional<QuietChoice> Placement::chooseQuietest(const EndpointTable &table,
                                                     const ServiceId &service,
                                                     const std::vector<EndpointId> &excluded,
                                                     std::uint64_t ticket, TimePoint now) const
{
    const auto onlyReads = [](const Endpoint *one) {
        return one->listed_.stage_ == Stage::Prefill;
    };
    std::vector<const Endpoint *> listed = table.listed(service);
    std::erase_if(listed, onlyReads);
    std::vector<const Endpoint *> serving = table.usable(service, now);
    std::erase_if(serving, onlyReads);
    const bool last = serving.size() == 1 && listed.size() > 1;
    removeExcluded(serving, excluded);
    const Endpoint *best = cheapest(serving, ticket, [&](const Endpoint &one) {
        return generatorFullness(one, now) * std::max(1, one.listed_.slots_);
    });
    return best != nullptr ? std::optional(QuietChoice {best->listed_.id_, last}) : std::nullopt;
}

std::int64_t Placement::handoverTokens(const Prompt &prompt)
{
    // Moving a prompt of some thousand tokens and its first step take as long as reading a
    // sixteenth of them where it is generated.
    constexpr std::int64_t MovedPerRead = 16;
    return prompt.tokens_ / MovedPerRead;
}

void Placement::onPromptRead(const ListedEndpoint &engine, const Prompt &prompt, TimePoint now)
{
    for (std::size_t index = 0; index < prompt.parts_.size(); ++index) {
        const PromptMemory::Key key = PromptMemory::keyOf(engine, prompt.parts_[index].id_);
        const bool shared = index + 1 < prompt.parts_.size();
        if (memory_.remember(key, now) && shared && readParts_.size() < MostPartsToTell) {
            readParts_.push_back(key);
        }
    }
}

void Placement::onPartsTold(const std::vector<PromptMemory::Key> &parts, TimePoint now)
{
    for (const PromptMemory::Key part : parts) {
        memory_.remember(part, now);
    }
}

void Placement::onUnknownRead(const RequestCosts &costs, const Endpoint &engine,
                              const Prompt &prompt, std::int64_t aheadTokens, double milliseconds)
{
    const auto shared = static_cast<double>(prompt.tokens_ - prompt.unsharedTokens());
    if (shared < LeastTellingTokens) {
        return;
    }
    const double read = (milliseconds - costs.readMillis(0)) / millisPerToken(costs, engine)
                        - static_cast<double>(aheadTokens + prompt.unsharedTokens());
    const double cached = read < shared / 2 ? 1 : 0;
    unknownCached_ += UnknownWeight * (cached - unknownCached_);
}

} // namespace almondridge::gateway
