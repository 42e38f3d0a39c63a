#include "almondridge/usage/usagemessage.h"

#include "almondridge/base/cbor.h"

#include <nlohmann/json.hpp>

namespace almondridge::usage {
namespace {

using Json = nlohmann::json;

/** Limit for the names and counts in one datagram, so that it fits into one packet. */
constexpr std::size_t MaxPayloadBytes = 1'000;
/** Upper bound of the bytes of a count and of the CBOR headers of a name and a count. */
constexpr std::size_t EntryOverheadBytes = 12;
constexpr std::size_t MaxNameBytes = 128;
constexpr std::uint64_t MaxCount = 1'000'000'000;
constexpr std::int64_t MaxCorrectionMillis = 3'600'000;

std::string encode(const Json &json)
{
    std::string bytes(1, UsageDatagramTag);
    Json::to_cbor(json, bytes);
    return bytes;
}

std::string encodeParts(const UsageUpdate &update, const Json &parts)
{
    return encode(Json::array({"note", update.sender_.value(), update.lifetime_, update.number_,
                               update.timeMillis_, update.wallMillis_, parts}));
}

bool isName(const Json &json)
{
    return json.is_string() && !json.get_ref<const std::string &>().empty()
           && json.get_ref<const std::string &>().size() <= MaxNameBytes;
}

bool readCounts(const Json &json, WindowCounts &part)
{
    if (!json.is_array() || json.size() % 2 != 0) {
        return false;
    }
    std::uint64_t sum = 0;
    for (std::size_t index = 0; index < json.size(); index += 2) {
        if (!isName(json[index]) || !json[index + 1].is_number_unsigned()
            || json[index + 1].get<std::uint64_t>() > MaxCount) {
            return false;
        }
        const auto count = json[index + 1].get<std::uint64_t>();
        part.counts_[AccountId(json[index].get<std::string>())] = count;
        sum += count;
    }
    return sum <= part.total_;
}

std::optional<WindowCounts> readPart(const Json &json)
{
    if (!json.is_array() || json.size() != 4 || !json[0].is_number_integer()
        || !json[1].is_boolean() || !json[2].is_number_unsigned()) {
        return std::nullopt;
    }
    WindowCounts part;
    part.window_ = json[0].get<Window>();
    part.closed_ = json[1].get<bool>();
    part.total_ = json[2].get<std::uint64_t>();
    return readCounts(json[3], part) ? std::optional(std::move(part)) : std::nullopt;
}

std::optional<UsageUpdate> readUpdate(const Json &json)
{
    if (json.size() != 7 || !json[2].is_number_unsigned() || !json[3].is_number_unsigned()
        || !json[4].is_number_integer() || !json[5].is_number_integer() || !json[6].is_array()) {
        return std::nullopt;
    }
    UsageUpdate update;
    update.sender_ = InstanceId(json[1].get<std::string>());
    update.lifetime_ = json[2].get<std::uint64_t>();
    update.number_ = json[3].get<std::uint64_t>();
    update.timeMillis_ = json[4].get<std::int64_t>();
    update.wallMillis_ = json[5].get<std::int64_t>();
    for (const Json &row : json[6]) {
        auto part = readPart(row);
        if (!part) {
            return std::nullopt;
        }
        update.parts_.push_back(std::move(*part));
    }
    return update;
}

} // namespace

std::vector<std::string> encodeUpdate(const UsageUpdate &update)
{
    std::vector<std::string> datagrams;
    Json parts = Json::array();
    std::size_t bytes = 0;
    const auto flush = [&] {
        datagrams.push_back(encodeParts(update, parts));
        parts = Json::array();
        bytes = 0;
    };
    for (const WindowCounts &part : update.parts_) {
        Json counts = Json::array();
        const auto addPart = [&] {
            parts.push_back(Json::array({part.window_, part.closed_, part.total_, counts}));
            counts = Json::array();
        };
        for (const auto &[account, count] : part.counts_) {
            counts.push_back(account.value());
            counts.push_back(count);
            bytes += account.value().size() + EntryOverheadBytes;
            if (bytes >= MaxPayloadBytes) {
                addPart();
                flush();
            }
        }
        if (!counts.empty() || part.counts_.empty()) {
            addPart();
        }
    }
    if (!parts.empty() || datagrams.empty()) {
        flush();
    }
    return datagrams;
}

std::string encodeQuery(const UsageQuery &query)
{
    const char *kind = query.includesOthers_ ? "ask-all" : "ask";
    return encode(Json::array({kind, query.sender_.value(), query.from_}));
}

std::string encodeCorrection(const ClockCorrection &correction)
{
    return encode(Json::array(
        {"time", correction.sender_.value(), correction.offsetMillis_, correction.updateNumber_}));
}

std::optional<UsageMessage> decodeUsageMessage(std::string_view datagram)
{
    if (datagram.empty() || datagram.front() != UsageDatagramTag) {
        return std::nullopt;
    }
    const auto json = fromCbor(datagram.substr(1));
    if (!json || !json->is_array() || json->size() < 3 || !json->at(0).is_string()
        || !isName(json->at(1))) {
        return std::nullopt;
    }
    UsageMessage message;
    const std::string kind = json->at(0).get<std::string>();
    const InstanceId sender(json->at(1).get<std::string>());
    if (kind == "note") {
        message.update_ = readUpdate(*json);
        return message.update_ ? std::optional(std::move(message)) : std::nullopt;
    }
    const Json &number = json->at(2);
    if (!number.is_number_integer()) {
        return std::nullopt;
    }
    const auto value = number.get<std::int64_t>();
    if (kind == "ask" || kind == "ask-all") {
        message.query_ = {sender, value, kind == "ask-all"};
        return message;
    }
    if (kind == "time" && json->size() == 4 && json->at(3).is_number_unsigned()
        && std::abs(value) <= MaxCorrectionMillis) {
        message.correction_ = {sender, json->at(3).get<std::uint64_t>(), value};
        return message;
    }
    return std::nullopt;
}

} // namespace almondridge::usage
