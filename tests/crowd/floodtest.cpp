#include "crowd.h"

#include <fmt/format.h>

namespace almondridge::crowd {
namespace {

constexpr std::size_t PieceBytes = 65'536;
/** A flood that hasn't been given up by then is slowed down by its reader, or bounded. */
constexpr Duration FloodTime = millis(1'000);

/** What an endpoint answers once, and what it repeats until its connection is closed. */
struct Flood
{
    std::string name_;
    std::string begin_;
    std::string repeated_;
};

const std::string Head = "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\n";
const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string EventsHead =
    Head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<Flood> floods()
{
    const std::string line(8'000, 'x');
    return {
        {"no line end", "", line},
        {"a reason without end", "HTTP/1.1 200 ", line},
        {"short fields", Head, "a:b\r\n"},
        {"one field", Head + "X: ", line},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\nX: y\r\n\r\n"},
        {"other requests' answers", "",
         Head + "X-Request-Id: other\r\nContent-Length: 3\r\n\r\nabc"},
        {"another request's answer", Head + "X-Request-Id: other\r\n\r\n", line},
        {"a chunk's line", ChunkedHead + "1;", line},
        {"chunk extensions", ChunkedHead, "1;" + line + "\r\nc\r\n"},
        {"chunks of one byte", ChunkedHead, "1\r\nc\r\n"},
        {"trailers", ChunkedHead + "1\r\nc\r\n0\r\n", "X: y\r\n"},
        {"a body without length", Head + "\r\n", line},
        {"a body of any length", Head + "Content-Length: 999999999999\r\n\r\n", line},
        {"one event", EventsHead, fmt::format("{:x}\r\n{}\r\n", line.size(), line)},
        {"events", EventsHead, "f\r\nid: 1\ndata: x\n\n\r\n"},
        {"bytes after an answer", Head + "Content-Length: 1\r\n\r\na", line},
    };
}

RawServer::Script scriptOf(async::EventLoop &loop, const Flood &flood)
{
    auto piece = std::make_shared<std::string>();
    while (piece->size() < PieceBytes) {
        *piece += flood.repeated_;
    }
    return [&loop, piece, begin = flood.begin_](const RawServer::Peer &peer, const std::string &) {
        const auto writeNext = [weak = std::weak_ptr(peer), piece] {
            const auto open = weak.lock();
            if (open != nullptr && open->isOpen() && open->unwritten() == 0) {
                open->write(*piece);
            }
        };
        // Posted, because a write that the kernel takes at once reports that it is written.
        peer->onWritten([&loop, writeNext] { loop.post(writeNext); });
        peer->write(begin);
        loop.post(writeNext);
    };
}

/** Each flood at each of many calls at once, whose callers read their answers or not. */
void checkFloods(const std::string &kind, bool readsAnswers)
{
    Site site;
    int number = 0;
    for (const Flood &flood : floods()) {
        const std::string service = fmt::format("flood-{}", ++number);
        site.addService(service, kind, scriptOf(site.loop(), flood));
        Behaviour callers {flood.name_, requestHead(service, "Content-Length: 0\r\n"), "", 0};
        callers.readsAnswers_ = readsAnswers;
        {
            const Crowd crowd(site, callers, crowdClients());
            site.runFor(FloodTime);
        }
        BOOST_TEST(site.machine().running(), flood.name_);
        BOOST_TEST(site.peakMb() <= site.limits().memoryMb_, flood.name_);
        BOOST_TEST(site.isServed(), flood.name_);
        BOOST_TEST_MESSAGE(fmt::format("{}: {:.0f} MB, {} descriptors", flood.name_, site.peakMb(),
                                       site.peakDescriptors()));
    }
}

} // namespace

/**
 * Guards against an endpoint whose bytes without end take the memory of the instance that called
 * it, and with it all other calls. The bounds are those of the machine, as for crowds of clients.
 */
BOOST_AUTO_TEST_SUITE(Floods)

BOOST_AUTO_TEST_CASE(answersWithoutEndStayWithinTheMachine)
{
    checkFloods("unsafe", true);
}

BOOST_AUTO_TEST_CASE(streamsWithoutEndStayWithinTheMachine)
{
    checkFloods("streaming", true);
}

BOOST_AUTO_TEST_CASE(streamsThatNobodyReadsStayWithinTheMachine)
{
    checkFloods("streaming", false);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondridge::crowd
