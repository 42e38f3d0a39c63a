#include "almondridge/routing/router.h"

#include "attempttable.h"
#include "endpointselector.h"

#include <algorithm>

namespace almondridge::routing {

struct Router::State
{
    State(DomainId domain, LoadRules rules, ChoiceSettings settings);

    EndpointTable table_;
    PrefixCacheTracker prefixCaches_;
    AttemptTable attempts_;
    ChoiceSettings settings_;
    DomainCapacities domainCapacities_;

    void finishExpired(TimePoint now);
    double prefillHeadroom(const EndpointSlot &slot, TimePoint now) const;
    double decodeHeadroom(const EndpointSlot &slot, TimePoint now) const;
};

Router::State::State(DomainId domain, LoadRules rules, ChoiceSettings settings)
    : table_(std::move(domain), rules)
    , prefixCaches_(rules.mechanisms_)
    , settings_(settings)
{ }

void Router::State::finishExpired(TimePoint now)
{
    for (const Attempt &attempt : attempts_.takeExpired(now)) {
        if (EndpointSlot *slot = table_.at(attempt.slot_)) {
            slot->load_.onFinished(attempt.number_);
        }
    }
}

double Router::State::prefillHeadroom(const EndpointSlot &slot, TimePoint now) const
{
    const TypicalLoad &typical = table_.group(slot.group_).typical_;
    const double raw = slot.load_.rawSeconds(RequestCost {}, now, table_.rules(), typical);
    const double seconds = slot.load_.correctedSeconds(raw, now, table_.rules());
    return std::clamp(1 - seconds / settings_.firstTokenTargetSeconds_, 0.0, 1.0);
}

double Router::State::decodeHeadroom(const EndpointSlot &slot, TimePoint now) const
{
    const TypicalLoad &typical = table_.group(slot.group_).typical_;
    return std::clamp(1 - slot.load_.kvUtilization(now, table_.rules(), typical), 0.0, 1.0);
}

void Router::setFleet(const std::shared_ptr<const fleet::Fleet> &fleet)
{
    state_->table_.setFleet(*fleet);
    state_->settings_.firstTokenTargetSeconds_ =
        toSeconds(millis(fleet->policy_.firstTokenMillis_));
    state_->settings_.interTokenTargetSeconds_ =
        toSeconds(millis(fleet->policy_.interTokenMillis_));
}

void Router::onReport(const LoadReport &report, TimePoint now)
{
    EndpointSlot *slot = state_->table_.find(report.endpoint_);
    if (slot == nullptr) {
        return;
    }
    const bool available = slot->available();
    const fleet::EngineRole role = slot->role();
    slot->load_.onReport(report, now);
    if (slot->available() != available || slot->role() != role) {
        state_->table_.markListsOutdated(*slot);
    }
}

void Router::onCacheEvent(const CacheEvent &event, TimePoint now)
{
    const EndpointSlot *slot = state_->table_.find(event.endpoint_);
    if (slot != nullptr) {
        state_->prefixCaches_.onCacheEvent(event, state_->table_.refOf(*slot), now);
    }
}

void Router::onReachability(const EndpointId &endpoint, Reachability reachability, TimePoint)
{
    EndpointSlot *slot = state_->table_.find(endpoint);
    if (slot != nullptr) {
        slot->reachability_ = reachability;
        state_->table_.markListsOutdated(*slot);
    }
}

void Router::onDomainCapacity(const DomainId &domain, double spareShare, TimePoint validUntil)
{
    state_->domainCapacities_[domain] = {spareShare, validUntil};
}

void Router::onDispatched(const AttemptId &attempt, const EndpointId &endpoint,
                          const RouteQuery &query, TimePoint now)
{
    state_->finishExpired(now);
    EndpointSlot *slot = state_->table_.find(endpoint);
    if (slot == nullptr) {
        return;
    }
    const PrefixHits hits = state_->prefixCaches_.hitsFor(query.prefixHashes_, now);
    const Candidate estimate =
        estimateCandidate(state_->table_, *slot, query, hits, state_->settings_, now);
    Attempt &added = state_->attempts_.add(attempt, query.deadline_, now);
    added.slot_ = state_->table_.refOf(*slot);
    added.promptTokens_ = query.promptTokens_;
    added.predictedTokens_ = tokensInBlocks(query, hits.blocksAt(added.slot_));
    added.prefixes_ = samplePrefixes(query.prefixHashes_);
    slot->load_.onDispatched(added.number_, requestCost(query, estimate.cachedTokens_),
                             estimate.rawSeconds_, now, state_->table_.rules(),
                             state_->table_.group(slot->group_).typical_);
    slot->backoff_.onDispatched(now);
    state_->prefixCaches_.onPrompt(hits, added.prefixes_.blocks_);
    state_->prefixCaches_.onDispatched(added.prefixes_, added.slot_, now);
}

void Router::onFirstToken(const AttemptId &id, std::int64_t cachedTokens, TimePoint now)
{
    Attempt *attempt = state_->attempts_.find(id);
    if (attempt == nullptr || attempt->firstTokenSeen_) {
        return;
    }
    attempt->firstTokenSeen_ = true;
    EndpointSlot *slot = state_->table_.at(attempt->slot_);
    if (slot != nullptr) {
        if (const auto outcome = slot->load_.onFirstToken(attempt->number_, now)) {
            state_->table_.observeReport(*slot, *outcome);
        }
        slot->backoff_.onSuccess(attempt->sentAt_);
    }
    if (slot != nullptr && cachedTokens >= 0) {
        slot->cacheHitPrecision_.observe(attempt->predictedTokens_, cachedTokens);
        state_->prefixCaches_.onCached(attempt->prefixes_, attempt->slot_, cachedTokens,
                                       attempt->promptTokens_, now);
    }
    attempt->prefixes_ = {};
}

void Router::onFinished(const AttemptId &id, bool succeeded, TimePoint now)
{
    Attempt *attempt = state_->attempts_.find(id);
    if (attempt == nullptr) {
        return;
    }
    if (EndpointSlot *slot = state_->table_.at(attempt->slot_)) {
        slot->load_.onFinished(attempt->number_);
        if (succeeded) {
            slot->backoff_.onSuccess(attempt->sentAt_);
        } else {
            slot->backoff_.onFailure(attempt->sentAt_, now);
            state_->prefixCaches_.onFailed(attempt->prefixes_, attempt->slot_, now);
        }
    }
    state_->attempts_.erase(id);
}

std::optional<RouteChoice> Router::choose(const RouteQuery &query, TimePoint now)
{
    const PrefixHits hits = state_->prefixCaches_.hitsFor(query.prefixHashes_, now);
    EndpointSelector selector(state_->table_, state_->settings_, query, hits, now);
    return selector.choose(state_->domainCapacities_);
}

bool Router::isAvailable(const EndpointId &endpoint) const
{
    const EndpointSlot *slot = state_->table_.find(endpoint);
    return slot != nullptr && slot->available();
}

TimePoint Router::estimateFirstToken(const EndpointId &endpoint, const RouteQuery &query,
                                     TimePoint now) const
{
    const EndpointSlot *slot = state_->table_.find(endpoint);
    if (slot == nullptr) {
        return TimePoint::max();
    }
    const PrefixHits hits = state_->prefixCaches_.hitsFor(query.prefixHashes_, now);
    const Candidate estimate =
        estimateCandidate(state_->table_, *slot, query, hits, state_->settings_, now);
    return now
           + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(estimate.seconds_));
}

double Router::spareShare(const ModelId &model, TimePoint now) const
{
    const std::span<const GroupIndex> groups = state_->table_.groupsFor(model, {});
    if (groups.empty() || state_->table_.group(groups.front()).domain_ != state_->table_.domain()) {
        return 0;
    }
    const std::vector<SlotIndex> &members = state_->table_.group(groups.front()).members_;
    // A request needs both prefill and decode capacity, so the scarcer of the two counts.
    double prefill = 0;
    double decode = 0;
    int prefillEngines = 0;
    int decodeEngines = 0;
    for (const SlotIndex index : members) {
        const EndpointSlot &slot = state_->table_.at(index);
        const bool available = slot.available() && slot.backoff_.allowsDispatch(now);
        const fleet::EngineRole role = slot.role();
        if (role != fleet::EngineRole::Decode) {
            ++prefillEngines;
            prefill += available ? state_->prefillHeadroom(slot, now) : 0;
        }
        if (role != fleet::EngineRole::Prefill) {
            ++decodeEngines;
            decode += available ? state_->decodeHeadroom(slot, now) : 0;
        }
    }
    return std::min(prefill / std::max(prefillEngines, 1), decode / std::max(decodeEngines, 1));
}

Router::Router(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }
Router::Router(Router &&) noexcept = default;
Router &Router::operator=(Router &&) noexcept = default;
Router::~Router() = default;

Router::Builder &Router::Builder::domain(DomainId domain)
{
    domain_ = std::move(domain);
    return *this;
}

Router::Builder &Router::Builder::reportStaleAfter(Duration age)
{
    staleAfter_ = age;
    return *this;
}

Router::Builder &Router::Builder::randomCandidates(int count)
{
    randomCandidates_ = count;
    return *this;
}

Router::Builder &Router::Builder::otherDomainPenalty(Duration latency)
{
    otherDomainPenalty_ = latency;
    return *this;
}

Router::Builder &Router::Builder::without(Mechanism mechanism)
{
    mechanisms_.switchOff(mechanism);
    return *this;
}

Router Router::Builder::build()
{
    ChoiceSettings settings;
    settings.randomCandidates_ = std::max(randomCandidates_, 1);
    settings.otherDomainPenaltySeconds_ = toSeconds(otherDomainPenalty_);
    return Router(std::make_unique<State>(domain_, LoadRules {staleAfter_, mechanisms_}, settings));
}

} // namespace almondridge::routing
