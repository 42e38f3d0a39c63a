#include "almondridge/gateway/peerload.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace almondridge::gateway {
namespace {

using Json = nlohmann::json;

/** A peer sends at least once a second; after three missed notes what it had queued is unknown. */
constexpr Duration SilentAfter = millis(3'000);

} // namespace

std::string encodeNote(const LoadNote &note)
{
    Json queued = Json::object();
    for (const auto &[endpoint, tokens] : note.queuedTokens_) {
        queued[endpoint.value()] = tokens;
    }
    const Json json = Json::array({note.sender_.value(), note.lifetime_, note.number_, queued});
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<LoadNote> decodeNote(std::string_view bytes)
{
    const Json json = Json::from_cbor(bytes, true, false);
    constexpr std::size_t Fields = 4;
    const bool shaped = json.is_array() && json.size() == Fields && json[0].is_string()
        && json[1].is_number_unsigned() && json[2].is_number_unsigned() && json[3].is_object();
    if (!shaped) {
        return std::nullopt;
    }
    LoadNote note;
    note.sender_ = InstanceId(json[0].get<std::string>());
    note.lifetime_ = json[1].get<std::uint64_t>();
    note.number_ = json[2].get<std::uint64_t>();
    for (const auto &[endpoint, tokens] : json[3].items()) {
        if (!tokens.is_number_unsigned()) {
            return std::nullopt;
        }
        note.queuedTokens_[EndpointId(endpoint)] = tokens.get<std::int64_t>();
    }
    return note;
}

void PeerLoads::count(const LoadNote &note, EndpointTable &table, int sign)
{
    for (const auto &[id, tokens] : note.queuedTokens_) {
        Endpoint *endpoint = table.find(id);
        if (endpoint != nullptr) {
            endpoint->foreignTokens_ =
                std::max<std::int64_t>(0, endpoint->foreignTokens_ + sign * tokens);
        }
    }
}

void PeerLoads::onNote(const LoadNote &note, EndpointTable &table, TimePoint now)
{
    Peer &peer = peers_[note.sender_];
    const bool older = note.lifetime_ < peer.note_.lifetime_
        || (note.lifetime_ == peer.note_.lifetime_ && note.number_ <= peer.note_.number_);
    if (older && peer.heardAt_ != TimePoint {}) {
        return;
    }
    count(peer.note_, table, -1);
    peer = {note, now};
    count(peer.note_, table, 1);
}

void PeerLoads::forgetSilent(EndpointTable &table, TimePoint now)
{
    std::erase_if(peers_, [&](const auto &entry) {
        const bool silent = entry.second.heardAt_ + SilentAfter < now;
        if (silent) {
            count(entry.second.note_, table, -1);
        }
        return silent;
    });
}

} // namespace almondridge::gateway
