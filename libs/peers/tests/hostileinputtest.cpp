#include "almondridge/observe/timeline.h"
#include "credentials.h"
#include "errormessage.h"
#include "h2session.h"
#include "heartbeat.h"
#include "proof.h"
#include "testpeers.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace almondridge;
using namespace almondridge::peers;
using namespace almondridge::peers::test;

namespace {

using Random = std::mt19937;

std::string randomBytes(Random &random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

/** Randomly changes, removes, repeats or truncates parts of bytes. */
std::string mutate(Random &random, std::string bytes)
{
    for (std::size_t changes = 1 + random() % 4; changes > 0 && !bytes.empty(); --changes) {
        const std::size_t at = random() % bytes.size();
        const std::size_t count = random() % 16;
        switch (random() % 4) {
        case 0:
            bytes[at] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(at, count);
            break;
        case 2:
            bytes.insert(at, bytes.substr(at, count));
            break;
        default:
            bytes.resize(at);
            break;
        }
    }
    return bytes;
}

H2Message requestTo(const std::string &path, const PeerAddress &address, std::string body)
{
    H2Message request;
    request.method_ = "POST";
    request.path_ = path;
    request.authority_ = toString(address);
    request.instance_ = "raw";
    request.domain_ = "north";
    request.time_ = std::to_string(wallMillis());
    request.nonce_ = randomNonce();
    request.body_ = std::move(body);
    return request;
}

Heartbeat rawHeartbeat()
{
    Heartbeat heartbeat;
    // Nothing listens there; the port is outside of the ephemeral range.
    heartbeat.sender_ = {InstanceId("raw"), DomainId("north"), {"127.0.0.1", 9}, 1, false};
    heartbeat.sequence_ = 1;
    heartbeat.nextWithinMillis_ = 60'000;
    return heartbeat;
}

/** A client with the shared key that can send invalid requests. */
class AuthenticatedClient
{
public:
    explicit AuthenticatedClient(std::uint16_t port)
        : address_ {"127.0.0.1", port}
        , client_(port)
    {
        const H2Message answer = exchange("/peer/heartbeat", encodeHeartbeat(rawHeartbeat()));
        incarnation_ = decodeHeartbeat(answer.body_, InstanceId(answer.instance_), DomainId())
                           .value()
                           .sender_.incarnation_;
    }

    /** Returns the answer; its status is 0 if the stream was reset. */
    H2Message exchange(const std::string &path, std::string body)
    {
        H2Message request = requestTo(path, address_, std::move(body));
        const Audience audience {address_, incarnation_, handshakeNonce_, session_.nextStream()};
        request.proof_ = MessageAuthenticator(SharedKey).requestProof(request, toString(audience));
        handshakeNonce_ = handshakeNonce_.empty() ? request.nonce_ : handshakeNonce_;
        session_.request(std::move(request));
        std::vector<H2Event> events;
        std::size_t taken = 0;
        flush();
        client_.receiveUntil([&](const std::string &bytes) {
            session_.receive(std::string_view(bytes).substr(taken));
            taken = bytes.size();
            flush();
            events = session_.takeEvents();
            return !events.empty();
        });
        return events.empty() ? H2Message() : events.front().message_;
    }

private:
    void flush()
    {
        std::string output;
        do {
            output.clear();
            session_.takeOutput(output, 1 << 16);
            client_.send(output);
        } while (!output.empty());
    }

    PeerAddress address_;
    RawClient client_;
    H2Session session_ {H2Role::Client, 1 << 20};
    std::uint64_t incarnation_ = 0;
    std::string handshakeNonce_;
};

/** The bytes of a client that sends an authenticated heartbeat on a new connection. */
std::string validStream(const PeerAddress &address)
{
    H2Session session(H2Role::Client, 1 << 20);
    H2Message request = requestTo("/peer/heartbeat", address, encodeHeartbeat(rawHeartbeat()));
    request.proof_ = MessageAuthenticator(SharedKey).requestProof(request, toString(address));
    session.request(std::move(request));
    std::string bytes;
    session.takeOutput(bytes, 1 << 16);
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(HostileInput)

BOOST_AUTO_TEST_CASE(sessionsSurviveArbitraryBytes)
{
    Random random(1);
    const std::string valid = validStream({"127.0.0.1", 9});
    for (int round = 0; round < 2'000; ++round) {
        H2Session server(H2Role::Server, 1'000);
        H2Session client(H2Role::Client, 1'000);
        client.request(requestTo("/peer/echo", {"127.0.0.1", 9}, "body"));
        const std::string bytes =
            round % 4 == 0 ? randomBytes(random, random() % 300) : mutate(random, valid);
        std::string output;
        server.receive(bytes);
        for (const H2Event &event : server.takeEvents()) {
            H2Message answer;
            answer.status_ = StatusOk;
            server.answer(event.stream_, answer);
        }
        server.takeOutput(output, 1 << 16);
        client.receive(mutate(random, output));
        client.takeEvents();
    }
    H2Session server(H2Role::Server, 1'000);
    BOOST_TEST(server.receive(valid));
    BOOST_TEST(server.takeEvents().size() == 1U);
}

BOOST_AUTO_TEST_CASE(arbitraryBytesAreDecodedOrRejectedAsHeartbeats)
{
    Random random(2);
    Heartbeat heartbeat = rawHeartbeat();
    heartbeat.members_ = {heartbeat.sender_, heartbeat.sender_};
    heartbeat.digest_ = {{"revision", 7}, {"spare", {{"model", 0.5}}}};
    const std::string valid = encodeHeartbeat(heartbeat);
    int refused = 0;
    for (int round = 0; round < 20'000; ++round) {
        const std::string bytes = mutate(random, valid);
        const auto decoded =
            capture([&] { return decodeHeartbeat(bytes, InstanceId("raw"), DomainId("north")); });
        refused += decoded.index() == 1 ? 1 : 0;
    }
    BOOST_TEST(refused > 10'000);
    BOOST_TEST(refused < 20'000);
}

// Guards against crashes and hangs when a scanner or a faulty program sends arbitrary bytes to the
// peer port and they are used before they are validated.
BOOST_AUTO_TEST_CASE(exchangeKeepsServingAfterArbitraryBytes)
{
    Random random(3);
    const auto first = launch(builder("a"));
    const auto second = launch(builder("b"), {addressOf(*first)});
    BOOST_REQUIRE(eventually([&] { return seesAlive(*first, "b") && seesAlive(*second, "a"); }));
    for (int round = 0; round < 300; ++round) {
        RawClient client(first->port());
        client.send(round % 4 == 0 ? randomBytes(random, random() % 2'000)
                                   : mutate(random, validStream(addressOf(*first))));
    }
    BOOST_TEST(sendRequest(*second, "a", "echo", 1).index() == 0U);
    BOOST_TEST(seesAlive(*first, "b"));
}

BOOST_AUTO_TEST_CASE(invalidOrTooLargeBodiesAreRejectedAndTheConnectionStaysUsable)
{
    const auto exchange = launch(builder("a").heartbeat(millis(500), millis(30'000)));
    AuthenticatedClient client(exchange->port());
    BOOST_TEST(client.exchange("/peer/echo", "\xff\xff").status_ == 400);
    BOOST_TEST(client.exchange("/peer/echo", std::string(100'000, '\x81')).status_ == 400);
    BOOST_TEST(client.exchange("/peer/echo", "").status_ == 400);
    BOOST_TEST(client.exchange("/peer/heartbeat", encodeCbor({1, 2, 3})).status_ == 400);
    BOOST_TEST(client.exchange("/peer/other", encodeCbor(1)).status_ == 404);
    BOOST_TEST(client.exchange("/elsewhere", encodeCbor(1)).status_ == 404);
    BOOST_TEST(client.exchange("/peer/echo", std::string(5 << 20, '\0')).status_ == 0);
    BOOST_TEST(client.exchange("/peer/echo", encodeCbor(1)).status_ == StatusOk);
}

BOOST_AUTO_TEST_CASE(aRequestBeforeAHeartbeatIsRefused)
{
    const auto exchange = launch(builder("a"));
    const PeerAddress address = addressOf(*exchange);
    H2Message request = requestTo("/peer/echo", address, encodeCbor(1));
    request.proof_ = MessageAuthenticator(SharedKey).requestProof(request, toString(address));
    H2Session session(H2Role::Client, 1 << 20);
    session.request(std::move(request));
    std::string bytes;
    session.takeOutput(bytes, 1 << 16);
    RawClient client(exchange->port());
    client.send(bytes);
    session.receive(client.receiveUntil([](const std::string &) { return false; }));
    const auto events = session.takeEvents();
    BOOST_REQUIRE(!events.empty());
    BOOST_TEST(events.front().message_.status_ == StatusUnauthorized);
}

// Guards against accepting state from a program that is not an instance, but listens at the address
// of one that was replaced: answers must be authenticated too.
BOOST_AUTO_TEST_CASE(serverWithoutTheKeyIsRejected)
{
    std::uint16_t port = 0;
    const OwnedDescriptor listener = listenOn({"127.0.0.1", 0}, port);
    observe::Timeline events(InstanceId("a"), DomainId("north"), 100);
    const auto exchange = launch(builder("a").timeline(events), {{"127.0.0.1", port}});
    OwnedDescriptor socket;
    PeerAddress remote;
    BOOST_REQUIRE(eventually([&] {
        socket = acceptFrom(listener.value(), Timeout, remote);
        return socket.valid();
    }));
    Connection server(std::move(socket), H2Role::Server, 1 << 20, BootClock::now());
    BOOST_TEST(eventually([&] {
        server.receive(BootClock::now());
        for (const H2Event &event : server.session().takeEvents()) {
            H2Message answer = event.message_;
            answer.status_ = StatusOk;
            server.session().answer(event.stream_, std::move(answer));
        }
        server.flush(BootClock::now());
        const auto all = events.events();
        return std::any_of(all.begin(), all.end(), [](const observe::Event &event) {
            return event.name_ == "peer.refused-by"
                   && event.detail_.find("proof is wrong") != std::string::npos;
        });
    }));
    BOOST_TEST(exchange->members().empty());
}

// Guards against running out of file descriptors when scanners or failed machines leave connections
// open without sending a complete first message.
BOOST_AUTO_TEST_CASE(halfOpenConnectionsAreClosedByADeadline)
{
    const auto exchange = launch(builder("a").heartbeat(Interval, millis(200)));
    RawClient silentClient(exchange->port());
    RawClient partialClient(exchange->port());
    partialClient.send(validStream(addressOf(*exchange)).substr(0, 40));
    BOOST_TEST(silentClient.closedByPeer());
    BOOST_TEST(partialClient.closedByPeer());
}

BOOST_AUTO_TEST_CASE(unauthenticatedConnectionsAreLimitedAndTheOldestIsClosed)
{
    const Duration hour = std::chrono::hours(1);
    const auto exchange = launch(builder("a").heartbeat(hour, 3 * hour));
    constexpr int Unproved = 80;
    std::vector<std::unique_ptr<RawClient>> clients;
    clients.reserve(Unproved);
    for (int index = 0; index < Unproved; ++index) {
        clients.push_back(std::make_unique<RawClient>(exchange->port()));
    }
    BOOST_TEST(clients.front()->closedByPeer());
    // A client with the key is still accepted.
    AuthenticatedClient peer(exchange->port());
    BOOST_TEST(peer.exchange("/peer/echo", encodeCbor(1)).status_ == StatusOk);
}

BOOST_AUTO_TEST_SUITE_END()
