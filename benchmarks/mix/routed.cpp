#include "routed.h"

#include "almondridge/admission/admission.h"

#include <random>
#include <unordered_map>

namespace almondridge::mix {
namespace {

/** A stream's KV cache as the engines report it; their batch is full when their memory is. */
constexpr std::int64_t StreamKvTokens = 1'500;

constexpr double OtherDomainSeconds = 0.003;
constexpr double RoomValidSeconds = 1;

/** Time between tokens that the first-token deadline leaves for the rest of the answer. */
constexpr double ExpectedTokenSeconds = 0.03;

/** The two legs of a request: reading at one engine, writing at another. */
enum class Leg { Prefill, Decode };

DomainId domainId(int domain)
{
    return DomainId("d" + std::to_string(domain));
}

EndpointId engineId(int engine)
{
    return EndpointId("e" + std::to_string(engine));
}

int engineIndex(const EndpointId &id)
{
    return std::stoi(id.value().substr(1));
}

AttemptId attemptId(RequestIndex request, Leg leg)
{
    return AttemptId(std::to_string(request) + (leg == Leg::Prefill ? "p" : "d"));
}

class Routed : public Dispatcher
{
public:
    Routed(const World &world, const RoutedSetup &setup)
        : world_(world)
        , setup_(setup)
        , fleet_(makeFleet())
    {
        const int entries = world.day_->domains_ * world.day_->entriesPerDomain_;
        for (int entry = 0; entry < entries; ++entry) {
            entries_.push_back(makeEntry(world.domainOfEntry(entry)));
        }
    }

    Admit admit(const Query &query, TimePoint now) override
    {
        const double writing = query.outputTokens_ * ExpectedTokenSeconds;
        const admission::Offer offer {AccountId("account"),
                                      model_,
                                      query.promptTokens_ + query.outputTokens_,
                                      0,
                                      query.deadline_ - spanOf(writing),
                                      query.deadline_};
        const admission::Decision decision = entries_[query.entry_].admission_.offer(offer, now);
        if (decision.answer_ == admission::Answer::Refuse) {
            return Admit::Never;
        }
        tickets_[query.request_] = {query.entry_, decision.ticket_};
        waiting_[{query.entry_, decision.ticket_}] = query.request_;
        return decision.answer_ == admission::Answer::Admit ? Admit::Now : Admit::Wait;
    }

    std::vector<std::pair<RequestIndex, Admit>> poll(TimePoint now) override
    {
        std::vector<std::pair<RequestIndex, Admit>> released;
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            for (const admission::Release &release : entries_[entry].admission_.poll(now)) {
                const auto found = waiting_.find({static_cast<int>(entry), release.ticket_});
                if (found != waiting_.end()) {
                    const bool go = release.decision_.answer_ == admission::Answer::Admit;
                    released.emplace_back(found->second, go ? Admit::Now : Admit::Never);
                }
            }
        }
        return released;
    }

    std::optional<Target> choose(const Query &query, TimePoint now) override
    {
        int entry = query.entry_;
        routing::RouteQuery route = routeQuery(query);
        if (query.promptTokens_ == 0) {
            // The KV cache stays in the domain that read the prompt.
            entry = routedBy_[query.request_];
            route.ownDomainOnly_ = true;
        }
        auto choice = entries_[entry].router_.choose(route, now);
        if (choice && choice->otherDomain_) {
            // The other domain's entry knows its engines and chooses among them, once.
            const int domain = world_.engines_[engineIndex(choice->endpoint_)].domain_;
            entry = domain * world_.day_->entriesPerDomain_
                    + static_cast<int>(random_() % world_.day_->entriesPerDomain_);
            route.ownDomainOnly_ = true;
            choice = entries_[entry].router_.choose(route, now);
        }
        if (!choice) {
            return std::nullopt;
        }
        routedBy_[query.request_] = entry;
        Target target {std::nullopt, engineIndex(choice->endpoint_)};
        if (choice->prefill_) {
            // The writing engine is chosen when the prompt has been read.
            target = {engineIndex(*choice->prefill_), -1};
        }
        return target;
    }

    void onReport(int entry, int engine, const EngineReport &report, TimePoint now) override
    {
        const std::int64_t capacity = limitsOf(report.role_).batch_ * StreamKvTokens;
        const routing::LoadReport load {engineId(engine),
                                        report.stamp_,
                                        report.running_,
                                        report.waiting_,
                                        report.prefillTokensWaiting_,
                                        (report.running_ + report.waiting_) * StreamKvTokens,
                                        capacity,
                                        report.prefillTokensPerSecond_,
                                        report.streamTokensPerSecond_,
                                        report.role_,
                                        true};
        entries_[entry].router_.onReport(load, now);
    }

    void onServing(int engine, bool serving, TimePoint now) override
    {
        const auto reachability =
            serving ? routing::Reachability::Open : routing::Reachability::Withheld;
        const EngineSlot &slot = world_.engines_[engine];
        const int entriesPerDomain = world_.day_->entriesPerDomain_;
        for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
            if (entry / entriesPerDomain != slot.domain_) {
                continue;
            }
            entries_[entry].router_.onReachability(engineId(engine), reachability, now);
            if (serving) {
                // The control loop has read the engine's state back and announces it.
                onReport(entry, engine, slot.engine_.report(now), now);
            }
        }
    }

    void onDispatched(const Query &query, const Target &target, TimePoint now) override
    {
        const Leg leg = target.prefill_ ? Leg::Prefill : Leg::Decode;
        entries_[routedBy_[query.request_]].router_.onDispatched(
            attemptId(query.request_, leg), engineId(target.prefill_.value_or(target.decode_)),
            routeQuery(query), now);
    }

    void onPrefilled(RequestIndex request, TimePoint now) override
    {
        routing::Router &router = entries_[routedBy_[request]].router_;
        router.onFirstToken(attemptId(request, Leg::Prefill), 0, now);
        router.onFinished(attemptId(request, Leg::Prefill), true, now);
    }

    void onFirstToken(RequestIndex request, TimePoint now) override
    {
        entries_[routedBy_[request]].router_.onFirstToken(attemptId(request, Leg::Decode), 0, now);
    }

    void onTakenBack(RequestIndex request, TimePoint now) override
    {
        routing::Router &router = entries_[routedBy_[request]].router_;
        router.onFinished(attemptId(request, Leg::Prefill), true, now);
        router.onFinished(attemptId(request, Leg::Decode), true, now);
    }

    void onFinished(RequestIndex request, bool, TimePoint now) override
    {
        if (routedBy_.contains(request)) {
            // A deadline that passed says nothing against the engine.
            onTakenBack(request, now);
            routedBy_.erase(request);
        }
        const auto ticket = tickets_.find(request);
        if (ticket != tickets_.end()) {
            entries_[ticket->second.first].admission_.onFinished(ticket->second.second, 0, now);
            waiting_.erase(ticket->second);
            tickets_.erase(ticket);
        }
    }

    void onTick(TimePoint now) override
    {
        const int perDomain = world_.day_->entriesPerDomain_;
        for (std::size_t entry = 0; entry < entries_.size(); ++entry) {
            tellCapacity(entries_[entry], now);
        }
        for (int domain = 0; domain < world_.day_->domains_ && setup_.spillOver_; ++domain) {
            const double spare =
                entries_[static_cast<std::size_t>(domain) * perDomain].router_.spareShare(model_,
                                                                                          now);
            for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
                if (world_.reachable(entry / perDomain, domain) && entry / perDomain != domain) {
                    entries_[entry].router_.onDomainCapacity(domainId(domain), spare,
                                                             now + spanOf(RoomValidSeconds));
                }
            }
        }
    }

private:
    struct Entry
    {
        routing::Router router_;
        admission::Admission admission_;
    };

    using TicketKey = std::pair<int, admission::Ticket>;

    struct TicketHash
    {
        std::size_t operator()(const TicketKey &key) const noexcept
        {
            return std::hash<admission::Ticket> {}(key.second * 64 + key.first);
        }
    };

    std::shared_ptr<const fleet::Fleet> makeFleet() const
    {
        auto fleet = std::make_shared<fleet::Fleet>();
        fleet->models_[model_] = {model_, "1", {}, 0};
        fleet->accounts_[AccountId("account")] = {AccountId("account"), "", 1, 0};
        for (int domain = 0; domain < world_.day_->domains_; ++domain) {
            fleet->domains_.push_back(domainId(domain));
        }
        for (const EngineSlot &slot : world_.engines_) {
            fleet::Endpoint endpoint;
            endpoint.id_ = engineId(slot.index_);
            endpoint.domain_ = domainId(slot.domain_);
            endpoint.model_ = model_;
            endpoint.role_ = slot.engine_.role();
            fleet->endpoints_[endpoint.id_] = endpoint;
        }
        return fleet;
    }

    Entry makeEntry(int domain) const
    {
        routing::Router::Builder builder;
        builder.domain(domainId(domain)).otherDomainPenalty(spanOf(OtherDomainSeconds));
        if (setup_.randomCandidates_ > 0) {
            builder.randomCandidates(setup_.randomCandidates_);
        }
        for (const routing::Mechanism mechanism : setup_.without_) {
            builder.without(mechanism);
        }
        Entry entry {builder.build(), admission::Admission::Builder().build()};
        entry.router_.setFleet(fleet_);
        entry.admission_.setFleet(fleet_);
        return entry;
    }

    routing::RouteQuery routeQuery(const Query &query)
    {
        routing::RouteQuery route;
        route.model_ = model_;
        route.promptTokens_ = query.promptTokens_;
        route.outputTokens_ = query.outputTokens_;
        route.deadline_ = query.deadline_;
        route.random_ = random_();
        return route;
    }

    void tellCapacity(Entry &entry, TimePoint now)
    {
        // Filled in once the admission library asks for it.
        (void) entry;
        (void) now;
    }

    const World &world_;
    RoutedSetup setup_;
    ModelId model_ {"model"};
    std::shared_ptr<const fleet::Fleet> fleet_;
    std::vector<Entry> entries_;
    std::mt19937_64 random_ {1};
    std::unordered_map<RequestIndex, int> routedBy_;
    std::unordered_map<RequestIndex, TicketKey> tickets_;
    std::unordered_map<TicketKey, RequestIndex, TicketHash> waiting_;
};

} // namespace

std::unique_ptr<Dispatcher> makeRouted(const World &world, const RoutedSetup &setup)
{
    return std::make_unique<Routed>(world, setup);
}

} // namespace almondridge::mix
