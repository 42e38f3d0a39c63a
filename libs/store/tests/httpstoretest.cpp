#include "almondridge/store/httpstore.h"
#include "almondridge/net/httpserver.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::store;

namespace {

TimePoint soon()
{
    return BootClock::now() + millis(20'000);
}

/** A platform that sends every call the same response; status 0 closes the connection. */
class FixedPlatform
{
public:
    FixedPlatform(int status, const std::string &body)
        : server_(
            net::HttpServer::Builder()
                .workers(2)
                .handler([=](net::ServerExchange &exchange) {
                    exchange.closeAfterAnswer();
                    if (status == 0) {
                        exchange.beginStream(200, "application/json");
                        return;
                    }
                    exchange.respond(status, "application/json", body, {{"Retry-After", "3"}});
                })
                .start()
                .value())
    { }

    net::Address address() const { return {"127.0.0.1", server_.port()}; }

private:
    net::HttpServer server_;
};

template <typename Function>
ErrorKind failureOf(Function &&function)
{
    const auto captured = capture(std::forward<Function>(function));
    BOOST_REQUIRE(captured.index() == 1);
    return std::get<Error>(captured).kind_;
}

ErrorKind appendFailure(int status, const std::string &body)
{
    const FixedPlatform platform(status, body);
    return failureOf([&] { return makeHttpLogService(platform.address())->append({"r"}, soon()); });
}

ErrorKind readFailure(int status, const std::string &body)
{
    const FixedPlatform platform(status, body);
    return failureOf(
        [&] { return makeHttpLogService(platform.address())->read(4, BootClock::now()); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(HttpStore)

BOOST_AUTO_TEST_CASE(appendsAndReadsFollowTheWireProtocol)
{
    std::string appended;
    std::string query;
    net::HttpServer server = net::HttpServer::Builder()
                                 .workers(2)
                                 .handler([&](net::ServerExchange &exchange) {
                                     if (exchange.path() == "/log/append") {
                                         appended = exchange.readBody(100, soon()).value();
                                         exchange.respond(200, "", R"({"first_offset":41})");
                                         return;
                                     }
                                     query = exchange.query();
                                     exchange.respond(200, "",
                                                      R"({"first":2,"next":43,"records":[)"
                                                      R"({"offset":41,"body":"a"},)"
                                                      R"({"offset":42,"body":"b"}]})");
                                 })
                                 .start()
                                 .value();
    const auto log = makeHttpLogService({"127.0.0.1", server.port()});
    BOOST_TEST(log->append({"a", "b"}, soon()).value() == 41U);
    BOOST_TEST(appended == R"({"records":["a","b"]})");
    const LogPage page = log->read(41, BootClock::now()).value();
    BOOST_TEST(query == "from=41&wait_in_ms=0");
    BOOST_TEST(page.first_ == 2U);
    BOOST_TEST(page.next_ == 43U);
    BOOST_TEST(page.records_[1].body_ == "b");
}

// A record would be reported as not appended although it is in the log, or the reverse, if a
// refusal by the log and a broken connection were handled as the same error.
BOOST_AUTO_TEST_CASE(onlyARefusalMeansThatNothingWasAppended)
{
    BOOST_TEST((appendFailure(429, "{}") == ErrorKind::Overloaded));
    BOOST_TEST((appendFailure(503, "{}") == ErrorKind::Unavailable));
    BOOST_TEST((appendFailure(500, "{}") == ErrorKind::Interrupted));
    BOOST_TEST((appendFailure(0, "") == ErrorKind::Interrupted));
    const auto log = makeHttpLogService({"127.0.0.1", 1});
    BOOST_TEST((failureOf([&] { return log->append({"r"}, soon()); }) == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(aTrimmedOffsetIsDistinguishedFromAnOutage)
{
    BOOST_TEST((readFailure(410, R"({"first":9,"next":12})") == ErrorKind::Trimmed));
    BOOST_TEST((readFailure(503, "{}") == ErrorKind::Unavailable));
}

BOOST_AUTO_TEST_CASE(anAnswerThatBreaksTheProtocolIsAnErrorNotAnException)
{
    for (const char *body :
         {"", "[", "[]", "7", R"({"first_offset":"x"})", R"({"first_offset":-1})"}) {
        BOOST_TEST((appendFailure(200, body) == ErrorKind::Protocol), body);
    }
    for (const char *body :
         {"{}", R"({"first":1,"next":5,"records":7})", R"({"first":1,"next":5,"records":[7]})",
          R"({"first":1,"next":5,"records":[{"offset":4}]})",
          R"({"first":1,"next":7,"records":[{"offset":5,"body":"a gap"}]})"}) {
        BOOST_TEST((readFailure(200, body) == ErrorKind::Protocol), body);
    }
    for (const char *body : {"{}", R"({"instances":[7]})",
                             R"({"instances":[{"id":"a","kind":"entry","state":"dead"}]})"}) {
        const FixedPlatform platform(200, body);
        const auto list = makeHttpInstanceList(platform.address());
        BOOST_TEST((failureOf([&] { return list->fetch(soon()); }) == ErrorKind::Protocol), body);
    }
    const FixedPlatform platform(200, R"({"bytes_per_second":"fast"})");
    const auto store = makeHttpWeightStore(platform.address());
    BOOST_TEST((failureOf([&] { return store->status(soon()); }) == ErrorKind::Protocol));
}

BOOST_AUTO_TEST_CASE(theListAndTheWeightStoreAreRead)
{
    const FixedPlatform list(200, R"({"instances":[{"id":"i1","kind":"entry","domain":"pasila",)"
                                  R"("address":"127.0.0.1:9","state":"leaving"}]})");
    const auto instances = makeHttpInstanceList(list.address())->fetch(soon()).value();
    BOOST_TEST(instances.at(0).domain_ == DomainId("pasila"));
    BOOST_TEST((instances.at(0).state_ == ListedState::Leaving));
    const FixedPlatform store(200, R"({"bytes_per_second":5e8,"fetches_running":2})");
    const auto status = makeHttpWeightStore(store.address())->status(soon()).value();
    BOOST_TEST(status.bytesPerSecond_ == 5e8);
    BOOST_TEST(status.fetchesRunning_ == 2);
}

BOOST_AUTO_TEST_SUITE_END()
