#include "almondridge/gateway/crashgossip.h"

#include "almondridge/base/cbor.h"

#include <algorithm>

namespace almondridge::gateway {
namespace {

using Json = nlohmann::json;

/** No CBOR array begins with it, so that it tells these datagrams from the load's. */
constexpr char Mark = 'C';
/** Twice as long as anything is remembered. */
constexpr std::int64_t LongestAgeMillis = 7'200'000;
constexpr std::int64_t MostInAGroup = 1'000'000;

constexpr Duration TellInterval = millis(100);
constexpr Duration RepeatInterval = millis(1'000);
constexpr Duration AskInterval = millis(300);
constexpr Duration AskFor = millis(5'000);
/** In a fleet of up to so many instances each tells all others. */
constexpr std::size_t FewPeers = 12;
constexpr std::size_t PeersOfARound = 3;
constexpr std::size_t PeersOfARepeat = 2;

enum class Field { Sender, Asks, Crashes, Cleared, Leases, Count };

std::size_t at(Field field)
{
    return static_cast<std::size_t>(field);
}

template <typename Enum>
std::uint64_t number(Enum value)
{
    return static_cast<std::uint64_t>(value);
}

/** An array of so many whole numbers, none negative. */
bool isRow(const Json &json, std::size_t size)
{
    return json.is_array() && json.size() >= size
           && std::all_of(json.begin(), json.begin() + static_cast<std::ptrdiff_t>(size),
                          [](const Json &one) { return one.is_number_unsigned(); });
}

std::optional<std::int64_t> bounded(const Json &json, std::int64_t least, std::int64_t most)
{
    const auto value = json.get<std::uint64_t>();
    const bool fits =
        value >= static_cast<std::uint64_t>(least) && value <= static_cast<std::uint64_t>(most);
    return fits ? std::optional(static_cast<std::int64_t>(value)) : std::nullopt;
}

std::optional<CrashUpdate::Crash> readCrash(const Json &json)
{
    constexpr std::size_t Numbers = 4;
    if (!isRow(json, Numbers) || json.size() != Numbers + 1 || !json[Numbers].is_array()) {
        return std::nullopt;
    }
    const auto size = bounded(json[2], 1, MostInAGroup);
    const auto age = bounded(json[3], 0, LongestAgeMillis);
    if (!size || !age || !isRow(json[Numbers], json[Numbers].size())) {
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

/** Each entry of a list, by read; false: one cannot be read. */
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
    const auto age = isRow(json, 2) ? bounded(json[1], 0, LongestAgeMillis) : std::nullopt;
    return age ? std::optional(
               CrashUpdate::Cleared {static_cast<RequestKey>(json[0].get<std::uint64_t>()), *age})
               : std::nullopt;
}

std::optional<CrashUpdate::LeaseTaken> readLease(const Json &json)
{
    const auto age = isRow(json, 3) ? bounded(json[2], 0, LongestAgeMillis) : std::nullopt;
    return age ? std::optional(
               CrashUpdate::LeaseTaken {static_cast<RequestKey>(json[0].get<std::uint64_t>()),
                                      json[1].get<std::uint64_t>(), *age})
               : std::nullopt;
}

} // namespace

bool isCrashDatagram(std::string_view datagram)
{
    return !datagram.empty() && datagram.front() == Mark;
}

std::string encodeCrashMessage(const CrashMessage &message)
{
    Json crashes = Json::array();
    for (const CrashUpdate::Crash &crash : message.news_.crashes_) {
        Json inFlight = Json::array();
        for (const RequestKey key : crash.inFlight_) {
            inFlight.push_back(number(key));
        }
        crashes.push_back({number(crash.key_), number(crash.group_),
                           static_cast<unsigned>(crash.groupSize_),
                           static_cast<std::uint64_t>(crash.ageMillis_), std::move(inFlight)});
    }
    Json cleared = Json::array();
    for (const CrashUpdate::Cleared &one : message.news_.cleared_) {
        cleared.push_back({number(one.key_), static_cast<std::uint64_t>(one.ageMillis_)});
    }
    Json leases = Json::array();
    for (const CrashUpdate::LeaseTaken &one : message.news_.leases_) {
        leases.push_back(
            {number(one.key_), one.holder_, static_cast<std::uint64_t>(one.ageMillis_)});
    }
    Json json = Json::array();
    json[at(Field::Sender)] = message.sender_.value();
    json[at(Field::Asks)] = message.asks_;
    json[at(Field::Crashes)] = std::move(crashes);
    json[at(Field::Cleared)] = std::move(cleared);
    json[at(Field::Leases)] = std::move(leases);
    std::string bytes(1, Mark);
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<CrashMessage> decodeCrashMessage(std::string_view datagram)
{
    const std::optional<Json> json =
        isCrashDatagram(datagram) ? fromCbor(datagram.substr(1)) : std::nullopt;
    if (!json || !json->is_array() || json->size() != at(Field::Count)
        || !(*json)[at(Field::Sender)].is_string() || !(*json)[at(Field::Asks)].is_boolean()) {
        return std::nullopt;
    }
    CrashMessage message;
    message.sender_ = InstanceId((*json)[at(Field::Sender)].get<std::string>());
    message.asks_ = (*json)[at(Field::Asks)].get<bool>();
    const bool readable =
        readAll(json->at(at(Field::Crashes)), message.news_.crashes_, &readCrash)
        && readAll(json->at(at(Field::Cleared)), message.news_.cleared_, &readCleared)
        && readAll(json->at(at(Field::Leases)), message.news_.leases_, &readLease);
    return readable ? std::optional(std::move(message)) : std::nullopt;
}

CrashGossip::CrashGossip(CrashEvidence &evidence, InstanceId self, std::uint64_t seed)
    : evidence_(evidence)
    , self_(std::move(self))
    , random_(seed)
{ }

void CrashGossip::setPeers(std::vector<InstanceId> peers)
{
    peers_ = std::move(peers);
    std::erase(peers_, self_);
}

std::vector<InstanceId> CrashGossip::drawPeers(std::size_t most)
{
    std::vector<InstanceId> drawn;
    std::sample(peers_.begin(), peers_.end(), std::back_inserter(drawn), most, random_);
    return drawn;
}

void CrashGossip::tell(const CrashMessage &message, const std::vector<InstanceId> &peers,
                       std::vector<MeshDatagram> &out) const
{
    const std::string bytes = encodeCrashMessage(message);
    for (const InstanceId &peer : peers) {
        out.push_back({peer, bytes});
    }
}

std::vector<MeshDatagram> CrashGossip::tick(TimePoint now)
{
    std::vector<MeshDatagram> out;
    if (peers_.empty()) {
        return out;
    }
    if (askUntil_ == TimePoint {}) {
        askUntil_ = now + AskFor;
    }
    if (!heard_ && now < askUntil_ && now >= askAt_) {
        askAt_ = now + AskInterval;
        tell({self_, true, {}}, drawPeers(PeersOfARepeat), out);
    }
    if (now >= tellAt_) {
        tellAt_ = now + TellInterval;
        const CrashUpdate news = evidence_.takeUpdate(now);
        if (!news.empty()) {
            tell({self_, false, news},
                 peers_.size() <= FewPeers ? peers_ : drawPeers(PeersOfARound), out);
        }
    }
    if (now >= repeatAt_) {
        repeatAt_ = now + RepeatInterval;
        evidence_.forgetOld(now);
        const CrashUpdate news = evidence_.mostImportant(now);
        if (!news.empty()) {
            tell({self_, false, news}, drawPeers(PeersOfARepeat), out);
        }
    }
    return out;
}

Reception CrashGossip::onDatagram(std::string_view datagram, TimePoint now,
                                  std::vector<MeshDatagram> &out)
{
    const auto message = decodeCrashMessage(datagram);
    if (!message) {
        return Reception::Unreadable;
    }
    if (std::find(peers_.begin(), peers_.end(), message->sender_) == peers_.end()) {
        return Reception::Unknown;
    }
    if (message->asks_) {
        // Also when there is nothing to tell: who asks need not ask again.
        tell({self_, false, evidence_.mostImportant(now)}, {message->sender_}, out);
        return Reception::Taken;
    }
    heard_ = true;
    evidence_.onUpdate(message->news_, now);
    return Reception::Taken;
}

} // namespace almondridge::gateway
