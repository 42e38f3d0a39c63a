#include "heartbeat.h"

#include <arpa/inet.h>
#include <charconv>

namespace almondridge::peers {
namespace {

using nlohmann::json;

constexpr int MaxDepth = 64;
constexpr std::size_t MaxListedMembers = 4'096;
constexpr std::size_t HeartbeatFields = 10;
constexpr std::size_t IdentityFields = 5;

/**
 * SAX handler that stops parsing at MaxDepth. The library's CBOR parser is recursive, so a body
 * of a million "array of one element" bytes would overflow the stack of the reading thread.
 */
struct DepthCheck
{
    int depth_ = 0;

    bool enter() noexcept { return ++depth_ <= MaxDepth; }
    bool leave() noexcept
    {
        --depth_;
        return true;
    }

    // The library's SAX interface requires these names.
    // NOLINTBEGIN(readability-identifier-naming)
    bool null() noexcept { return true; }
    bool boolean(bool) noexcept { return true; }
    bool number_integer(json::number_integer_t) noexcept { return true; }
    bool number_unsigned(json::number_unsigned_t) noexcept { return true; }
    bool number_float(json::number_float_t, const json::string_t &) noexcept { return true; }
    bool string(json::string_t &) noexcept { return true; }
    bool binary(json::binary_t &) noexcept { return true; }
    bool start_object(std::size_t) noexcept { return enter(); }
    bool key(json::string_t &) noexcept { return true; }
    bool end_object() noexcept { return leave(); }
    bool start_array(std::size_t) noexcept { return enter(); }
    bool end_array() noexcept { return leave(); }
    bool parse_error(std::size_t, const std::string &, const json::exception &) noexcept
    {
        return false;
    }
    // NOLINTEND(readability-identifier-naming)
};

json toJson(const PeerIdentity &identity)
{
    return json::array({identity.instance_.value(), identity.domain_.value(),
                        toString(identity.address_), identity.incarnation_, identity.leaving_});
}

std::optional<PeerIdentity> identityFrom(const json &value)
{
    const bool wellFormed = value.is_array() && value.size() >= IdentityFields
                            && value[0].is_string() && value[1].is_string() && value[2].is_string()
                            && value[3].is_number_unsigned() && value[4].is_boolean();
    if (!wellFormed) {
        return std::nullopt;
    }
    const auto address = addressFrom(value[2].get_ref<const std::string &>());
    PeerIdentity identity {InstanceId(value[0].get<std::string>()),
                           DomainId(value[1].get<std::string>()), address.value_or(PeerAddress {}),
                           value[3].get<std::uint64_t>(), value[4].get<bool>()};
    if (!address || identity.instance_.empty()) {
        return std::nullopt;
    }
    return identity;
}

boost::leaf::error_id malformedHeartbeat()
{
    return fail(ErrorKind::InvalidInput, "not a heartbeat",
                "run the same version of almondridge on all entry instances");
}

bool hasHeartbeatShape(const json &value)
{
    if (!value.is_array() || value.size() < HeartbeatFields) {
        return false;
    }
    const bool numbers = value[0].is_number_unsigned() && value[3].is_number_unsigned()
                         && value[4].is_number_unsigned() && value[5].is_number_unsigned()
                         && value[6].is_number_unsigned() && value[7].is_number_unsigned();
    return numbers && value[1].is_string() && value[2].is_boolean() && value[8].is_array()
           && value[8].size() <= MaxListedMembers;
}

} // namespace

std::string encodeCbor(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

std::optional<json> decodeCbor(std::string_view bytes)
{
    DepthCheck check;
    if (!json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::cbor)) {
        return std::nullopt;
    }
    json value = json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (value.is_discarded()) {
        return std::nullopt;
    }
    return value;
}

std::string encodeHeartbeat(const Heartbeat &heartbeat)
{
    json members = json::array();
    for (const PeerIdentity &member : heartbeat.members_) {
        members.push_back(toJson(member));
    }
    const PeerIdentity &sender = heartbeat.sender_;
    const auto within = static_cast<std::uint64_t>(heartbeat.nextWithinMillis_);
    return encodeCbor(json::array({sender.incarnation_, toString(sender.address_), sender.leaving_,
                                   heartbeat.sequence_, within, heartbeat.ownDomainHash_,
                                   heartbeat.receiverDomainHash_, heartbeat.fleetHash_,
                                   std::move(members), heartbeat.digest_}));
}

Result<Heartbeat> decodeHeartbeat(std::string_view bytes, const InstanceId &sender,
                                  const DomainId &domain)
{
    std::optional<json> value = decodeCbor(bytes);
    if (!value || !hasHeartbeatShape(*value)) {
        return malformedHeartbeat();
    }
    json &fields = *value;
    const auto address = addressFrom(fields[1].get_ref<const std::string &>());
    if (!address) {
        return malformedHeartbeat();
    }
    constexpr std::uint64_t MaxWithinMillis = 3'600'000;
    Heartbeat heartbeat;
    heartbeat.sender_ = {sender, domain, *address, fields[0].get<std::uint64_t>(),
                         fields[2].get<bool>()};
    heartbeat.sequence_ = fields[3].get<std::uint64_t>();
    heartbeat.nextWithinMillis_ =
        static_cast<std::int64_t>(std::min(fields[4].get<std::uint64_t>(), MaxWithinMillis));
    heartbeat.ownDomainHash_ = fields[5].get<std::uint64_t>();
    heartbeat.receiverDomainHash_ = fields[6].get<std::uint64_t>();
    heartbeat.fleetHash_ = fields[7].get<std::uint64_t>();
    for (const json &member : fields[8]) {
        std::optional<PeerIdentity> identity = identityFrom(member);
        if (!identity) {
            return malformedHeartbeat();
        }
        heartbeat.members_.push_back(std::move(*identity));
    }
    heartbeat.digest_ = std::move(fields[9]);
    return heartbeat;
}

std::string toString(const PeerAddress &address)
{
    return address.ip_ + ":" + std::to_string(address.port_);
}

std::optional<PeerAddress> addressFrom(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    PeerAddress address;
    address.ip_ = text.substr(0, colon);
    in_addr parsed {};
    const char *const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, address.port_);
    const bool valid = inet_pton(AF_INET, address.ip_.c_str(), &parsed) == 1 && error == std::errc()
                       && stop == end && address.port_ != 0;
    return valid ? std::optional(address) : std::nullopt;
}

} // namespace almondridge::peers
