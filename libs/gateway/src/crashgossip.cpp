#include "almondridge/gateway/crashgossip.h"

#include "almondridge/base/cbor.h"

#include <algorithm>
#include <map>
#include <utility>

namespace almondridge::gateway {
namespace {

using Json = nlohmann::json;

/** First byte of these datagrams. Load reports begin with a CBOR array, which never has it. */
constexpr char Marker = 'C';
/** Twice the longest time for which crash evidence is kept. */
constexpr std::int64_t MaxAgeMillis = 7'200'000;
constexpr std::int64_t MaxGroupSize = 1'000'000;

constexpr Duration UpdateInterval = millis(100);
constexpr Duration RepeatInterval = millis(1'000);
constexpr Duration SnapshotRequestInterval = millis(300);
constexpr Duration SnapshotRequestPeriod = millis(5'000);
constexpr std::size_t UpdateFanout = 3;
constexpr std::size_t RepeatFanout = 2;
/** Instances that gather the reports on a part; each one misses those whose datagrams are lost. */
constexpr std::size_t GatheringInstances = 2;
/** Crashes in one datagram of reports, so that it fits into one packet. */
constexpr std::size_t MaxReportsPerDatagram = 20;

enum class Field { Sender, RequestsSnapshot, Crashes, Cleared, Leases, Count };

std::size_t at(Field field)
{
    return static_cast<std::size_t>(field);
}

template <typename Enum>
std::uint64_t number(Enum value)
{
    return static_cast<std::uint64_t>(value);
}

/** Whether json is an array that begins with this many unsigned numbers. */
bool isUnsignedArray(const Json &json, std::size_t size)
{
    return json.is_array() && json.size() >= size
           && std::all_of(json.begin(), json.begin() + static_cast<std::ptrdiff_t>(size),
                          [](const Json &one) { return one.is_number_unsigned(); });
}

std::optional<std::int64_t> bounded(const Json &json, std::int64_t min, std::int64_t max)
{
    const auto value = json.get<std::uint64_t>();
    const bool fits =
        value >= static_cast<std::uint64_t>(min) && value <= static_cast<std::uint64_t>(max);
    return fits ? std::optional(static_cast<std::int64_t>(value)) : std::nullopt;
}

std::optional<CrashUpdate::Crash> readCrash(const Json &json)
{
    constexpr std::size_t Numbers = 4;
    if (!isUnsignedArray(json, Numbers) || json.size() != Numbers + 1
        || !json[Numbers].is_array()) {
        return std::nullopt;
    }
    const auto size = bounded(json[2], 1, MaxGroupSize);
    const auto age = bounded(json[3], 0, MaxAgeMillis);
    if (!size || !age || !isUnsignedArray(json[Numbers], json[Numbers].size())) {
        return std::nullopt;
    }
    CrashUpdate::Crash crash {static_cast<CrashKey>(json[0].get<std::uint64_t>()),
                              static_cast<CrashGroup>(json[1].get<std::uint64_t>()),
                              static_cast<int>(*size), *age};
    for (const Json &key : json[Numbers]) {
        crash.inFlight_.push_back(static_cast<RequestKey>(key.get<std::uint64_t>()));
    }
    return crash;
}

/** Parses each entry of a list with read; false if one is malformed. */
template <typename Entry, typename Read>
bool readAll(const Json &list, std::vector<Entry> &entries, const Read &read)
{
    if (!list.is_array()) {
        return false;
    }
    for (const Json &json : list) {
        const std::optional<Entry> entry = read(json);
        if (!entry) {
            return false;
        }
        entries.push_back(*entry);
    }
    return true;
}

std::optional<CrashUpdate::Cleared> readCleared(const Json &json)
{
    const auto age = isUnsignedArray(json, 2) ? bounded(json[1], 0, MaxAgeMillis) : std::nullopt;
    return age ? std::optional(
               CrashUpdate::Cleared {static_cast<RequestKey>(json[0].get<std::uint64_t>()), *age})
               : std::nullopt;
}

std::optional<CrashUpdate::Lease> readLease(const Json &json)
{
    const auto age = isUnsignedArray(json, 3) ? bounded(json[2], 0, MaxAgeMillis) : std::nullopt;
    return age ? std::optional(
               CrashUpdate::Lease {static_cast<RequestKey>(json[0].get<std::uint64_t>()),
                                   json[1].get<std::uint64_t>(), *age})
               : std::nullopt;
}

} // namespace

bool isCrashDatagram(std::string_view datagram)
{
    return !datagram.empty() && datagram.front() == Marker;
}

std::string encodeCrashMessage(const CrashMessage &message)
{
    Json crashes = Json::array();
    for (const CrashUpdate::Crash &crash : message.update_.crashes_) {
        Json inFlight = Json::array();
        for (const RequestKey key : crash.inFlight_) {
            inFlight.push_back(number(key));
        }
        crashes.push_back({number(crash.key_), number(crash.group_),
                           static_cast<unsigned>(crash.groupSize_),
                           static_cast<std::uint64_t>(crash.ageMillis_), std::move(inFlight)});
    }
    Json cleared = Json::array();
    for (const CrashUpdate::Cleared &one : message.update_.cleared_) {
        cleared.push_back({number(one.key_), static_cast<std::uint64_t>(one.ageMillis_)});
    }
    Json leases = Json::array();
    for (const CrashUpdate::Lease &one : message.update_.leases_) {
        leases.push_back(
            {number(one.key_), one.holder_, static_cast<std::uint64_t>(one.ageMillis_)});
    }
    Json json = Json::array();
    json[at(Field::Sender)] = message.sender_.value();
    json[at(Field::RequestsSnapshot)] = message.requestsSnapshot_;
    json[at(Field::Crashes)] = std::move(crashes);
    json[at(Field::Cleared)] = std::move(cleared);
    json[at(Field::Leases)] = std::move(leases);
    std::string bytes(1, Marker);
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<CrashMessage> decodeCrashMessage(std::string_view datagram)
{
    const std::optional<Json> json =
        isCrashDatagram(datagram) ? fromCbor(datagram.substr(1)) : std::nullopt;
    if (!json || !json->is_array() || json->size() != at(Field::Count)
        || !(*json)[at(Field::Sender)].is_string()
        || !(*json)[at(Field::RequestsSnapshot)].is_boolean()) {
        return std::nullopt;
    }
    CrashMessage message;
    message.sender_ = InstanceId((*json)[at(Field::Sender)].get<std::string>());
    message.requestsSnapshot_ = (*json)[at(Field::RequestsSnapshot)].get<bool>();
    const bool readable =
        readAll(json->at(at(Field::Crashes)), message.update_.crashes_, &readCrash)
        && readAll(json->at(at(Field::Cleared)), message.update_.cleared_, &readCleared)
        && readAll(json->at(at(Field::Leases)), message.update_.leases_, &readLease);
    return readable ? std::optional(std::move(message)) : std::nullopt;
}

CrashGossip::CrashGossip(CrashEvidence &evidence, InstanceId self, std::uint64_t seed)
    : evidence_(evidence)
    , self_(std::move(self))
    , peers_(self_, seed)
{ }

void CrashGossip::setPeers(std::vector<InstanceId> peers)
{
    peers_.set(std::move(peers));
}

std::vector<MeshDatagram> CrashGossip::tick(TimePoint now)
{
    std::vector<MeshDatagram> out;
    if (peers_.empty()) {
        return out;
    }
    if (requestSnapshotUntil_ == TimePoint {}) {
        requestSnapshotUntil_ = now + SnapshotRequestPeriod;
    }
    if (!receivedUpdate_ && now < requestSnapshotUntil_ && now >= requestSnapshotAt_) {
        requestSnapshotAt_ = now + SnapshotRequestInterval;
        appendDatagrams(encodeCrashMessage({self_, true, {}}), peers_.sample(RepeatFanout), out);
    }
    if (now >= updateAt_) {
        updateAt_ = now + UpdateInterval;
        sendPartReports(now, out);
        const CrashUpdate update = evidence_.takeUpdate(now);
        if (!update.empty()) {
            appendDatagrams(encodeCrashMessage({self_, false, update}),
                            peers_.receivers(UpdateFanout), out);
        }
    }
    if (now >= repeatAt_) {
        repeatAt_ = now + RepeatInterval;
        evidence_.removeExpired(now);
        const CrashUpdate update = evidence_.mostSuspicious(now);
        if (!update.empty()) {
            appendDatagrams(encodeCrashMessage({self_, false, update}), peers_.sample(RepeatFanout),
                            out);
        }
    }
    return out;
}

void CrashGossip::sendPartReports(TimePoint now, std::vector<MeshDatagram> &out)
{
    std::map<InstanceId, CrashUpdate> updates;
    const auto flush = [&](const InstanceId &receiver, CrashUpdate &update) {
        appendDatagrams(encodeCrashMessage({self_, false, std::exchange(update, {})}), {receiver},
                        out);
    };
    for (const PartReport &report : evidence_.takePartReports(now)) {
        const auto part = static_cast<std::uint64_t>(report.part_);
        for (const InstanceId &receiver : peers_.firstFor(part, GatheringInstances)) {
            CrashUpdate &update = updates[receiver];
            update.crashes_.push_back(report.crash_);
            if (update.crashes_.size() >= MaxReportsPerDatagram) {
                flush(receiver, update);
            }
        }
    }
    for (auto &[receiver, update] : updates) {
        if (!update.empty()) {
            flush(receiver, update);
        }
    }
}

ReceiveResult CrashGossip::onDatagram(std::string_view datagram, TimePoint now,
                                      std::vector<MeshDatagram> &out)
{
    const auto message = decodeCrashMessage(datagram);
    if (!message) {
        return ReceiveResult::Malformed;
    }
    if (!peers_.contains(message->sender_)) {
        return ReceiveResult::UnknownSender;
    }
    if (message->requestsSnapshot_) {
        // Responds even if there is nothing to report, so that the peer stops requesting.
        appendDatagrams(encodeCrashMessage({self_, false, evidence_.mostSuspicious(now)}),
                        {message->sender_}, out);
        return ReceiveResult::Accepted;
    }
    receivedUpdate_ = true;
    evidence_.onUpdate(message->update_, now);
    return ReceiveResult::Accepted;
}

} // namespace almondridge::gateway
