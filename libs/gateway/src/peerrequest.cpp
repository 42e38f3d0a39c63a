#include "peerrequest.h"

#include <charconv>

namespace almondridge::gateway {
namespace {

constexpr std::string_view ConfigHeader = "X-Almondridge-Config";
constexpr std::string_view RefusalHeader = "X-Almondridge-Refused";
/** "VERSION SERVICE"; a version has no spaces. */
constexpr std::string_view OriginHeader = "X-Almondridge-Origin";

void removeHeader(net::Headers &headers, std::string_view name)
{
    std::erase_if(headers, [name](const net::Header &header) {
        return net::equalWithoutCase(header.name_, name);
    });
}

} // namespace

void addPeerHeaders(async::RequestHead &head, std::uint64_t configVersion,
                    const Credentials &credentials)
{
    head.headers_.push_back({std::string(ConfigHeader), std::to_string(configVersion)});
    if (!credentials.header_.empty()) {
        head.headers_.push_back({"Authorization", credentials.header_});
    }
}

std::uint64_t takeConfigVersion(async::RequestHead &head)
{
    const std::string_view text = net::headerValue(head.headers_, ConfigHeader);
    std::uint64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    removeHeader(head.headers_, ConfigHeader);
    return version;
}

net::Header originHeader(const StreamOrigin &origin)
{
    return {std::string(OriginHeader), origin.version_.value() + ' ' + origin.service_.value()};
}

std::optional<StreamOrigin> takeOrigin(net::Headers &headers)
{
    const std::string text(net::headerValue(headers, OriginHeader));
    removeHeader(headers, OriginHeader);
    const std::size_t space = text.find(' ');
    if (space == std::string::npos || space == 0) {
        return std::nullopt;
    }
    return StreamOrigin {ServiceId(text.substr(space + 1)), SoftwareVersion(text.substr(0, space))};
}

net::Header refusalHeader(PeerRefusal refusal)
{
    return {std::string(RefusalHeader), std::string(nameOf(PeerRefusalNames, refusal))};
}

PeerAnswerInfo takePeerAnswerInfo(net::Headers &headers)
{
    const auto refusal = valueOf(PeerRefusalNames, net::headerValue(headers, RefusalHeader));
    removeHeader(headers, RefusalHeader);
    return {takeOrigin(headers), refusal};
}

} // namespace almondridge::gateway
