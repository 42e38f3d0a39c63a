#include "slopefleet.h"

#include "measure.h"

#include "almondridge/admission/admission.h"
#include "almondridge/fleet/fleetfile.h"
#include "almondridge/routing/router.h"

#include <nlohmann/json.hpp>

namespace almondridge::bench {
namespace {

fleet::Account accountOf(int index)
{
    std::string digest = std::to_string(1'000'000 + index);
    digest.resize(64, 'a');
    return {AccountId(numbered("account-", 10'000 + index)), digest, 1.0, 0};
}

routing::LoadReport reportOf(int endpoint, TimePoint now)
{
    routing::LoadReport report;
    report.endpoint_ = endpointOf(endpoint).id_;
    report.stamp_ = now;
    report.running_ = endpoint % 32;
    report.kvUsedTokens_ = std::int64_t {1'000} * (endpoint % 100);
    report.kvCapacityTokens_ = 200'000;
    report.prefillTokensPerSecond_ = 10'000;
    report.decodeTokensPerSecond_ = 30;
    return report;
}

/** A router that has heard of every endpoint of its domain. */
struct FilledRouter
{
    explicit FilledRouter(const FleetSize &size)
        : fleet_(std::make_shared<const fleet::Fleet>(fleetOf(size)))
        , endpoints_(size.endpoints_)
        , heapBefore_(heapBytes())
        , router_(routing::Router::Builder().domain(DomainId("domain-0")).build())
    {
        router_.setFleet(fleet_);
        reportAll();
    }

    void reportAll()
    {
        for (int index = 0; index < endpoints_; index += Domains) {
            router_.onReport(reportOf(index, now_), now_);
        }
    }

    std::shared_ptr<const fleet::Fleet> fleet_;
    int endpoints_;
    double heapBefore_;
    routing::Router router_;
    TimePoint now_ = TimePoint(millis(1'000'000));
};

admission::Offer offerOf(int account, TimePoint now)
{
    admission::Offer offer;
    offer.account_ = accountOf(account).id_;
    offer.model_ = ModelId(numbered("model-", account % Models));
    offer.tokens_ = 600;
    offer.firstTokenDeadline_ = now + millis(320);
    offer.deadline_ = now + millis(60'000);
    return offer;
}

admission::Admission admissionFor(const std::shared_ptr<const fleet::Fleet> &fleet, TimePoint now)
{
    admission::Admission admission = admission::Admission::Builder().build();
    admission.setFleet(fleet);
    for (const auto &[id, model] : fleet->models_) {
        admission.onCapacity(id, millis(50), 1e9, 0.5, now);
    }
    return admission;
}

void admitOne(admission::Admission &admission, int account, TimePoint now)
{
    const admission::Decision decision = admission.offer(offerOf(account, now), now);
    if (decision.answer_ != admission::Answer::Refuse) {
        admission.onFinished(decision.ticket_, 600, now);
    }
}

/** The instance list with so many engines and an entry instance to each 16, as text. */
std::string instanceList(const FleetSize &size)
{
    constexpr int EnginesPerEntry = 16;
    nlohmann::json listed = nlohmann::json::array();
    const auto add = [&](const std::string &id, const char *kind, const fleet::Endpoint &at) {
        listed.push_back({{"id", id},
                          {"kind", kind},
                          {"domain", at.domain_.value()},
                          {"address", at.address_},
                          {"state", "live"}});
    };
    for (int index = 0; index < size.endpoints_; ++index) {
        const fleet::Endpoint endpoint = endpointOf(index);
        add(endpoint.id_.value(), "engine", endpoint);
        if (index % EnginesPerEntry == 0) {
            add(numbered("entry-", index), "entry", endpoint);
        }
    }
    return nlohmann::json {{"instances", listed}}.dump();
}

} // namespace

fleet::Endpoint endpointOf(int index)
{
    fleet::Endpoint endpoint;
    endpoint.id_ = EndpointId(numbered("engine-", 100'000 + index));
    endpoint.domain_ = DomainId(numbered("domain-", index % Domains));
    endpoint.address_ =
        "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250) + ":8000";
    endpoint.model_ = ModelId(numbered("model-", index / Domains % Models));
    return endpoint;
}

fleet::Fleet fleetOf(const FleetSize &size)
{
    fleet::Fleet fleet;
    fleet.name_ = "slopes";
    for (int index = 0; index < Domains; ++index) {
        fleet.domains_.emplace_back(numbered("domain-", index));
    }
    for (int index = 0; index < Models; ++index) {
        const ModelId id(numbered("model-", index));
        fleet.models_[id] = {id, "v1", {}, 1'000'000'000};
    }
    for (int index = 0; index < size.endpoints_; ++index) {
        const fleet::Endpoint endpoint = endpointOf(index);
        fleet.endpoints_.emplace(endpoint.id_, endpoint);
    }
    for (int index = 0; index < size.accounts_; ++index) {
        const fleet::Account account = accountOf(index);
        fleet.accounts_.emplace(account.id_, account);
    }
    return fleet;
}

double fleetTextBytes(const FleetSize &size)
{
    return static_cast<double>(fleet::writeFleet(fleetOf(size)).size());
}

double fleetHeap(const FleetSize &size)
{
    const double before = heapBytes();
    const fleet::Fleet fleet = fleetOf(size);
    require(fleet.endpoints_.size() == static_cast<std::size_t>(size.endpoints_), "fleet size");
    return heapBytes() - before;
}

double parseMicroseconds(const FleetSize &size)
{
    const std::string text = fleet::writeFleet(fleetOf(size));
    return microsecondsOf(5, [&](int) { fleet::parseFleet(text).value(); });
}

double routerHeap(const FleetSize &size)
{
    const FilledRouter filled(size);
    return heapBytes() - filled.heapBefore_;
}

double setFleetMicroseconds(const FleetSize &size)
{
    FilledRouter filled(size);
    return microsecondsOf(5, [&](int) {
        filled.router_.setFleet(std::make_shared<const fleet::Fleet>(*filled.fleet_));
    });
}

double reportMicroseconds(const FleetSize &size)
{
    constexpr int Rounds = 40;
    FilledRouter filled(size);
    const double perRound = microsecondsOf(Rounds, [&](int) {
        filled.now_ += millis(250);
        filled.reportAll();
    });
    return perRound * Domains / size.endpoints_;
}

double choiceMicroseconds(const FleetSize &size)
{
    constexpr int Choices = 20'000;
    FilledRouter filled(size);
    int chosen = 0;
    const double each = microsecondsOf(Choices, [&](int index) {
        filled.now_ += std::chrono::microseconds(50);
        routing::RouteQuery query;
        query.model_ = ModelId(numbered("model-", index % Models));
        query.promptTokens_ = 400;
        query.outputTokens_ = 200;
        query.random_ = static_cast<std::uint64_t>(index) * 0x9e3779b97f4a7c15ULL;
        query.deadline_ = filled.now_ + millis(60'000);
        const auto choice = filled.router_.choose(query, filled.now_);
        if (choice) {
            ++chosen;
            const AttemptId attempt(numbered("attempt-", index));
            filled.router_.onDispatched(attempt, choice->endpoint_, query, filled.now_);
            filled.router_.onFirstToken(attempt, -1, filled.now_);
            filled.router_.onFinished(attempt, true, filled.now_);
        }
    });
    require(chosen == Choices, "every request gets an endpoint");
    return each;
}

double admissionHeap(const FleetSize &size)
{
    const auto fleet = std::make_shared<const fleet::Fleet>(fleetOf(size));
    const double before = heapBytes();
    const TimePoint now(millis(1'000'000));
    admission::Admission admission = admissionFor(fleet, now);
    for (int index = 0; index < size.accounts_; ++index) {
        admitOne(admission, index, now);
    }
    return heapBytes() - before;
}

double offerMicroseconds(const FleetSize &size)
{
    const auto fleet = std::make_shared<const fleet::Fleet>(fleetOf(size));
    TimePoint now(millis(1'000'000));
    admission::Admission admission = admissionFor(fleet, now);
    return microsecondsOf(20'000, [&](int index) {
        now += std::chrono::microseconds(500);
        admitOne(admission, index % size.accounts_, now);
    });
}

double instanceListBytes(const FleetSize &size)
{
    return static_cast<double>(instanceList(size).size());
}

double instanceListMicroseconds(const FleetSize &size)
{
    const std::string text = instanceList(size);
    return microsecondsOf(5, [&](int) {
        const nlohmann::json list = nlohmann::json::parse(text);
        require(!list.at("instances").empty(), "a list");
    });
}

} // namespace almondridge::bench
