#include "behaviours.h"

#include <csignal>
#include <fmt/format.h>

namespace almondridge::crowd {
namespace {

/** Clients that stay get this much longer, so that their messages are buffered or refused. */
constexpr Duration StayTime = millis(700);
constexpr Duration MostTime = millis(3'000);

/** Lets the crowd send until it is done or its time is over. */
void play(Site &site, const Crowd &crowd)
{
    const TimePoint until = BootClock::now() + MostTime;
    site.runUntil([&] { return crowd.hasSentAll() || BootClock::now() >= until; });
    site.runFor(StayTime);
}

/** The process lives, stays within its machine, and answers an ordinary request. */
void checkMachine(Site &site, int number = 0)
{
    BOOST_TEST(site.machine(number).running());
    BOOST_TEST(site.peakMb(number) <= site.limits().memoryMb_);
    BOOST_TEST(site.peakDescriptors(number) <= site.limits().descriptors_);
    BOOST_TEST(site.isServed(number));
}

void checkCrowds(const std::vector<Behaviour> &behaviours, Port port)
{
    for (const Behaviour &behaviour : behaviours) {
        BOOST_TEST_CONTEXT(behaviour.name_)
        {
            Site site;
            const Crowd crowd(site, behaviour, crowdClients(), port);
            play(site, crowd);
            checkMachine(site);
            BOOST_TEST_MESSAGE(fmt::format("{}: {:.0f} MB, {} descriptors, 503: {}, closed: {}",
                                           behaviour.name_, site.peakMb(), site.peakDescriptors(),
                                           crowd.answered(503), crowd.closed()));
        }
    }
}

Behaviour find(const std::vector<Behaviour> &behaviours, std::string_view name)
{
    return *std::find_if(behaviours.begin(), behaviours.end(),
                         [&](const Behaviour &one) { return one.name_ == name; });
}

} // namespace

/**
 * The bounds are those of the machine in MachineLimits and hold for the plain build: sanitizers
 * multiply the memory of a process.
 */
BOOST_AUTO_TEST_SUITE(Crowds)

/** Guards against messages that grow without end while they are incomplete. */
BOOST_AUTO_TEST_CASE(unfinishedMessagesStayWithinTheMachine)
{
    checkCrowds(unfinishedMessages(machineLimits()), Port::Callers);
}

/** Guards against many requests that are inside the limits one by one. */
BOOST_AUTO_TEST_CASE(wholeMessagesStayWithinTheMachine)
{
    checkCrowds(wholeMessages(machineLimits()), Port::Callers);
}

/** Guards against a crowd behind another instance, which forwards all of it. */
BOOST_AUTO_TEST_CASE(requestsOfPeersStayWithinTheMachine)
{
    const auto whole = wholeMessages(machineLimits());
    const auto unfinished = unfinishedMessages(machineLimits());
    checkCrowds({find(whole, "bodies with a length"), find(whole, "bodies that wait for an answer"),
                 find(unfinished, "one large chunk, short of its end"),
                 find(unfinished, "trailers without end, short lines")},
                Port::Requests);
}

/** Guards against crowds at the addresses that aren't for callers. */
BOOST_AUTO_TEST_CASE(theOtherAddressesStayWithinTheMachine)
{
    const auto whole = wholeMessages(machineLimits());
    const auto unfinished = unfinishedMessages(machineLimits());
    for (const Port port : {Port::Messages, Port::Ready}) {
        checkCrowds({find(unfinished, "one large chunk, short of its end"),
                     find(unfinished, "trailers without end, long lines"),
                     find(whole, "bodies with a length"),
                     find(whole, "pipelined requests, answers unread")},
                    port);
    }
}

/** Guards against connections without a request that take all descriptors. */
BOOST_AUTO_TEST_CASE(idleConnectionsLeaveDescriptorsFree)
{
    for (const Port port : {Port::Callers, Port::Requests, Port::Messages, Port::Ready}) {
        Site site;
        const Crowd idle(site, {"idle", "", "", 0}, 400, port);
        site.runFor(StayTime);
        checkMachine(site);
        const Crowd begun(site, {"begun", "GET /", "", 0}, 400, port);
        site.runFor(StayTime);
        checkMachine(site);
    }
}

/** Guards against calls that take all descriptors, so that none is left for another endpoint. */
BOOST_AUTO_TEST_CASE(openCallsLeaveDescriptorsFree)
{
    Site site;
    const Crowd waiting(site, {"waiting", requestHead(EndpointManner::Silent, "", "GET"), "", 0},
                        400);
    site.runFor(StayTime);
    BOOST_TEST(site.machine().running());
    BOOST_TEST(site.peakDescriptors() <= site.limits().descriptors_);
    BOOST_TEST(site.peakMb() <= site.limits().memoryMb_);
}

/** Guards against memory that the process keeps after a crowd has gone. */
BOOST_AUTO_TEST_CASE(memoryComesBack)
{
    Site site;
    site.runFor(StayTime);
    const double calm = site.machine().residentMb();
    const auto whole = wholeMessages(machineLimits());
    const auto unfinished = unfinishedMessages(machineLimits());
    for (const Behaviour &behaviour :
         {find(whole, "bodies in one chunk"), find(unfinished, "chunks of one byte"),
          find(unfinished, "announced length, short of its end"),
          find(whole, "many header fields, waiting")}) {
        const Crowd crowd(site, behaviour, crowdClients());
        play(site, crowd);
    }
    BOOST_TEST(site.runUntil(
        [&] { return site.machine().residentMb() <= calm + site.limits().nearCalmMb_; }));
    checkMachine(site);
}

/** Guards against a flood of requests that becomes a flood of log lines. */
BOOST_AUTO_TEST_CASE(refusedClientsDoNotFloodTheLog)
{
    constexpr std::size_t MostLogBytes = 1'048'576;
    Site site;
    const std::string longTarget(12'000, 't');
    const std::string unrouted =
        "GET /" + longTarget + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n\r\n";
    const Crowd crowd(site, {"no route", unrouted, unrouted, 4'000'000}, crowdClients());
    play(site, crowd);
    checkMachine(site);
    BOOST_TEST(site.machine().logBytes() <= MostLogBytes);
}

/** Guards against bounds that refuse a single request inside the limits of the pages. */
BOOST_AUTO_TEST_CASE(aRequestAtTheLimitsIsServedInAnyFraming)
{
    MachineLimits smallest;
    smallest.memoryMb_ = 120;
    smallest.descriptors_ = 3'075;
    smallest.bodyBytes_ = 4'194'304;
    Site site(smallest);
    const std::string body(smallest.bodyBytes_, 'b');
    const std::string chunked =
        requestHead(EndpointManner::Answers, "Transfer-Encoding: chunked\r\n");
    std::vector<std::string> requests {
        requestHead(EndpointManner::Answers, fmt::format("Content-Length: {}\r\n", body.size()))
            + body,
        chunked + fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body),
        chunked + fmt::format("{:x};a=b\r\n{}\r\n0\r\nT: t\r\n\r\n", body.size(), body),
    };
    for (const std::size_t size : {16U, 1'000U, 65'536U}) {
        std::string text = chunked;
        for (std::size_t at = 0; at < body.size(); at += size) {
            const std::string_view part = std::string_view(body).substr(at, size);
            text += fmt::format("{:x}\r\n{}\r\n", part.size(), part);
        }
        requests.push_back(text + "0\r\n\r\n");
    }
    for (const std::string &request : requests) {
        BOOST_TEST(site.answerTo(request).starts_with("HTTP/1.1 200"));
    }
    checkMachine(site);
}

/** Guards against a crowd at one instance that ends another. */
BOOST_AUTO_TEST_CASE(crowdsAtSeveralInstances)
{
    const auto whole = wholeMessages(machineLimits());
    Site site(machineLimits(), 3);
    std::list<Crowd> crowds;
    for (int number = 0; number < site.machines(); ++number) {
        crowds.emplace_back(site, find(whole, "bodies that wait for an answer"), crowdClients(),
                            Port::Callers, number);
        crowds.emplace_back(site, find(whole, "bodies with a length"), crowdClients(),
                            Port::Requests, number);
    }
    play(site, crowds.front());
    for (int number = 0; number < site.machines(); ++number) {
        checkMachine(site, number);
    }
}

/** Guards against a stop that hangs on clients that never finish their requests. */
BOOST_AUTO_TEST_CASE(aStopBesideACrowdEnds)
{
    Site site;
    const auto unfinished = unfinishedMessages(machineLimits());
    const Crowd slow(site, find(unfinished, "announced length, short of its end"), crowdClients());
    const Crowd unread(site, find(wholeMessages(machineLimits()), "long answers unread"), 20);
    play(site, slow);
    site.machine().signal(SIGTERM);
    BOOST_TEST(site.runUntil([&] { return !site.machine().running(); }));
    BOOST_TEST(site.peakMb() <= site.limits().memoryMb_);
}

/** Guards against a request that ends without an answer because the grace is short. */
BOOST_AUTO_TEST_CASE(aTakenRequestIsAnsweredBeforeTheEndOfAShortGrace)
{
    MachineLimits limits = machineLimits();
    limits.graceSeconds_ = 2;
    Site site(limits);
    const Crowd waiting(site, {"waiting", requestHead(EndpointManner::Silent, "", "GET"), "", 0},
                        5);
    site.runFor(StayTime);
    site.machine().signal(SIGTERM);
    site.runFor(millis(1'000LL * limits.graceSeconds_));
    site.machine().signal(SIGKILL);
    BOOST_TEST(waiting.answered(502) == 5);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondridge::crowd
