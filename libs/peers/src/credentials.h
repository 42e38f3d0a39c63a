/**
 * Signs the messages of this instance and authenticates those of others.
 */
#pragma once

#include "exchangesettings.h"
#include "h2message.h"
#include "peerevents.h"
#include "proof.h"

namespace almondridge::peers {

/**
 * Destination of a request. The proof covers it, so that an intercepted message is not valid
 * anywhere else.
 *
 * The first request on a connection (handshake) contains only the address; its nonce is kept in
 * the replay window. Later requests also contain the incarnation that answered, the handshake's
 * nonce and their stream, a combination that is never reused. They need no replay window, which a
 * busy peer would fill, and stay invalid after a restart, which clears the window.
 */
struct Audience
{
    PeerAddress address_;
    std::uint64_t incarnation_ = 0; ///< 0 for the handshake.
    std::string handshakeNonce_ {}; ///< Nonce of the first request of the connection.
    std::int32_t stream_ = 0;
};

/** Text form used in the proof. */
std::string toString(const Audience &audience);

/** Used by the I/O thread only. */
class Credentials
{
public:
    Credentials(const ExchangeSettings &settings, PeerEvents &events);

    H2Message signRequest(std::string path, const Audience &audience, std::string body);
    H2Message signAnswer(int status, const std::string &requestNonce, std::string body);

    /** Checks proof, time and, for a handshake, replay. Valid messages advance the hybrid clock. */
    AuthenticationResult checkRequest(const H2Message &request, const Audience &audience,
                                      TimePoint now);
    bool checkAnswer(const H2Message &answer, const std::string &requestNonce);

private:
    void addSenderFields(H2Message &message);

    InstanceId instance_;
    DomainId domain_;
    MessageAuthenticator authenticator_;
    ReplayWindow replayWindow_ {MaxNonces};
    PeerEvents &events_;
};

} // namespace almondridge::peers
