#include "almondridge/gateway/placement.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

/** Shared parts that are remembered: some thousand subjects on a few engines each. */
constexpr std::size_t RememberedParts = 8'192;
/** How much a new measurement of the reading rate counts. */
constexpr double RateWeight = 0.05;
/** A rate beyond these is a measurement of something else: a full cache hit, or a stalled engine.
 */
constexpr double LeastTokensPerMilli = 5;
constexpr double MostTokensPerMilli = 500;
/** Samples of fewer tokens tell fixed costs rather than the rate. */
constexpr std::int64_t LeastSampleTokens = 2'000;
/** How long a load told by an answer says something of the queue now. */
constexpr Duration LoadIsFresh = millis(400);

/**
 * Engines that may read one part: the first of its order, and as many more when that one's queue
 * is long. Each copy of a part takes memory from the other parts; without a bound a loaded fleet
 * copies everything everywhere and reads it again and again. Worth on two sites' calm days at
 * 1, 2, 3 and all engines: 0.607, 0.688, 0.731, 0.717 and 0.593, 0.610, 0.603, 0.595.
 */
constexpr int HomesOfAPart = 3;

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
    double busy = endpoint.outstanding_;
    if (endpoint.loadAt_ + LoadIsFresh > now) {
        busy = std::max<double>(busy, endpoint.load_.running_ + endpoint.load_.waiting_);
    }
    return busy / slots;
}

const Endpoint *leastFull(const std::vector<const Endpoint *> &endpoints, TimePoint now,
                          const DomainId &preferred, double otherDomainCost)
{
    const Endpoint *best = nullptr;
    double bestCost = 0;
    for (const Endpoint *one : endpoints) {
        const double cost =
            fullness(*one, now) + (one->listed_.domain_ == preferred ? 0.0 : otherDomainCost);
        if (best == nullptr || cost < bestCost) {
            best = one;
            bestCost = cost;
        }
    }
    return best;
}

/** The part that decides where a prompt goes: the largest that others share. */
const PromptPart *leadingPart(const Prompt &prompt)
{
    const PromptPart *largest = nullptr;
    for (const PromptPart &part : prompt.parts_) {
        if (&part == &prompt.parts_.back() && prompt.parts_.size() > 1) {
            break;
        }
        if (largest == nullptr || part.tokens_ > largest->tokens_) {
            largest = &part;
        }
    }
    return largest;
}

} // namespace

struct Placement::Offer
{
    std::int64_t newTokens_ = 0;
    double millis_ = 0;
};

Placement::Placement(PlacementSettings settings)
    : settings_(std::move(settings))
    , tokensPerMilli_(settings_.firstTokensPerMilli_)
    , memory_(RememberedParts)
{ }

Placement::Offer Placement::offerOf(const Endpoint &engine, const Prompt &prompt,
                                    double tokensPerMilli, bool isHome, TimePoint) const
{
    std::int64_t cached = memory_.cachedTokens(engine.listed_.id_, prompt);
    if (isHome) {
        // Other instances send the part there too: it is cached even if we never saw it go.
        cached = std::max(cached, prompt.tokens_ - prompt.ownTokens());
    }
    Offer offer;
    offer.newTokens_ = std::max<std::int64_t>(1, prompt.tokens_ - cached);
    const auto queued = static_cast<double>(engine.queuedTokens_ + engine.foreignTokens_);
    offer.millis_ = (queued + static_cast<double>(offer.newTokens_)) / tokensPerMilli;
    return offer;
}

std::optional<PromptPlan> Placement::planPrompt(const EndpointTable &table,
                                                const ServiceId &service, const Prompt &prompt,
                                                const std::vector<EndpointId> &excluded,
                                                TimePoint now) const
{
    std::vector<const Endpoint *> engines = table.usable(service, now);
    removeExcluded(engines, excluded);
    const PromptPart *leading = leadingPart(prompt);
    const std::uint64_t part = leading != nullptr ? leading->id_ : 0;
    std::sort(engines.begin(), engines.end(), [&](const Endpoint *one, const Endpoint *other) {
        return rendezvousWeight(one->listed_.id_, part)
               > rendezvousWeight(other->listed_.id_, part);
    });

    const Endpoint *best = nullptr;
    Offer bestOffer;
    int considered = 0;
    for (const Endpoint *engine : engines) {
        if (engine->listed_.stage_ != Stage::Prefill) {
            continue;
        }
        if (considered >= HomesOfAPart) {
            continue;
        }
        const Offer offer = offerOf(*engine, prompt, tokensPerMilli_, considered == 0, now);
        ++considered;
        if (best == nullptr || offer.millis_ < bestOffer.millis_) {
            best = engine;
            bestOffer = offer;
        }
    }
    const Endpoint *inPlace = nullptr;
    Offer inPlaceOffer;
    for (const Endpoint *engine : engines) {
        if (engine->listed_.stage_ == Stage::Prefill) {
            continue;
        }
        const Offer offer =
            offerOf(*engine, prompt, tokensPerMilli_ * settings_.decodeReadShare_, false, now);
        if (inPlace == nullptr || offer.millis_ < inPlaceOffer.millis_) {
            inPlace = engine;
            inPlaceOffer = offer;
        }
    }
    if (inPlace == nullptr) {
        return std::nullopt;
    }
    PromptPlan plan;
    if (best != nullptr) {
        plan.prefill_ = best->listed_.id_;
        plan.decode_ = inPlace->listed_.id_;
        plan.newTokens_ = bestOffer.newTokens_;
        plan.readMillis_ = bestOffer.millis_;
        return plan;
    }
    plan.decode_ = inPlace->listed_.id_;
    plan.newTokens_ = inPlaceOffer.newTokens_;
    plan.readMillis_ = inPlaceOffer.millis_;
    return plan;
}

std::optional<EndpointId> Placement::chooseDecode(const EndpointTable &table,
                                                  const ServiceId &service, const DomainId &source,
                                                  const std::vector<EndpointId> &excluded,
                                                  TimePoint now) const
{
    // Moving a prompt between failure domains takes twice as long and is dearer: another domain's
    // engine is taken when ours is fuller by a quarter of its slots.
    constexpr double OtherDomainCost = 0.25;
    std::vector<const Endpoint *> engines = table.usable(service, now);
    removeExcluded(engines, excluded);
    std::erase_if(engines,
                  [](const Endpoint *one) { return one->listed_.stage_ == Stage::Prefill; });
    const Endpoint *best = leastFull(engines, now, source, OtherDomainCost);
    return best != nullptr ? std::optional(best->listed_.id_) : std::nullopt;
}

std::optional<EndpointId> Placement::chooseService(const EndpointTable &table,
                                                   const ServiceId &service,
                                                   const std::vector<EndpointId> &excluded,
                                                   TimePoint now) const
{
    // A call is short: half a slot's difference is worth the way into another failure domain.
    constexpr double OtherDomainCost = 0.1;
    std::vector<const Endpoint *> endpoints = table.usable(service, now);
    removeExcluded(endpoints, excluded);
    const Endpoint *best = leastFull(endpoints, now, settings_.domain_, OtherDomainCost);
    return best != nullptr ? std::optional(best->listed_.id_) : std::nullopt;
}

void Placement::onPromptRead(const EndpointId &engine, const Prompt &prompt, TimePoint)
{
    for (const PromptPart &part : prompt.parts_) {
        memory_.remember(engine, part.id_);
    }
}

void Placement::onReadTime(std::int64_t tokensAhead, double milliseconds)
{
    if (tokensAhead < LeastSampleTokens || milliseconds <= 0) {
        return;
    }
    const double sample = std::clamp(static_cast<double>(tokensAhead) / milliseconds,
                                     LeastTokensPerMilli, MostTokensPerMilli);
    tokensPerMilli_ += RateWeight * (sample - tokensPerMilli_);
}

} // namespace almondridge::gateway
