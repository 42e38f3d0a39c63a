#include "almondridge/async/httpclient.h"

#include "loopsupport.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::async;
using async::testing::RawServer;
using async::testing::runUntil;

namespace {

constexpr std::size_t PieceBytes = 16'384;
constexpr std::size_t MaxBodyBytes = 100'000;
/** More than the kernel holds between the two ends, and far less than an instance may use. */
constexpr std::size_t MaxSentBytes = 24'000'000;

/** What a server sends once, and what it repeats without end. */
struct EndlessAnswer
{
    std::string name_;
    std::string begin_;
    std::string repeated_;
};

const std::string Head = "HTTP/1.1 200 OK\r\n";
const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<EndlessAnswer> EndlessAnswers {
    {"no line end", "", "a"},
    {"status line", "HTTP/1.1 200 ", "a"},
    {"header fields", Head, "X: y\r\n"},
    {"one header field", Head + "X: ", "y"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"chunk size", ChunkedHead, "0"},
    {"chunk extension", ChunkedHead + "1;", "a"},
    {"trailers", ChunkedHead + "0\r\n", "X: y\r\n"},
    {"another request's answer", Head + "X-Request-Id: other\r\n\r\n", "a"},
    {"other requests' answers", "", Head + "X-Request-Id: other\r\nContent-Length: 3\r\n\r\nabc"},
    {"body until close", Head + "\r\n", "a"},
    {"body of any length", Head + "Content-Length: 999999999999\r\n\r\n", "a"},
    {"chunks", ChunkedHead, "1\r\na\r\n"},
    {"empty events", Head + "Content-Type: text/event-stream\r\n\r\n", "\n"},
};

/** A client whose server sends an answer without end for as long as the connection is open. */
struct EndlessServer
{
    explicit EndlessServer(const EndlessAnswer &answer)
    {
        while (piece_.size() < PieceBytes) {
            piece_ += answer.repeated_;
        }
        server_.emplace(loop_, [this, &answer](const RawServer::Peer &peer, const std::string &) {
            peer_ = peer;
            peer_->write(answer.begin_);
        });
    }

    void sendMore()
    {
        if (peer_ && peer_->isOpen() && peer_->unwritten() < PieceBytes) {
            peer_->write(piece_);
            sent_ += piece_.size();
        }
    }

    EventLoop loop_;
    std::string piece_;
    RawServer::Peer peer_;
    std::size_t sent_ = 0;
    std::optional<RawServer> server_;
    HttpClient client_ {loop_};
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndlessAnswerTests)

// Guards against an instance that runs out of memory: a server sends bytes without end, in a head,
// a body or an answer to nobody. The client gives each up by itself.
BOOST_AUTO_TEST_CASE(anAnswerWithoutEndIsGivenUp)
{
    for (const EndlessAnswer &answer : EndlessAnswers) {
        EndlessServer endless(answer);
        ExchangeRequest request;
        request.peer_ = "p";
        request.address_ = endless.server_->address();
        request.text_ = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
        request.requestId_ = "own";
        request.maxBodyBytes_ = MaxBodyBytes;
        request.connectBy_ = BootClock::now() + millis(5'000);
        std::optional<ExchangeResult> result;
        endless.client_.start(std::move(request),
                              gatherAnswer([&](const ExchangeResult &ended) { result = ended; }));
        runUntil(endless.loop_, [&] {
            endless.sendMore();
            return result.has_value() || endless.sent_ > MaxSentBytes;
        });
        BOOST_TEST(result.has_value(), answer.name_);
        BOOST_TEST((result && result->failure_), answer.name_);
        BOOST_TEST((!result || result->body_.size() <= MaxBodyBytes), answer.name_);
    }
}

// Guards against answers that no account knows while they are gathered: a store, a peer or an
// endpoint that sends much takes the memory that is left for clients.
BOOST_AUTO_TEST_CASE(whatIsGatheredIsInTheAccount)
{
    EventLoop serverLoop; // Whose account has the server's buffers.
    EventLoop loop;
    // Many times what is read at once, so that a connection's buffer holds far less.
    const std::string part(10 * MaxBodyBytes, 'a');
    const RawServer server(serverLoop, [&](const RawServer::Peer &peer, const std::string &) {
        peer->write(Head + "Content-Length: " + std::to_string(2 * part.size()) + "\r\n\r\n"
                    + part);
    });
    HttpClient client(loop);
    ExchangeRequest request;
    request.peer_ = "p";
    request.address_ = server.address();
    request.text_ = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    request.maxBodyBytes_ = 2 * part.size();
    request.connectBy_ = BootClock::now() + millis(5'000);
    const ExchangeId id = client.start(std::move(request), gatherAnswer([](const auto &) {}));
    const std::size_t before = loop.memory().held();
    runUntil(loop, [&] {
        serverLoop.context().restart();
        serverLoop.context().poll();
        return loop.memory().held() >= before + part.size();
    });
    client.cancel(id);
    BOOST_TEST(loop.memory().held() < part.size());
}

BOOST_AUTO_TEST_SUITE_END()
