#include "almondridge/gateway/peerload.h"

#include "almondridge/base/cbor.h"
#include "almondridge/gateway/promptcacheindex.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace almondridge::gateway {
namespace {

using Json = nlohmann::json;

/** A peer sends at least once a second; after three missed reports its load is unknown. */
constexpr Duration ExpireAfter = millis(3'000);
/** No stage change takes longer; larger values from peers are reduced to this. */
constexpr std::int64_t MaxChangeMillis = 10'000;
/** Arbitrary constant, the same in all instances, so that they compute the same order. */
constexpr std::uint64_t LeaderRankKey = 2;

/** Failure counts decay and are fractional; they are sent in tenths. */
constexpr double FailureScale = 10;
/** No instance has more requests at one engine; the limit keeps sums from overflowing. */
constexpr int MaxSlotUse = 100'000;
/**
 * Demand is sent in thousandths of an engine, since each of hundreds of instances has only a small
 * share.
 */
constexpr double DemandScale = 1'000;

/** Index of each field in the array of a report; field names would be longer than the values. */
enum class Field : std::uint8_t {
    Sender,
    Lifetime,
    Sequence,
    CanLead,
    IsLeader,
    Queued,
    Changing,
    Unreached,
    Failures,
    ReadParts,
    Demand,
    SlotUse,
    FollowedRelay,
};

constexpr std::size_t at(Field field)
{
    return static_cast<std::size_t>(field);
}

/** Required JSON type of each field, in the order of the fields. */
constexpr std::array<bool (Json::*)() const noexcept, at(Field::FollowedRelay) + 1> FieldTypes {
    &Json::is_string,  &Json::is_number_unsigned, &Json::is_number_unsigned, &Json::is_boolean,
    &Json::is_boolean, &Json::is_object,          &Json::is_object,          &Json::is_array,
    &Json::is_object,  &Json::is_array,           &Json::is_object,          &Json::is_object,
    &Json::is_string,
};

bool hasExpectedTypes(const Json &json)
{
    if (!json.is_array() || json.size() != FieldTypes.size()) {
        return false;
    }
    for (std::size_t field = 0; field < FieldTypes.size(); ++field) {
        if (!(json[field].*FieldTypes.at(field))()) {
            return false;
        }
    }
    return true;
}

/** Whether the value is an array of two counts, as endpoints and services have them. */
bool isPair(const Json &json)
{
    return json.is_array() && json.size() == 2 && json[0].is_number_unsigned()
           && json[1].is_number_unsigned();
}

int clampedUse(const Json &count)
{
    // Compared before the conversion to int, which would turn larger counts negative.
    return static_cast<int>(std::min<std::uint64_t>(count.get<std::uint64_t>(), MaxSlotUse));
}

/** Encodes tokens by urgency without trailing zeros. */
Json encodeQueue(const PromptQueue &queue)
{
    std::size_t length = queue.tokens_.size();
    while (length > 0 && queue.tokens_[length - 1] == 0) {
        --length;
    }
    return std::vector<std::int64_t>(queue.tokens_.begin(),
                                     queue.tokens_.begin() + static_cast<std::ptrdiff_t>(length));
}

std::optional<PromptQueue> decodeQueue(const Json &json)
{
    PromptQueue queue;
    if (!json.is_array() || json.size() > queue.tokens_.size()) {
        return std::nullopt;
    }
    int urgency = 0;
    for (const Json &tokens : json) {
        if (!tokens.is_number_unsigned()) {
            return std::nullopt;
        }
        queue.add(urgency++, tokens.get<std::int64_t>());
    }
    return queue;
}

} // namespace

std::string encodeLoadReport(const LoadReport &report)
{
    Json queued = Json::object();
    for (const auto &[endpoint, queue] : report.queued_) {
        queued[endpoint.value()] = encodeQueue(queue);
    }
    Json changing = Json::object();
    for (const auto &[endpoint, remaining] : report.changingMillis_) {
        changing[endpoint.value()] = remaining;
    }
    Json failures = Json::object();
    for (const auto &[endpoint, count] : report.failures_) {
        failures[endpoint.value()] = std::llround(count * FailureScale);
    }
    Json slotUse = Json::object();
    for (const auto &[endpoint, use] : report.slotUse_) {
        slotUse[endpoint.value()] = {use.inTime_, use.late_};
    }
    Json demand = Json::object();
    for (const auto &[service, busy] : report.demand_) {
        demand[service.value()] = {std::llround(busy.prefill_ * DemandScale),
                                   std::llround(busy.decode_ * DemandScale)};
    }
    Json unreached = Json::array();
    for (const EndpointId &endpoint : report.unreached_) {
        unreached.push_back(endpoint.value());
    }
    Json json = Json::array();
    json[at(Field::Sender)] = report.sender_.value();
    json[at(Field::Lifetime)] = report.lifetime_;
    json[at(Field::Sequence)] = report.sequence_;
    json[at(Field::CanLead)] = report.canLead_;
    json[at(Field::IsLeader)] = report.isLeader_;
    json[at(Field::Queued)] = std::move(queued);
    json[at(Field::Changing)] = std::move(changing);
    json[at(Field::Unreached)] = std::move(unreached);
    json[at(Field::Failures)] = std::move(failures);
    json[at(Field::ReadParts)] = report.readParts_;
    json[at(Field::Demand)] = std::move(demand);
    json[at(Field::SlotUse)] = std::move(slotUse);
    json[at(Field::FollowedRelay)] = report.followedRelay_.value();
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<LoadReport> decodeLoadReport(std::string_view bytes)
{
    const std::optional<Json> decoded = fromCbor(bytes);
    if (!decoded || !hasExpectedTypes(*decoded)) {
        return std::nullopt;
    }
    const Json &json = *decoded;
    LoadReport report;
    report.sender_ = InstanceId(json[at(Field::Sender)].get<std::string>());
    report.lifetime_ = json[at(Field::Lifetime)].get<std::uint64_t>();
    report.sequence_ = json[at(Field::Sequence)].get<std::uint64_t>();
    report.canLead_ = json[at(Field::CanLead)].get<bool>();
    report.isLeader_ = json[at(Field::IsLeader)].get<bool>();
    report.followedRelay_ = InstanceId(json[at(Field::FollowedRelay)].get<std::string>());
    for (const auto &[endpoint, tokens] : json[at(Field::Queued)].items()) {
        const auto queue = decodeQueue(tokens);
        if (!queue) {
            return std::nullopt;
        }
        report.queued_[EndpointId(endpoint)] = *queue;
    }
    for (const auto &[endpoint, remaining] : json[at(Field::Changing)].items()) {
        if (!remaining.is_number_unsigned()) {
            return std::nullopt;
        }
        report.changingMillis_[EndpointId(endpoint)] = remaining.get<std::int64_t>();
    }
    for (const Json &endpoint : json[at(Field::Unreached)]) {
        if (!endpoint.is_string()) {
            return std::nullopt;
        }
        report.unreached_.emplace_back(endpoint.get<std::string>());
    }
    for (const auto &[endpoint, count] : json[at(Field::Failures)].items()) {
        if (!count.is_number_unsigned()) {
            return std::nullopt;
        }
        report.failures_[EndpointId(endpoint)] = count.get<double>() / FailureScale;
    }
    for (const auto &[endpoint, use] : json[at(Field::SlotUse)].items()) {
        if (!isPair(use)) {
            return std::nullopt;
        }
        report.slotUse_[EndpointId(endpoint)] = {clampedUse(use[0]), clampedUse(use[1])};
    }
    for (const auto &[service, busy] : json[at(Field::Demand)].items()) {
        if (!isPair(busy)) {
            return std::nullopt;
        }
        report.demand_[ServiceId(service)] = {busy[0].get<double>() / DemandScale,
                                              busy[1].get<double>() / DemandScale};
    }
    for (const Json &part : json[at(Field::ReadParts)]) {
        if (!part.is_number_unsigned()) {
            return std::nullopt;
        }
        report.readParts_.push_back(part.get<PromptCacheIndex::Key>());
    }
    return report;
}

LoadTable loadsOf(const LoadReport &report)
{
    LoadTable loads;
    for (const auto &[id, queue] : report.queued_) {
        loads[id].queued_ = queue;
    }
    for (const auto &[id, use] : report.slotUse_) {
        loads[id].slotUse_ = use;
    }
    for (const auto &[id, failures] : report.failures_) {
        loads[id].failures_ = failures;
    }
    return loads;
}

std::uint64_t leaderRank(const InstanceId &id)
{
    return rendezvousWeight(id.value(), LeaderRankKey);
}

void PeerLoads::setInUse(bool inUse, EndpointTable &table)
{
    if (inUse == inUse_) {
        return;
    }
    inUse_ = inUse;
    for (const auto &[id, peer] : peers_) {
        inUse ? add(peer.report_, table) : subtract(peer.report_, table);
    }
}

void PeerLoads::add(const LoadReport &report, EndpointTable &table)
{
    for (const auto &[id, queue] : report.queued_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerQueued_.add(queue);
        }
    }
    for (const auto &[id, use] : report.slotUse_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerSlotUse_.add(use);
        }
    }
    for (const auto &[id, failures] : report.failures_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerFailures_ += failures;
        }
    }
}

void PeerLoads::subtract(const LoadReport &report, EndpointTable &table)
{
    for (const auto &[id, queue] : report.queued_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerQueued_.remove(queue);
        }
    }
    for (const auto &[id, use] : report.slotUse_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerSlotUse_.remove(use);
        }
    }
    for (const auto &[id, failures] : report.failures_) {
        if (Endpoint *endpoint = table.find(id)) {
            // Stops at zero: the endpoint may have been listed after the report came.
            endpoint->peerFailures_ = std::max(0.0, endpoint->peerFailures_ - failures);
        }
    }
}

bool PeerLoads::onReport(const LoadReport &report, EndpointTable &table, TimePoint now)
{
    Peer &peer = peers_[report.sender_];
    const bool isStale = report.lifetime_ < peer.report_.lifetime_
                         || (report.lifetime_ == peer.report_.lifetime_
                             && report.sequence_ <= peer.report_.sequence_);
    if (isStale && peer.receivedAt_ != TimePoint {}) {
        return false;
    }
    if (inUse_) {
        subtract(peer.report_, table);
        add(report, table);
    }
    peer = {report, now};
    for (const auto &[endpoint, remaining] : report.changingMillis_) {
        table.onChanging(endpoint, now + millis(std::min(remaining, MaxChangeMillis)));
    }
    for (const EndpointId &endpoint : report.unreached_) {
        table.onPeerReportedUnreachable(endpoint, now);
    }
    return true;
}

StageDemand PeerLoads::demand(const ServiceId &service) const
{
    StageDemand sum;
    for (const auto &[id, peer] : peers_) {
        const auto found = peer.report_.demand_.find(service);
        if (found != peer.report_.demand_.end()) {
            sum += found->second;
        }
    }
    return sum;
}

bool PeerLoads::isPreferredLeader(const InstanceId &self) const
{
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto &entry) {
        const LoadReport &report = entry.second.report_;
        return report.isLeader_ || (report.canLead_ && leaderRank(entry.first) > leaderRank(self));
    });
}

void PeerLoads::removeExpired(EndpointTable &table, TimePoint now)
{
    std::erase_if(peers_, [&](const auto &entry) {
        const bool silent = entry.second.receivedAt_ + ExpireAfter < now;
        if (silent && inUse_) {
            subtract(entry.second.report_, table);
        }
        return silent;
    });
}

} // namespace almondridge::gateway
