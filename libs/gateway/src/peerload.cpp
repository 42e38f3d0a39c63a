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

/** Where each field of a note stands: names would be longer than what they name. */
enum class Field : std::uint8_t {
    Sender,
    Lifetime,
    Number,
    MayLead,
    Leads,
    Queued,
    Changing,
    Unreached,
    Failures,
    ReadParts,
    Demand,
    SlotUse,
    Follows,
};

constexpr std::size_t at(Field field)
{
    return static_cast<std::size_t>(field);
}

/** What a field has to be, in the order of the fields. */
constexpr std::array<bool (Json::*)() const noexcept, at(Field::Follows) + 1> FieldTypes {
    &Json::is_string,  &Json::is_number_unsigned, &Json::is_number_unsigned, &Json::is_boolean,
    &Json::is_boolean, &Json::is_object,          &Json::is_object,          &Json::is_array,
    &Json::is_object,  &Json::is_array,           &Json::is_object,          &Json::is_object,
    &Json::is_string,
};

bool isShaped(const Json &json)
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

/** Two counts, as endpoints and services have them. */
bool isPair(const Json &json)
{
    return json.is_array() && json.size() == 2 && json[0].is_number_unsigned()
           && json[1].is_number_unsigned();
}

int useTold(const Json &count)
{
    // Compared before it is made an int, which a larger count would turn negative.
    return static_cast<int>(std::min<std::uint64_t>(count.get<std::uint64_t>(), MostUseTold));
}

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
    Json json = Json::array();
    json[at(Field::Sender)] = note.sender_.value();
    json[at(Field::Lifetime)] = note.lifetime_;
    json[at(Field::Number)] = note.number_;
    json[at(Field::MayLead)] = note.mayLead_;
    json[at(Field::Leads)] = note.leads_;
    json[at(Field::Queued)] = std::move(queued);
    json[at(Field::Changing)] = std::move(changing);
    json[at(Field::Unreached)] = std::move(unreached);
    json[at(Field::Failures)] = std::move(failures);
    json[at(Field::ReadParts)] = note.readParts_;
    json[at(Field::Demand)] = std::move(demand);
    json[at(Field::SlotUse)] = std::move(slotUse);
    json[at(Field::Follows)] = note.follows_.value();
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<LoadNote> decodeNote(std::string_view bytes)
{
    const std::optional<Json> decoded = fromCbor(bytes);
    if (!decoded || !isShaped(*decoded)) {
        return std::nullopt;
    }
    const Json &json = *decoded;
    LoadNote note;
    note.sender_ = InstanceId(json[at(Field::Sender)].get<std::string>());
    note.lifetime_ = json[at(Field::Lifetime)].get<std::uint64_t>();
    note.number_ = json[at(Field::Number)].get<std::uint64_t>();
    note.mayLead_ = json[at(Field::MayLead)].get<bool>();
    note.leads_ = json[at(Field::Leads)].get<bool>();
    note.follows_ = InstanceId(json[at(Field::Follows)].get<std::string>());
    for (const auto &[endpoint, tokens] : json[at(Field::Queued)].items()) {
        const auto queue = decodeQueue(tokens);
        if (!queue) {
            return std::nullopt;
        }
        note.queued_[EndpointId(endpoint)] = *queue;
    }
    for (const auto &[endpoint, left] : json[at(Field::Changing)].items()) {
        if (!left.is_number_unsigned()) {
            return std::nullopt;
        }
        note.changingMillis_[EndpointId(endpoint)] = left.get<std::int64_t>();
    }
    for (const Json &endpoint : json[at(Field::Unreached)]) {
        if (!endpoint.is_string()) {
            return std::nullopt;
        }
        note.unreached_.emplace_back(endpoint.get<std::string>());
    }
    for (const auto &[endpoint, count] : json[at(Field::Failures)].items()) {
        if (!count.is_number_unsigned()) {
            return std::nullopt;
        }
        note.failures_[EndpointId(endpoint)] = count.get<double>() / FailureParts;
    }
    for (const auto &[endpoint, use] : json[at(Field::SlotUse)].items()) {
        if (!isPair(use)) {
            return std::nullopt;
        }
        note.slotUse_[EndpointId(endpoint)] = {useTold(use[0]), useTold(use[1])};
    }
    for (const auto &[service, busy] : json[at(Field::Demand)].items()) {
        if (!isPair(busy)) {
            return std::nullopt;
        }
        note.demand_[ServiceId(service)] = {busy[0].get<double>() / DemandParts,
                                            busy[1].get<double>() / DemandParts};
    }
    for (const Json &part : json[at(Field::ReadParts)]) {
        if (!part.is_number_unsigned()) {
            return std::nullopt;
        }
        note.readParts_.push_back(part.get<PromptCacheIndex::Key>());
    }
    return note;
}

LoadTable loadsOf(const LoadNote &note)
{
    LoadTable loads;
    for (const auto &[id, queue] : note.queued_) {
        loads[id].queued_ = queue;
    }
    for (const auto &[id, use] : note.slotUse_) {
        loads[id].slotUse_ = use;
    }
    for (const auto &[id, failures] : note.failures_) {
        loads[id].failures_ = failures;
    }
    return loads;
}

std::uint64_t leaderRank(const InstanceId &id)
{
    return rendezvousWeight(id.value(), LeaderOrder);
}

void PeerLoads::setInUse(bool inUse, EndpointTable &table)
{
    if (inUse == inUse_) {
        return;
    }
    inUse_ = inUse;
    for (const auto &[id, peer] : peers_) {
        inUse ? add(peer.note_, table) : takeOut(peer.note_, table);
    }
}

void PeerLoads::add(const LoadNote &note, EndpointTable &table)
{
    for (const auto &[id, queue] : note.queued_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerQueued_.add(queue);
        }
    }
    for (const auto &[id, use] : note.slotUse_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerSlotUse_.add(use);
        }
    }
    for (const auto &[id, failures] : note.failures_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerFailures_ += failures;
        }
    }
}

void PeerLoads::takeOut(const LoadNote &note, EndpointTable &table)
{
    for (const auto &[id, queue] : note.queued_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerQueued_.remove(queue);
        }
    }
    for (const auto &[id, use] : note.slotUse_) {
        if (Endpoint *endpoint = table.find(id)) {
            endpoint->peerSlotUse_.remove(use);
        }
    }
    for (const auto &[id, failures] : note.failures_) {
        if (Endpoint *endpoint = table.find(id)) {
            // Never below zero: the endpoint may have been listed after the note.
            endpoint->peerFailures_ = std::max(0.0, endpoint->peerFailures_ - failures);
        }
    }
}

bool PeerLoads::onNote(const LoadNote &note, EndpointTable &table, TimePoint now)
{
    Peer &peer = peers_[note.sender_];
    const bool older =
        note.lifetime_ < peer.note_.lifetime_
        || (note.lifetime_ == peer.note_.lifetime_ && note.number_ <= peer.note_.number_);
    if (older && peer.heardAt_ != TimePoint {}) {
        return false;
    }
    if (inUse_) {
        takeOut(peer.note_, table);
        add(note, table);
    }
    peer = {note, now};
    for (const auto &[endpoint, left] : note.changingMillis_) {
        table.onChanging(endpoint, now + millis(std::min(left, LongestChangeMillis)));
    }
    for (const EndpointId &endpoint : note.unreached_) {
        table.onPeerReportedUnreachable(endpoint, now);
    }
    return true;
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
    return std::none_of(peers_.begin(), peers_.end(), [&](const auto &entry) {
        const LoadNote &note = entry.second.note_;
        return note.leads_ || (note.mayLead_ && leaderRank(entry.first) > leaderRank(self));
    });
}

void PeerLoads::forgetSilent(EndpointTable &table, TimePoint now)
{
    std::erase_if(peers_, [&](const auto &entry) {
        const bool silent = entry.second.heardAt_ + SilentAfter < now;
        if (silent && inUse_) {
            takeOut(entry.second.note_, table);
        }
        return silent;
    });
}

} // namespace almondridge::gateway
