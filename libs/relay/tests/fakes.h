/**
 * Small fakes for the tests of the relay: an engine, a service, idempotency keys, and a relay
 * behind a server.
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

inline TimePoint soon()
{
    return BootClock::now() + millis(30'000);
}

/** What an endpoint does wrong with the next requests. */
struct Fault
{
    int disconnectAfter_ = -1;  ///< Tokens; then the connection is cut.
    int stallAfter_ = -1;       ///< Tokens; then nothing more comes on this connection.
    bool stallResumed_ = false; ///< Resumed streams say nothing either.
    bool streamsLost_ = false;  ///< Resumed streams are answered with 404.
    int status_ = 200;
    std::string errorBody_ = "{}";
};

/** Says, after a prompt of N words that begins with "a", the words aN aN+1 and so on. */
class FakeEngine
{
public:
    FakeEngine();

    std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }
    void setFault(Fault fault);
    /** The bodies of all requests so far. */
    std::vector<json> bodies();
    /** Waits until so many cancels came; their attempts. */
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

/** Claims in memory, with the log's outages. */
class FakeClaims : public KeyClaims
{
public:
    ClaimAnswer claim(const std::string &key, const RequestId &request, TimePoint) override;
    ClaimAnswer lookUp(const std::string &key, TimePoint) override;
    void finish(const std::string &key, const RequestId &request, int status,
                const std::string &body) override;
    void setLogUnavailable(bool out);

private:
    ClaimAnswer find(const std::string &key) const;

    std::mutex mutex_;
    bool logUnavailable_ = false;
    std::map<std::string, ClaimAnswer> claims_;
};

/** A relay behind a server, as callers see it. */
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

/** A fleet of one domain with the model "m", which these engines serve. */
fleet::FleetBuilder fleetOf(const std::vector<FakeEngine *> &engines);

/** The data of each event of a streamed body. */
std::vector<std::string> eventsOf(const std::string &body);
/** The text that a streamed or whole answer gives; checks that offsets rise one by one. */
std::string textOf(const net::Response &response);
/** "a" and 5, 3 give " a5 a6 a7". */
std::string words(const std::string &first, int from, int count);

} // namespace almondridge::relay::test
