/**
 * What instances add to requests that they forward to each other, and to the answers of these.
 */
#pragma once

#include "almondridge/async/parser.h"
#include "almondridge/base/enumnames.h"
#include "almondridge/gateway/credentials.h"
#include "almondridge/gateway/streamorigin.h"

#include <array>
#include <cstdint>
#include <optional>

namespace almondridge::gateway {

/** Why an instance refuses a forwarded request, which it didn't send to any endpoint. */
enum class PeerRefusal {
    CutOff,   ///< It reaches no endpoint of the service either.
    Busy,     ///< It has as many forwarded requests as it takes, or is stopping.
    Outdated, ///< The sender knows a newer configuration.
    Final,    ///< For the caller: another instance would refuse it as well.
};

inline constexpr std::array<EnumName<PeerRefusal>, 4> PeerRefusalNames {{
    {PeerRefusal::CutOff, "cut-off"},
    {PeerRefusal::Busy, "busy"},
    {PeerRefusal::Outdated, "outdated"},
    {PeerRefusal::Final, "final"},
}};

/** Adds what the peer needs: the sender's configuration, and the caller's credentials. */
void addPeerHeaders(async::RequestHead &head, std::uint64_t configVersion,
                    const Credentials &credentials);
/** Removes the version from the head; 0: none. */
std::uint64_t takeConfigVersion(async::RequestHead &head);

/**
 * Tells the origin of the stream: with a request, that the peer may go on with it only there; with
 * an answer, what began it at the peer.
 */
net::Header originHeader(const StreamOrigin &origin);
/** Removes the origin from the headers; nullopt: none. */
std::optional<StreamOrigin> takeOrigin(net::Headers &headers);

net::Header refusalHeader(PeerRefusal refusal);

/** What an instance adds to an answer for the instance that forwarded the request. */
struct PeerAnswerInfo
{
    std::optional<StreamOrigin> origin_ {};
    std::optional<PeerRefusal> refusal_ {};
};

/**
 * Removes it from the headers, also from those of an endpoint's answer, which must not speak to
 * another instance as if this one did.
 */
PeerAnswerInfo takePeerAnswerInfo(net::Headers &headers);

} // namespace almondridge::gateway
