#include "peerrequest.h"

#include <charconv>

namespace almondridge::gateway {
namespace {

constexpr std::string_view ConfigHeader = "X-Almondridge-Config";
constexpr std::string_view RefusalHeader = "X-Almondridge-Refused";

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
    std::erase_if(head.headers_, [](const net::Header &header) {
        return net::equalWithoutCase(header.name_, ConfigHeader);
    });
    return version;
}

net::Header refusalHeader(PeerRefusal refusal)
{
    return {std::string(RefusalHeader), std::string(nameOf(PeerRefusalNames, refusal))};
}

std::optional<PeerRefusal> readRefusal(const net::Headers &headers)
{
    return valueOf(PeerRefusalNames, net::headerValue(headers, RefusalHeader));
}

} // namespace almondridge::gateway
