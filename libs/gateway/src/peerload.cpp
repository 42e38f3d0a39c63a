#include "almondridge/gateway/peerload.h"

#include "almondridge/gateway/promptmemory.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace almondridge::gateway {
namespace {

using Json = nlohmann::json;

/** A peer sends at least once a second; after three missed notes what it had queued is unknown. */
constexpr Duration SilentAfter = millis(3'000);
/** No engine is away for longer, whatever a peer says. */
constexpr std::int64_t LongestChangeMillis = 10'000;
/** Any fixed number: it gives the instances one order. */
constexpr std::uint64_t LeaderOrder = 2;

/** Counts of failures fade and are no whole numbers: they are told in tenths. */
constexpr double FailureParts = 10;
/** More requests at one engine are no instance's: sums must not overflow. */
constexpr int MostUseTold = 100'000;
/** Demand is told in thousandths of an engine: each of hundreds of instances has little. */
constexpr double DemandParts = 1'000;

/** Tokens by urgency, without the zeros at the end. */
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

std::string encodeNote(const LoadNote &note)
{
    Json queued = Json::object();
    for (const auto &[endpoint, queue] : note.queued_) {
        queued[endpoint.value()] = encodeQueue(queue);
    }
    Json changing = Json::object();
    for (const auto &[endpoint, left] : note.changingMillis_) {
        changing[endpoint.value()] = left;
    }
    Json failures = Json::object();
    for (const auto &[endpoint, count] : note.failures_) {
        failures[endpoint.value()] = std::llround(count * FailureParts);
    }
    Json slotUse = Json::object();
    for (const auto &[endpoint, use] : note.slotUse_) {
        slotUse[endpoint.value()] = {use.inTime_, use.late_};
    }
    Json demand = Json::object();
    for (const auto &[service, busy] : note.demand_) {
        demand[service.value()] = {std::llround(busy.readers_ * DemandParts),
                                   std::llround(busy.generators_ * DemandParts)};
    }
    Json unreached = Json::array();
    for (const EndpointId &endpoint : note.unreached_) {
        unreached.push_back(endpoint.value());
    }
    const Json json =
        Json::array({note.sender_.value(), note.lifetime_, note.number_, note.mayLead_, note.leads_,
                     queued, changing, unreached, failures, note.readParts_, demand, slotUse});
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<LoadNote> decodeNote(std::string_view bytes)
{
    const Json json = Json::from_cbor(bytes, true, false);
    constexpr std::size_t Fields = 12;
    const bool shaped = json.is_array() && json.size() == Fields && json[0].is_string()
                        && json[1].is_number_unsigned() && json[2].is_number_unsigned()
                        && json[3].is_boolean() && json[4].is_boolean() && json[5].is_object()
                        && json[6].is_object() && json[7].is_array() && json[8].is_object()
                        && json[9].is_array() && json[10].is_object() && json[11].is_object();
    if (!shaped) {
        return std::nullopt;
    }
    LoadNote note;
    note.sender_ = InstanceId(json[0].get<std::string>());
    note.lifetime_ = json[1].get<std::uint64_t>();
    note.number_ = json[2].get<std::uint64_t>();
    note.mayLead_ = json[3].get<bool>();
    note.leads_ = json[4].get<bool>();
    for (const auto &[endpoint, tokens] : json[5].items()) {
        const auto queue = decodeQueue(tokens);
        if (!queue) {
            return std::nullopt;
        }
        note.queued_[EndpointId(endpoint)] = *queue;
    }
    for (const auto &[endpoint, left] : json[6].items()) {
        if (!left.is_number_unsigned()) {
            return std::nullopt;
        }
        note.changingMillis_[EndpointId(endpoint)] = left.get<std::int64_t>();
    }
    for (const Json &endpoint : json[7]) {
        if (!endpoint.is_string()) {
            return std::nullopt;
        }
        note.unreached_.emplace_back(endpoint.get<std::string>());
    }
    for (const auto &[endpoint, count] : json[8].items()) {
        if (!count.is_number_unsigned()) {
            return std::nullopt;
        }
        note.failures_[EndpointId(endpoint)] = count.get<double>() / FailureParts;
    }
    for (const auto &[endpoint, use] : json[11].items()) {
        if (!use.is_array() || use.size() != 2 || !use[0].is_number_unsigned()
            || !use[1].is_number_unsigned()) {
            return std::nullopt;
        }
        note.slotUse_[EndpointId(endpoint)] = {std::min(use[0].get<int>(), MostUseTold),
                                               std::min(use[1].get<int>(), MostUseTold)};
    }
    for (const auto &[service, busy] : json[10].items()) {
        if (!busy.is_array() || busy.size() != 2 || !busy[0].is_number_unsigned()
            || !busy[1].is_number_unsigned()) {
            return std::nullopt;
        }
        note.demand_[ServiceId(service)] = {busy[0].get<double>() / DemandParts,
                                            busy[1].get<double>() / DemandParts};
    }
    for (const Json &part : json[9]) {
        if (!part.is_number_unsigned()) {
            return std::nullopt;
        }
        note.readParts_.push_back(part.get<PromptMemory::Key>());
    }
    return note;
}

void PeerLoads::add(const LoadNote &note, EndpointTable &table)
{
    for (const auto &[id, queue] : note.queued_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->foreignQueued_.add(queue);
        }
    }
    for (const auto &[id, use] : note.slotUse_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->foreignSlotUse_.add(use);
        }
    }
    for (const auto &[id, failures] : note.failures_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->toldFailures_ += failures;
        }
    }
}

void PeerLoads::takeOut(const LoadNote &note, EndpointTable &table)
{
    for (const auto &[id, queue] : note.queued_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->foreignQueued_.remove(queue);
        }
    }
    for (const auto &[id, use] : note.slotUse_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->foreignSlotUse_.remove(use);
        }
    }
    for (const auto &[id, failures] : note.failures_) {
        if (Endpoint *endpoint = table.find(id)) {
            // Never below zero: the endpoint may have been listed after the note.
            endpoint->toldFailures_ = std::max(0.0, endpoint->toldFailures_ - failures);
        }
    }
}

void PeerLoads::onNote(const LoadNote &note, EndpointTable &table, TimePoint now)
{
    Peer &peer = peers_[note.sender_];
    const bool older =
        note.lifetime_ < peer.note_.lifetime_
        || (note.lifetime_ == peer.note_.lifetime_ && note.number_ <= peer.note_.number_);
    if (older && peer.heardAt_ != TimePoint {}) {
        return;
    }
    takeOut(peer.note_, table);
    peer = {note, now};
    add(peer.note_, table);
    for (const auto &[endpoint, left] : note.changingMillis_) {
        table.onChanging(endpoint, now + millis(std::min(left, LongestChangeMillis)));
    }
    for (const EndpointId &endpoint : note.unreached_) {
        table.onUnreachedByPeer(endpoint, now);
    }
}

StageDemand PeerLoads::demand(const ServiceId &service) const
{
    StageDemand sum;
    for (const auto &[id, peer] : peers_) {
        const auto found = peer.note_.demand_.find(service);
        if (found != peer.note_.demand_.end()) {
            sum += found->second;
        }
    }
    return sum;
}

bool PeerLoads::leads(const InstanceId &self) const
{
    const auto rank = [](const InstanceId &id) {
        return rendezvousWeight(id.value(), LeaderOrder);
    };
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto &entry) {
        const LoadNote &note = entry.second.note_;
        return note.leads_ || (note.mayLead_ && rank(entry.first) > rank(self));
    });
}

void PeerLoads::forgetSilent(EndpointTable &table, TimePoint now)
{
    std::erase_if(peers_, [&](const auto &entry) {
        const bool silent = entry.second.heardAt_ + SilentAfter < now;
        if (silent) {
            takeOut(entry.second.note_, table);
        }
        return silent;
    });
}

} // namespace almondridge::gateway
