#include "almondridge/gateway/streamorigins.h"

#include "almondridge/base/cbor.h"
#include "almondridge/gateway/promptcacheindex.h"

#include <algorithm>
#include <functional>

namespace almondridge::gateway {
namespace {

using Json = nlohmann::json;

/** Longer than callers wait for an answer, with all their attempts. */
constexpr Duration Retention = millis(60'000);
/** Bounds the memory; the streams that began first are forgotten first. */
constexpr std::size_t MaxKnown = 65'536;
/** Instances that are told; with fewer, a failure of many instances loses more streams. */
constexpr std::size_t HolderCount = 2;
/**
 * A holder of the instance that began a stream is among the first two of the first three failure
 * domains here, as only the order of that instance itself can differ.
 */
constexpr std::size_t DomainsAsked = HolderCount + 1;
constexpr std::size_t AskedInDomain = 2;
constexpr std::size_t AskedInOnlyDomain = HolderCount + 1;
constexpr std::size_t MaxNameBytes = 256;

bool isName(const Json &json)
{
    return json.is_string() && json.get_ref<const std::string &>().size() <= MaxNameBytes;
}

} // namespace

std::string encodeOriginMessage(const OriginMessage &message)
{
    Json json = Json::array({nameOf(OriginMessageKindNames, message.kind_), message.sender_.value(),
                             static_cast<std::uint64_t>(message.stream_)});
    if (message.origin_) {
        json.push_back(message.origin_->service_.value());
        json.push_back(message.origin_->version_.value());
    }
    std::string bytes(1, OriginDatagramMark);
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<OriginMessage> decodeOriginMessage(std::string_view datagram)
{
    constexpr std::size_t WithoutOrigin = 3;
    constexpr std::size_t WithOrigin = 5;
    const bool marked = !datagram.empty() && datagram.front() == OriginDatagramMark;
    const std::optional<Json> json = marked ? fromCbor(datagram.substr(1)) : std::nullopt;
    const bool valid =
        json && json->is_array() && (json->size() == WithoutOrigin || json->size() == WithOrigin)
        && isName(json->at(0)) && isName(json->at(1)) && json->at(2).is_number_unsigned();
    if (!valid) {
        return std::nullopt;
    }
    const auto kind = valueOf(OriginMessageKindNames, json->at(0).get<std::string>());
    if (!kind) {
        return std::nullopt;
    }
    OriginMessage message {*kind, InstanceId(json->at(1).get<std::string>()),
                           static_cast<RequestKey>(json->at(2).get<std::uint64_t>()), std::nullopt};
    if (json->size() == WithOrigin) {
        if (!isName(json->at(3)) || !isName(json->at(4))) {
            return std::nullopt;
        }
        message.origin_ = StreamOrigin {ServiceId(json->at(3).get<std::string>()),
                                        SoftwareVersion(json->at(4).get<std::string>())};
    }
    const bool needsOrigin = *kind == OriginMessageKind::Record;
    return needsOrigin && !message.origin_ ? std::nullopt : std::optional(message);
}

void StreamOrigins::setMembers(const InstanceId &self, const std::vector<MeshMember> &members)
{
    self_ = self;
    others_.clear();
    otherIds_.clear();
    for (const MeshMember &member : members) {
        if (member.id_ != self) {
            others_[member.domain_].push_back({member.id_, nameHash(member.id_.value())});
            otherIds_.insert(member.id_);
        }
    }
}

std::vector<std::vector<StreamOrigins::Ranked>>
StreamOrigins::firstOfDomains(RequestKey stream, std::size_t inEach) const
{
    std::vector<std::vector<Ranked>> domains;
    domains.reserve(others_.size());
    for (const auto &[domain, members] : others_) {
        std::vector<Ranked> ranked;
        ranked.reserve(members.size());
        for (const Member &member : members) {
            ranked.push_back(
                {rendezvousWeight(member.idHash_, static_cast<std::uint64_t>(stream)), &member});
        }
        const auto count = static_cast<std::ptrdiff_t>(std::min(inEach, ranked.size()));
        std::partial_sort(ranked.begin(), ranked.begin() + count, ranked.end(), std::greater<> {});
        ranked.resize(static_cast<std::size_t>(count));
        domains.push_back(std::move(ranked));
    }
    std::sort(domains.begin(), domains.end(),
              [](const auto &left, const auto &right) { return left.front() > right.front(); });
    return domains;
}

std::vector<InstanceId> StreamOrigins::first(RequestKey stream, std::size_t domainCount,
                                             std::size_t inEach) const
{
    const auto domains = firstOfDomains(stream, inEach);
    std::vector<InstanceId> found;
    for (std::size_t index = 0; index < std::min(domains.size(), domainCount); ++index) {
        for (const Ranked &one : domains[index]) {
            found.push_back(one.member_->id_);
        }
    }
    return found;
}

std::vector<InstanceId> StreamOrigins::holders(RequestKey stream) const
{
    return others_.size() == 1 ? first(stream, 1, HolderCount) : first(stream, HolderCount, 1);
}

std::vector<InstanceId> StreamOrigins::mayKnow(RequestKey stream) const
{
    return others_.size() == 1 ? first(stream, 1, AskedInOnlyDomain)
                               : first(stream, DomainsAsked, AskedInDomain);
}

void StreamOrigins::keep(RequestKey stream, const StreamOrigin &origin, TimePoint now)
{
    while (!expiries_.empty() && (expiries_.front().first <= now || expiries_.size() >= MaxKnown)) {
        const auto found = known_.find(expiries_.front().second);
        if (found != known_.end() && found->second.expiresAt_ <= expiries_.front().first) {
            known_.erase(found);
        }
        expiries_.pop_front();
    }
    const TimePoint expiresAt = now + Retention;
    known_[stream] = {origin, expiresAt};
    expiries_.emplace_back(expiresAt, stream);
}

std::vector<MeshDatagram> StreamOrigins::add(RequestKey stream, const StreamOrigin &origin,
                                             TimePoint now)
{
    keep(stream, origin, now);
    const std::string bytes =
        encodeOriginMessage({OriginMessageKind::Record, self_, stream, origin});
    std::vector<MeshDatagram> out;
    for (const InstanceId &holder : holders(stream)) {
        out.push_back({holder, bytes});
    }
    return out;
}

std::optional<StreamOrigin> StreamOrigins::find(RequestKey stream, TimePoint now) const
{
    const auto found = known_.find(stream);
    const bool isKnown = found != known_.end() && found->second.expiresAt_ > now;
    return isKnown ? std::optional(found->second.origin_) : std::nullopt;
}

std::vector<MeshDatagram> StreamOrigins::ask(RequestKey stream)
{
    const auto [query, isNew] = queries_.try_emplace(stream);
    if (isNew) {
        query->second = mayKnow(stream);
    }
    const std::string bytes =
        encodeOriginMessage({OriginMessageKind::Query, self_, stream, std::nullopt});
    std::vector<MeshDatagram> out;
    for (const InstanceId &instance : query->second) {
        out.push_back({instance, bytes});
    }
    return out;
}

ReceiveResult StreamOrigins::onDatagram(std::string_view datagram, TimePoint now,
                                        std::vector<MeshDatagram> &out)
{
    const auto message = decodeOriginMessage(datagram);
    if (!message) {
        return ReceiveResult::Malformed;
    }
    if (!otherIds_.contains(message->sender_)) {
        return ReceiveResult::UnknownSender;
    }
    switch (message->kind_) {
    case OriginMessageKind::Record:
        keep(message->stream_, *message->origin_, now);
        break;
    case OriginMessageKind::Query:
        out.push_back({message->sender_,
                       encodeOriginMessage({OriginMessageKind::Answer, self_, message->stream_,
                                            find(message->stream_, now)})});
        break;
    case OriginMessageKind::Answer:
        onAnswer(*message, now);
        break;
    }
    return ReceiveResult::Accepted;
}

void StreamOrigins::onAnswer(const OriginMessage &message, TimePoint now)
{
    const auto query = queries_.find(message.stream_);
    if (query == queries_.end() || std::erase(query->second, message.sender_) == 0) {
        return; // Answered by another instance before, or not asked for.
    }
    if (message.origin_) {
        keep(message.stream_, *message.origin_, now);
    }
    if (message.origin_ || query->second.empty()) {
        queries_.erase(query);
        answers_.push_back({message.stream_, message.origin_});
    }
}

} // namespace almondridge::gateway
