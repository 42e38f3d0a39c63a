#include "crowd.h"

#include <fmt/format.h>
#include <fstream>
#include <sstream>

namespace almondridge::crowd {
namespace {

constexpr std::size_t KeysPerPage = 3;
constexpr int Requests = 20;
/** More than an instance needs for one list of each topic, with the odd entries in three of them.
 */
constexpr int MostPages = 40;

/** Names that other writers gave to their entries. */
const std::vector<std::string> OddNames {"e-answers&1", "e-answers&after=z",
                                         "a+b",         "e-#",
                                         "e-%",         "e-%41",
                                         "e-%zz",       "e-=",
                                         "e-?",         "e-/x",
                                         "e- blank",    " e-blank ",
                                         "e-;",         "e-\xc3\xa4",
                                         "e-\xff\xfe",  std::string(255, 'n')};

/** A value that ends the decoding of an entry in one way each. */
std::vector<std::string> oddValues(const net::Address &address)
{
    const std::string at = net::toString(address);
    const auto entry = [&](const std::string &service, const std::string &where,
                           const std::string &rest) {
        return fmt::format(R"({{"service":{},"address":{},"zone":"z",{}"state":"ready"}})", service,
                           where, rest);
    };
    const std::string own = fmt::format("\"{}\"", at);
    const std::string deep(200'000, '[');
    return {"?",
            "7",
            "[]",
            std::string(300, '['),
            deep,
            R"({"x":)" + deep + std::string(deep.size(), ']') + "}",
            R"([[0,0,0,{"x":)" + deep,
            "\xff\xfe",
            entry("7", own, R"("slots":1,)"),
            entry(R"("answers")", "{}", R"("slots":1,)"),
            entry(R"("answers")", R"("nowhere")", R"("slots":1,)"),
            entry(R"("answers")", R"("127.0.0.1:99999")", R"("slots":1,)"),
            entry(R"("answers")", own, R"("slots":1e999,)"),
            entry(R"("answers")", R"("127.0.0.1:0")", R"("slots":1,)"),
            entry(R"("answers")", R"("127.0.0.1:65536")", R"("slots":1,)"),
            entry(R"("answers")", R"("127.0.0.1:-1")", R"("slots":1,)"),
            entry(R"("answers")", own, R"("slots":18446744073709551615,)"),
            entry(R"("answers")", own, R"("slots":1e300,)"),
            entry(R"("answers")", own, R"("slots":1,"born":18446744073709551615,)"),
            entry(R"("answers")", own, R"("slots":1,"born":-1,)"),
            entry(R"("answers")", own, R"("slots":1,"seq":-1,)"),
            R"({"domain":"z","address":"127.0.0.1:65536","linkMbps":1e300})",
            R"({"domain":"z","address":"127.0.0.1:0","linkMbps":1e300})",
            R"([[18446744073709551615,18446744073709551615,18446744073709551615,1e300]])",
            R"({"until":18446744073709551615})",
            entry(R"("answers")", own, R"("slots":-1,)"),
            entry(R"("answers")", own, R"("slots":"many",)"),
            entry(R"("answers")", own, R"("slots":1,"spot":[],)"),
            entry(R"("answers")", own, R"("slots":1,"version":{"a":{}},)")};
}

int served(Site &site, int number)
{
    int count = 0;
    for (int request = 0; request < Requests; ++request) {
        const std::string text =
            requestHead(EndpointManner::Answers, "Content-Length: 2\r\n") + "ok";
        count += site.answerTo(text, number).starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    return count;
}

/** Restarts all instances while the entries stand, and checks that each serves. */
void checkRestart(Site &site)
{
    const int before = site.store().pages();
    site.restartAll();
    for (int number = 0; number < site.machines(); ++number) {
        BOOST_TEST(served(site, number) == Requests);
    }
    BOOST_TEST(site.store().pages() - before <= site.machines() * MostPages);
}

/** Lines of the instance's log that name the event. */
int logLines(const Machine &machine, const std::string &event)
{
    std::ifstream log(machine.logPath());
    int count = 0;
    for (std::string line; std::getline(log, line);) {
        count += line.find("event=" + event + " ") != std::string::npos ? 1 : 0;
    }
    return count;
}

bool logHasControlBytes(const Machine &machine)
{
    std::ifstream log(machine.logPath());
    std::ostringstream text;
    text << log.rdbuf();
    const std::string bytes = text.str();
    return std::any_of(bytes.begin(), bytes.end(), [](char byte) {
        const auto code = static_cast<unsigned char>(byte);
        return (code < 0x20 && byte != '\n') || code >= 0x7f;
    });
}

} // namespace

BOOST_AUTO_TEST_SUITE(OddEntries)

/**
 * Guards against one odd entry that stops the service: while it stood in the list of endpoints, no
 * instance that started could read the list to its end.
 */
BOOST_AUTO_TEST_CASE(instancesServeWhileEntriesWithOddNamesStand)
{
    for (const std::string topic :
         {"keyed.servers", "keyed.op", "keyed.instances", "keyed.quarantine"}) {
        BOOST_TEST_CONTEXT(topic)
        {
            Site site(machineLimits(), 2);
            site.store().setKeysPerPage(KeysPerPage);
            for (const std::string &name : OddNames) {
                site.store().put(topic, name, R"({"service":"answers"})");
            }
            checkRestart(site);
            BOOST_TEST(!logHasControlBytes(site.machine()));
        }
    }
}

/** Guards against an entry whose value ends the list, or is logged each time that it is renewed. */
BOOST_AUTO_TEST_CASE(instancesServeWhileEntriesWithOddValuesStand)
{
    constexpr std::size_t ValuesOfASite = 14;
    const std::size_t count = oddValues({}).size();
    for (std::size_t first = 0; first < count; first += ValuesOfASite) {
        Site site(machineLimits(), 2);
        site.store().setKeysPerPage(KeysPerPage);
        const RawServer wrong(site.loop(), [](const RawServer::Peer &peer, const std::string &) {
            peer->write(async::testing::responseText(500, "", ""));
        });
        const std::vector<std::string> values = oddValues(wrong.address());
        for (std::size_t index = first; index < std::min(count, first + ValuesOfASite); ++index) {
            const std::string key = "odd-" + std::to_string(index);
            for (const char *topic : {"keyed.servers", "keyed.instances", "keyed.quarantine",
                                      "keyed.op", "keyed.status"}) {
                site.store().put(topic, key, values[index]);
            }
        }
        checkRestart(site);
        BOOST_TEST(!logHasControlBytes(site.machine()));
        const int lines = logLines(site.machine(), "entry_unusable");
        for (int renewal = 0; renewal < 5; ++renewal) {
            site.store().put("keyed.servers", "odd-" + std::to_string(first),
                             fmt::format(R"({{"service":7,"n":{}}})", renewal));
            site.runFor(millis(300));
        }
        BOOST_TEST(logLines(site.machine(), "entry_unusable") <= lines + 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace almondridge::crowd
