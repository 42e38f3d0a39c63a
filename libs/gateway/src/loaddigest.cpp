#include "almondridge/gateway/loaddigest.h"

#include "almondridge/base/cbor.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace almondridge::gateway {
namespace {

using Json = nlohmann::json;

/**
 * The first byte of a digest. No CBOR message of ours starts with it: the first byte of an array is
 * 0x80 or more.
 */
constexpr char DigestMark = 0x01;
constexpr std::size_t SequenceBytes = 8;
constexpr std::size_t PrefixBytes = 1 + SequenceBytes;

/** Failure counts decay and are fractional; they are sent in tenths. */
constexpr double FailureScale = 10;
/** Demand is sent in thousandths of an engine. */
constexpr double DemandScale = 1'000;
/**
 * More than hundreds of instances could have at one endpoint; a digest with larger counts is
 * invalid.
 */
constexpr std::uint64_t MaxTokens = 1'000'000'000'000;
constexpr std::uint64_t MaxSlotUse = 10'000'000;

/** Index of each field in the array of a digest. */
enum class Field : std::uint8_t {
    Sender,
    Domain,
    Lifetime,
    Sequence,
    Scope,
    Members,
    Loads,
    Demand,
    Leaders,
    Candidate,
    Changing,
    Unreached,
    ReadParts,
};

constexpr std::size_t FieldCount = static_cast<std::size_t>(Field::ReadParts) + 1;

constexpr std::size_t at(Field field)
{
    return static_cast<std::size_t>(field);
}

/** Required JSON type of each field, in the order of the fields. */
constexpr std::array<bool (Json::*)() const noexcept, FieldCount> FieldTypes {
    &Json::is_string,          &Json::is_string,          &Json::is_number_unsigned,
    &Json::is_number_unsigned, &Json::is_number_unsigned, &Json::is_number_unsigned,
    &Json::is_object,          &Json::is_object,          &Json::is_array,
    &Json::is_string,          &Json::is_object,          &Json::is_array,
    &Json::is_array,
};

bool hasExpectedTypes(const Json &json)
{
    if (!json.is_array() || json.size() != FieldCount) {
        return false;
    }
    for (std::size_t field = 0; field < FieldCount; ++field) {
        if (!(json[field].*FieldTypes.at(field))()) {
            return false;
        }
    }
    return true;
}

/**
 * Indices in the array of an endpoint's load: requests in time, late requests, failures, then
 * prompt tokens by urgency.
 */
constexpr std::size_t InTimeAt = 0;
constexpr std::size_t LateAt = 1;
constexpr std::size_t FailuresAt = 2;
constexpr std::size_t TokensAt = 3;

Json encodeLoad(const EndpointLoad &load)
{
    Json json = Json::array(
        {load.slotUse_.inTime_, load.slotUse_.late_, std::llround(load.failures_ * FailureScale)});
    std::size_t length = load.queued_.tokens_.size();
    while (length > 0 && load.queued_.tokens_[length - 1] == 0) {
        --length;
    }
    for (std::size_t urgency = 0; urgency < length; ++urgency) {
        json.push_back(load.queued_.tokens_[urgency]);
    }
    return json;
}

bool isCount(const Json &json, std::uint64_t limit)
{
    return json.is_number_unsigned() && json.get<std::uint64_t>() <= limit;
}

std::optional<EndpointLoad> decodeLoad(const Json &json)
{
    EndpointLoad load;
    const bool isValid = json.is_array() && json.size() >= TokensAt
                         && json.size() <= TokensAt + load.queued_.tokens_.size()
                         && isCount(json[InTimeAt], MaxSlotUse) && isCount(json[LateAt], MaxSlotUse)
                         && isCount(json[FailuresAt], MaxSlotUse);
    if (!isValid) {
        return std::nullopt;
    }
    load.slotUse_ = {json[InTimeAt].get<int>(), json[LateAt].get<int>()};
    load.failures_ = json[FailuresAt].get<double>() / FailureScale;
    for (std::size_t index = TokensAt; index < json.size(); ++index) {
        if (!isCount(json[index], MaxTokens)) {
            return std::nullopt;
        }
        load.queued_.add(static_cast<int>(index - TokensAt), json[index].get<std::int64_t>());
    }
    return load;
}

/** Decodes an array of names; returns nullopt if an element is not a string. */
template <typename Name>
std::optional<std::vector<Name>> decodeNames(const Json &json)
{
    std::vector<Name> names;
    for (const Json &name : json) {
        if (!name.is_string()) {
            return std::nullopt;
        }
        names.emplace_back(name.get<std::string>());
    }
    return names;
}

bool decodeLoads(const Json &json, LoadDigest &digest)
{
    for (const auto &[id, load] : json[at(Field::Loads)].items()) {
        const auto decoded = decodeLoad(load);
        if (!decoded) {
            return false;
        }
        digest.loads_[EndpointId(id)] = *decoded;
    }
    for (const auto &[id, busy] : json[at(Field::Demand)].items()) {
        if (!busy.is_array() || busy.size() != 2 || !isCount(busy[0], MaxSlotUse * 1'000)
            || !isCount(busy[1], MaxSlotUse * 1'000)) {
            return false;
        }
        digest.demand_[ServiceId(id)] = {busy[0].get<double>() / DemandScale,
                                         busy[1].get<double>() / DemandScale};
    }
    return true;
}

bool decodeLists(const Json &json, LoadDigest &digest)
{
    for (const auto &[id, remaining] : json[at(Field::Changing)].items()) {
        if (!remaining.is_number_unsigned()) {
            return false;
        }
        digest.changingMillis_[EndpointId(id)] = remaining.get<std::int64_t>();
    }
    auto leaders = decodeNames<InstanceId>(json[at(Field::Leaders)]);
    auto unreached = decodeNames<EndpointId>(json[at(Field::Unreached)]);
    if (!leaders || !unreached) {
        return false;
    }
    digest.leaders_ = std::move(*leaders);
    digest.unreached_ = std::move(*unreached);
    for (const Json &part : json[at(Field::ReadParts)]) {
        if (!part.is_number_unsigned()) {
            return false;
        }
        digest.readParts_.push_back(part.get<PromptCacheIndex::Key>());
    }
    return true;
}

template <typename Name>
Json encodeNames(const std::vector<Name> &names)
{
    Json json = Json::array();
    for (const Name &name : names) {
        json.push_back(name.value());
    }
    return json;
}

} // namespace

void EndpointLoad::add(const EndpointLoad &other)
{
    queued_.add(other.queued_);
    slotUse_.add(other.slotUse_);
    failures_ += other.failures_;
}

void EndpointLoad::remove(const EndpointLoad &other)
{
    queued_.remove(other.queued_);
    slotUse_.remove(other.slotUse_);
    failures_ = std::max(0.0, failures_ - other.failures_);
}

bool EndpointLoad::isZero() const noexcept
{
    // Failures are sent in tenths, and sums of decaying counts rarely become exactly zero.
    return queued_.all() == 0 && slotUse_.all() == 0 && failures_ < 1 / FailureScale;
}

std::size_t encodedBytes(const EndpointId &id, const EndpointLoad &load)
{
    return Json::to_cbor(Json(id.value())).size() + Json::to_cbor(encodeLoad(load)).size();
}

std::string encodeDigest(const LoadDigest &digest)
{
    Json loads = Json::object();
    for (const auto &[id, load] : digest.loads_) {
        loads[id.value()] = encodeLoad(load);
    }
    Json demand = Json::object();
    for (const auto &[service, busy] : digest.demand_) {
        demand[service.value()] = {std::llround(busy.prefill_ * DemandScale),
                                   std::llround(busy.decode_ * DemandScale)};
    }
    Json changing = Json::object();
    for (const auto &[id, remaining] : digest.changingMillis_) {
        changing[id.value()] = remaining;
    }
    Json json = Json::array();
    json[at(Field::Sender)] = digest.sender_.value();
    json[at(Field::Domain)] = digest.domain_.value();
    json[at(Field::Lifetime)] = digest.lifetime_;
    json[at(Field::Sequence)] = digest.sequence_;
    json[at(Field::Scope)] = static_cast<unsigned>(digest.scope_);
    json[at(Field::Members)] = static_cast<unsigned>(std::max(0, digest.members_));
    json[at(Field::Loads)] = std::move(loads);
    json[at(Field::Demand)] = std::move(demand);
    json[at(Field::Leaders)] = encodeNames(digest.leaders_);
    json[at(Field::Candidate)] = digest.candidate_.value();
    json[at(Field::Changing)] = std::move(changing);
    json[at(Field::Unreached)] = encodeNames(digest.unreached_);
    json[at(Field::ReadParts)] = digest.readParts_;
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

std::string digestPrefix(std::uint64_t includedReport)
{
    std::string prefix(PrefixBytes, DigestMark);
    for (std::size_t index = 0; index < SequenceBytes; ++index) {
        prefix[PrefixBytes - 1 - index] = static_cast<char>(includedReport >> (8U * index) & 0xffU);
    }
    return prefix;
}

bool isDigest(std::string_view datagram)
{
    return datagram.starts_with(DigestMark);
}

std::optional<ReceivedDigest> decodeDigest(std::string_view datagram)
{
    if (!isDigest(datagram) || datagram.size() < PrefixBytes) {
        return std::nullopt;
    }
    const std::optional<Json> decoded = fromCbor(datagram.substr(PrefixBytes));
    if (!decoded || !hasExpectedTypes(*decoded)) {
        return std::nullopt;
    }
    const Json &json = *decoded;
    if (!isCount(json[at(Field::Scope)], 1) || !isCount(json[at(Field::Members)], MaxSlotUse)) {
        return std::nullopt;
    }
    ReceivedDigest received;
    for (std::size_t index = 1; index < PrefixBytes; ++index) {
        received.includedReport_ =
            received.includedReport_ << 8U | static_cast<unsigned char>(datagram[index]);
    }
    LoadDigest &digest = received.digest_;
    digest.sender_ = InstanceId(json[at(Field::Sender)].get<std::string>());
    digest.domain_ = DomainId(json[at(Field::Domain)].get<std::string>());
    digest.lifetime_ = json[at(Field::Lifetime)].get<std::uint64_t>();
    digest.sequence_ = json[at(Field::Sequence)].get<std::uint64_t>();
    digest.scope_ = static_cast<DigestScope>(json[at(Field::Scope)].get<unsigned>());
    digest.members_ = json[at(Field::Members)].get<int>();
    digest.candidate_ = InstanceId(json[at(Field::Candidate)].get<std::string>());
    if (!decodeLoads(json, digest) || !decodeLists(json, digest)) {
        return std::nullopt;
    }
    return received;
}

} // namespace almondridge::gateway
