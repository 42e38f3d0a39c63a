#include "almondridge/routing/router.h"

#include "attempttable.h"
#include "endpointselector.h"

#include <algorithm>

namespace almondridge::routing {

struct Router::State
{
    State(DomainId domain, LoadRules rules, ChoiceSettings settings);

    EndpointTable table_;
    PrefixBeliefs beliefs_;
    AttemptTable attempts_;
    ChoiceSettings settings_;
    DomainRooms rooms_;

    void endExpired(TimePoint now);
    double readingRoom(const EndpointSlot &slot, TimePoint now) const;
    double writingRoom(const EndpointSlot &slot, TimePoint now) const;
};

Router::State::State(DomainId domain, LoadRules rules, ChoiceSettings settings)
    : table_(std::move(domain), rules)
    , beliefs_(rules.mechanisms_)
    , settings_(settings)
{ }

void Router::State::endExpired(TimePoint now)
{
    for (const Attempt &attempt : attempts_.takeExpired(now)) {
        if (EndpointSlot *slot = table_.at(attempt.slot_)) {
            slot->load_.onFinished(attempt.number_);
        }
    }
}

double Router::State::readingRoom(const EndpointSlot &slot, TimePoint now) const
{
    const TypicalLoad &typical = table_.group(slot.group_).typical_;
    const double raw = slot.load_.rawSeconds(Demand {}, now, table_.rules(), typical);
    const double seconds = slot.load_.correctedSeconds(raw, now, table_.rules());
    return std::clamp(1 - seconds / settings_.firstTokenAimSeconds_, 0.0, 1.0);
}

double Router::State::writingRoom(const EndpointSlot &slot, TimePoint now) const
{
    const TypicalLoad &typical = table_.group(slot.group_).typical_;
    return std::clamp(1 - slot.load_.writingShare(now, table_.rules(), typical), 0.0, 1.0);
}

void Router::setFleet(const std::shared_ptr<const fleet::Fleet> &fleet)
{
    state_->table_.setFleet(*fleet);
    state_->settings_.firstTokenAimSeconds_ = toSeconds(millis(fleet->policy_.firstTokenMillis_));
    state_->settings_.interTokenAimSeconds_ = toSeconds(millis(fleet->policy_.interTokenMillis_));
}

void Router::onReport(const LoadReport &report, TimePoint now)
{
    EndpointSlot *slot = state_->table_.find(report.endpoint_);
    if (slot == nullptr) {
        return;
    }
    const bool open = slot->open();
    const fleet::EngineRole role = slot->role();
    slot->load_.onReport(report, now);
    if (slot->open() != open || slot->role() != role) {
        state_->table_.markChanged(*slot);
    }
}

void Router::onCacheEvent(const CacheEvent &event, TimePoint now)
{
    const EndpointSlot *slot = state_->table_.find(event.endpoint_);
    if (slot != nullptr) {
        state_->beliefs_.onCacheEvent(event, state_->table_.refOf(*slot), now);
    }
}

void Router::onReachability(const EndpointId &endpoint, Reachability reachability, TimePoint)
{
    EndpointSlot *slot = state_->table_.find(endpoint);
    if (slot != nullptr) {
        slot->reachability_ = reachability;
        state_->table_.markChanged(*slot);
    }
}

void Router::onDomainCapacity(const DomainId &domain, double spareShare, TimePoint validUntil)
{
    state_->rooms_[domain] = {spareShare, validUntil};
}

void Router::onDispatched(const AttemptId &attempt, const EndpointId &endpoint,
                          const RouteQuery &query, TimePoint now)
{
    state_->endExpired(now);
    EndpointSlot *slot = state_->table_.find(endpoint);
    if (slot == nullptr) {
        return;
    }
    const PrefixHits hits = state_->beliefs_.hitsFor(query.prefixHashes_, now);
    const Candidate estimate =
        estimateCandidate(state_->table_, *slot, query, hits, state_->settings_, now);
    Attempt &added = state_->attempts_.add(attempt, query.deadline_, now);
    added.slot_ = state_->table_.refOf(*slot);
    added.promptTokens_ = query.promptTokens_;
    added.believedTokens_ = tokensInBlocks(query, hits.blocksAt(added.slot_));
    added.prefixes_ = samplePrefixes(query.prefixHashes_);
    slot->load_.onDispatched(added.number_, demandOf(query, estimate.cachedTokens_),
                             estimate.rawSeconds_, now, state_->table_.rules(),
                             state_->table_.group(slot->group_).typical_);
    slot->backoff_.onDispatched(now);
    state_->beliefs_.onPrompt(hits, added.prefixes_.blocks_);
    state_->beliefs_.onDispatched(added.prefixes_, added.slot_, now);
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
        slot->trust_.observe(attempt->believedTokens_, cachedTokens);
        state_->beliefs_.onCached(attempt->prefixes_, attempt->slot_, cachedTokens,
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
            state_->beliefs_.onFailed(attempt->prefixes_, attempt->slot_, now);
        }
    }
    state_->attempts_.erase(id);
}

std::optional<RouteChoice> Router::choose(const RouteQuery &query, TimePoint now)
{
    const PrefixHits hits = state_->beliefs_.hitsFor(query.prefixHashes_, now);
    Chooser chooser(state_->table_, state_->settings_, query, hits, now);
    return chooser.choose(state_->rooms_);
}

bool Router::isAvailable(const EndpointId &endpoint) const
{
    const EndpointSlot *slot = state_->table_.find(endpoint);
    return slot != nullptr && slot->open();
}

TimePoint Router::estimateFirstToken(const EndpointId &endpoint, const RouteQuery &query,
                                     TimePoint now) const
{
    const EndpointSlot *slot = state_->table_.find(endpoint);
    if (slot == nullptr) {
        return TimePoint::max();
    }
    const PrefixHits hits = state_->beliefs_.hitsFor(query.prefixHashes_, now);
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
    // A request needs room in both halves: idle engines of one role say nothing of the other.
    double reading = 0;
    double writing = 0;
    int readers = 0;
    int writers = 0;
    for (const SlotIndex index : members) {
        const EndpointSlot &slot = state_->table_.at(index);
        const bool open = slot.open() && slot.backoff_.open(now);
        const fleet::EngineRole role = slot.role();
        if (role != fleet::EngineRole::Decode) {
            ++readers;
            reading += open ? state_->readingRoom(slot, now) : 0;
        }
        if (role != fleet::EngineRole::Prefill) {
            ++writers;
            writing += open ? state_->writingRoom(slot, now) : 0;
        }
    }
    return std::min(reading / std::max(readers, 1), writing / std::max(writers, 1));
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
