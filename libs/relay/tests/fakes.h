/**
 * Fakes for the relay's tests: an engine, a store of idempotency keys, and a relay behind a server.
 */
#pragma once

#include "almondridge/fleet/fleetbuilder.h"
#include "almondridge/net/httpcall.h"
#include "almondridge/net/httpexchange.h"
#include "almondridge/net/httpserver.h"
#include "almondridge/relay/relay.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace almondridge::relay::test {

using nlohmann::json;

/** A deadline that a test only reaches when it fails. */
inline TimePoint soon()
{
    return BootClock::now() + millis(30'000);
}

/** Faults that a FakeEngine injects into its next requests. */
struct Fault
{
    int disconnectAfter_ = -1;  ///< Tokens after which the connection is closed; -1: never.
    int stallAfter_ = -1;       ///< Tokens after which the connection stalls; -1: never.
    bool stallResumed_ = false; ///< Resumed streams stall too.
    bool streamsLost_ = false;  ///< Resume requests get a 404.
    int status_ = 200;
    std::string errorBody_ = "{}";
};

/** For a prompt of N words that begins with "a", generates the words aN, aN+1 and so on. */
class FakeEngine
{
public:
    FakeEngine();

    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
    void setFault(Fault fault);
    /** The bodies of all requests so far. */
    std::vector<json> bodies();
    /** Waits for that many cancel requests and returns their attempt ids. */
    std::vector<std::string> cancels(std::size_t atLeast);

private:
    struct Stream
    {
        std::string prompt_;
        int tokens_ = 0;
        bool chat_ = false;
        bool usage_ = false;
    };

    void handle(net::ServerExchange &exchange);
    void generate(net::ServerExchange &exchange);
    void resume(net::ServerExchange &exchange);
    void sendTokens(net::ServerExchange &exchange, const Stream &stream, int from,
                    const Fault &fault);
    static void waitForHangUp(net::ServerExchange &exchange);

    std::mutex mutex_;
    std::condition_variable changed_;
    Fault fault_;
    std::vector<json> bodies_;
    std::vector<std::string> cancels_;
    std::map<std::string, Stream> streams_;
    net::HttpServer server_;
};

/** An in-memory store of claims that can simulate an outage of the control log. */
class FakeClaims : public KeyClaims
{
public:
    ClaimResult claim(const std::string &key, const RequestId &request, TimePoint) override;
    ClaimResult lookUp(const std::string &key, TimePoint) override;
    void finish(const std::string &key, const RequestId &request, int status,
                const std::string &body) override;
    void setLogUnavailable(bool unavailable);

private:
    ClaimResult find(const std::string &key) const;

    std::mutex mutex_;
    bool logUnavailable_ = false;
    std::map<std::string, ClaimResult> claims_;
};

/** A relay behind an HTTP server. */
class RelayServer
{
public:
    RelayServer(const fleet::FleetBuilder &fleet, KeyClaims &claims,
                const fleet::Settings &settings = settingsOf("i1"));

    static fleet::Settings settingsOf(const std::string &instance);

    net::Address address() const { return {"127.0.0.1", server_.port()}; }
    net::Response call(const net::Request &request) const;
    net::Response post(const std::string &path, const json &body, net::Headers headers = {}) const;

    observe::Metrics metrics_;
    observe::Timeline timeline_;
    std::unique_ptr<Relay> relay_;

private:
    net::HttpServer server_;
};

/** A fleet of one failure domain whose model "m" is served by these engines. */
fleet::FleetBuilder fleetOf(const std::vector<FakeEngine *> &engines);

/** The data of each event of a streamed body. */
std::vector<std::string> eventsOf(const std::string &body);
/** The text of a streamed or buffered response; marks offsets that are not consecutive by <gap>. */
std::string textOf(const net::Response &response);
/** words("a", 5, 3) returns " a5 a6 a7". */
std::string words(const std::string &first, int from, int count);

} // namespace almondridge::relay::test
