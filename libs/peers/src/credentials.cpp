#include "credentials.h"

#include "heartbeat.h"

namespace almondridge::peers {

std::string toString(const Audience &audience)
{
    std::string text = toString(audience.address_);
    if (audience.incarnation_ != 0) {
        text += '#' + std::to_string(audience.incarnation_) + '#' + audience.handshakeNonce_ + '#'
                + std::to_string(audience.stream_);
    }
    return text;
}

Credentials::Credentials(const ExchangeSettings &settings, PeerEvents &events)
    : instance_(settings.instance_)
    , domain_(settings.domain_)
    , authenticator_(settings.key_)
    , events_(events)
{ }

void Credentials::addSenderFields(H2Message &message)
{
    message.instance_ = instance_.value();
    message.domain_ = domain_.value();
    message.time_ = std::to_string(wallMillis());
    message.clock_ = events_.clock();
}

H2Message Credentials::signRequest(std::string path, const Audience &audience, std::string body)
{
    H2Message request;
    request.method_ = "POST";
    request.path_ = std::move(path);
    request.authority_ = toString(audience.address_);
    request.nonce_ = randomNonce();
    request.body_ = std::move(body);
    addSenderFields(request);
    request.proof_ = authenticator_.requestProof(request, toString(audience));
    return request;
}

H2Message Credentials::signAnswer(int status, const std::string &requestNonce, std::string body)
{
    H2Message answer;
    answer.status_ = status;
    answer.body_ = std::move(body);
    addSenderFields(answer);
    answer.proof_ = authenticator_.answerProof(answer, requestNonce);
    return answer;
}

AuthenticationResult Credentials::checkRequest(const H2Message &request, const Audience &audience,
                                               TimePoint now)
{
    if (request.instance_.empty() || request.nonce_.empty()
        || !MessageAuthenticator::equalConstantTime(
            request.proof_, authenticator_.requestProof(request, toString(audience)))) {
        return AuthenticationResult::Wrong;
    }
    if (!isWithinClockSkew(request.time_, wallMillis())) {
        return AuthenticationResult::ClockSkewTooLarge;
    }
    const bool isHandshake = audience.incarnation_ == 0;
    const AuthenticationResult result =
        isHandshake ? replayWindow_.admit(request.instance_, request.nonce_, now)
                    : AuthenticationResult::Valid;
    if (result == AuthenticationResult::Valid) {
        events_.advanceClock(request.clock_);
    }
    return result;
}

bool Credentials::checkAnswer(const H2Message &answer, const std::string &requestNonce)
{
    if (answer.instance_.empty()
        || !MessageAuthenticator::equalConstantTime(
            answer.proof_, authenticator_.answerProof(answer, requestNonce))) {
        return false;
    }
    events_.advanceClock(answer.clock_);
    return true;
}

} // namespace almondridge::peers
