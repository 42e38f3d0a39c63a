#include "proof.h"
#include "credentials.h"
#include "heartbeat.h"

#include <boost/test/unit_test.hpp>
#include <functional>

using namespace almondridge;
using namespace almondridge::peers;

namespace {

H2Message sample()
{
    H2Message message;
    message.method_ = "POST";
    message.path_ = "/peer/records";
    message.instance_ = "a";
    message.domain_ = "north";
    message.time_ = "1000000";
    message.clock_ = "1000000.0";
    message.nonce_ = "0123456789abcdef";
    message.body_ = "body";
    return message;
}

/** CBOR of a number nested in depth arrays. */
std::string nestedCbor(std::size_t depth)
{
    std::string bytes(depth, '\x81');
    bytes.push_back('\x01');
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Proof)

BOOST_AUTO_TEST_CASE(aProofCoversEveryFieldAndTheKey)
{
    const MessageAuthenticator prover("sixteen characters");
    const std::string proof = prover.requestProof(sample(), "here");
    BOOST_TEST(proof.size() == 64U);
    BOOST_TEST(
        MessageAuthenticator::equalConstantTime(proof, prover.requestProof(sample(), "here")));
    BOOST_TEST(proof != prover.requestProof(sample(), "there"));
    BOOST_TEST(proof != MessageAuthenticator("another key of 16").requestProof(sample(), "here"));
    for (auto field :
         {&H2Message::method_, &H2Message::path_, &H2Message::instance_, &H2Message::domain_,
          &H2Message::time_, &H2Message::clock_, &H2Message::nonce_, &H2Message::body_}) {
        H2Message changed = sample();
        changed.*field += "x";
        BOOST_TEST(proof != prover.requestProof(changed, "here"));
    }
    H2Message moved = sample();
    moved.instance_ = "an";
    moved.domain_ = "orth";
    BOOST_TEST(proof != prover.requestProof(moved, "here"));
}

BOOST_AUTO_TEST_CASE(answerProofIsValidOnlyForItsRequest)
{
    const MessageAuthenticator prover("sixteen characters");
    H2Message answer = sample();
    answer.status_ = 200;
    const std::string proof = prover.answerProof(answer, "nonce");
    BOOST_TEST(proof != prover.answerProof(answer, "other nonce"));
    answer.status_ = 404;
    BOOST_TEST(proof != prover.answerProof(answer, "nonce"));
}

BOOST_AUTO_TEST_CASE(nonceIsAcceptedOnceUntilItsMessageExpires)
{
    const TimePoint now(std::chrono::hours(1));
    ReplayWindow window(2);
    BOOST_TEST((window.admit("a", "1", now) == AuthenticationResult::Valid));
    BOOST_TEST((window.admit("a", "1", now) == AuthenticationResult::Replayed));
    BOOST_TEST((window.admit("b", "1", now) == AuthenticationResult::Valid));
    // When full, rejecting new messages is safe, evicting old nonces is not.
    BOOST_TEST((window.admit("c", "1", now) == AuthenticationResult::Full));
    const TimePoint later = now + 2 * MaxClockSkew;
    BOOST_TEST((window.admit("c", "1", later) == AuthenticationResult::Valid));
    BOOST_TEST(window.size() == 1U);
}

// Guards against a message taking effect twice or at the wrong instance when an attacker on the
// network replays it later, elsewhere or after a restart. The proof must cover the destination.
BOOST_AUTO_TEST_CASE(requestIsValidForOneStreamOfOneConnectionToOneIncarnation)
{
    ExchangeSettings settings;
    settings.instance_ = InstanceId("a");
    settings.key_ = "sixteen characters";
    PeerEvents events(nullptr);
    Credentials credentials(settings, events);
    const Audience destination {{"127.0.0.1", 7}, 5, "greeting", 3};
    const H2Message request = credentials.signRequest("/peer/echo", destination, "body");
    const auto resultFor = [&](const Audience &audience) {
        return credentials.checkRequest(request, audience, BootClock::now());
    };
    BOOST_TEST((resultFor(destination) == AuthenticationResult::Valid));
    BOOST_TEST((resultFor({{"127.0.0.1", 8}, 5, "greeting", 3}) == AuthenticationResult::Wrong));
    BOOST_TEST((resultFor({{"127.0.0.1", 7}, 6, "greeting", 3}) == AuthenticationResult::Wrong));
    BOOST_TEST((resultFor({{"127.0.0.1", 7}, 5, "another", 3}) == AuthenticationResult::Wrong));
    BOOST_TEST((resultFor({{"127.0.0.1", 7}, 5, "greeting", 5}) == AuthenticationResult::Wrong));
    BOOST_TEST((resultFor({{"127.0.0.1", 7}, 0, {}, 0}) == AuthenticationResult::Wrong));
    const Audience address {{"127.0.0.1", 7}, 0, {}, 1};
    const H2Message handshake = credentials.signRequest("/peer/heartbeat", address, "body");
    const TimePoint now = BootClock::now();
    BOOST_TEST((credentials.checkRequest(handshake, address, now) == AuthenticationResult::Valid));
    BOOST_TEST(
        (credentials.checkRequest(handshake, address, now) == AuthenticationResult::Replayed));
}

BOOST_AUTO_TEST_CASE(skewedOrMalformedTimesAreRejected)
{
    BOOST_TEST(isWithinClockSkew("1000000", 1'030'000));
    BOOST_TEST(isWithinClockSkew("1000000", 970'000));
    for (const char *time :
         {"969999", "1030001", "", "x", "1000000x", "-1000000", "99999999999999999999"}) {
        BOOST_TEST(!isWithinClockSkew(time, 1'000'000));
    }
}

BOOST_AUTO_TEST_CASE(heartbeatSurvivesEncodingAndDecoding)
{
    Heartbeat sent;
    const PeerAddress address {"127.0.0.1", 7};
    sent.sender_ = {InstanceId("a"), DomainId("north"), address, 12, true};
    sent.sequence_ = 3;
    sent.nextWithinMillis_ = 750;
    sent.ownDomainHash_ = ~0ULL;
    sent.members_.push_back({InstanceId("b"), DomainId("south"), address, 4, false});
    sent.digest_ = {{"revision", 9}};
    const Heartbeat got =
        decodeHeartbeat(encodeHeartbeat(sent), InstanceId("a"), DomainId("north")).value();
    BOOST_TEST(got.sender_.incarnation_ == 12U);
    BOOST_TEST(got.sender_.leaving_);
    BOOST_TEST(got.sequence_ == 3U);
    BOOST_TEST(got.nextWithinMillis_ == 750);
    BOOST_TEST(got.ownDomainHash_ == ~0ULL);
    BOOST_TEST(got.members_.at(0).instance_.value() == "b");
    BOOST_TEST((got.members_.at(0).address_ == address));
    BOOST_TEST(got.digest_ == sent.digest_);
}

// Guards against a stack overflow: the library's CBOR parser is recursive without a depth limit,
// so a body of four million "array of one element" bytes would crash it.
BOOST_AUTO_TEST_CASE(deeplyNestedBodiesAreRefused)
{
    BOOST_TEST(!decodeCbor(std::string(MaxBodyBytes, '\x81')).has_value());
    BOOST_TEST(!decodeCbor(std::string(MaxBodyBytes, '\xa1')).has_value());
    // Complete values, so that only the depth decides.
    BOOST_TEST(!decodeCbor(nestedCbor(100)).has_value());
    BOOST_TEST(decodeCbor(nestedCbor(10)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
