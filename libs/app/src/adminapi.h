/**
 * HTTP API for operators under /admin.
 */
#pragma once

#include "almondridge/control/controllog.h"
#include "almondridge/fleet/settings.h"
#include "almondridge/net/httpserver.h"
#include "almondridge/observe/timeline.h"
#include "almondridge/peers/peerexchange.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace almondridge::app {

class AdminApi
{
public:
    AdminApi(const fleet::Settings &settings, control::ControlLog &log, peers::PeerExchange &peers,
             observe::Timeline &timeline, std::function<nlohmann::json()> status);

    /** Answers the request; returns false if its path is not under /admin. */
    bool handle(net::ServerExchange &exchange);

private:
    struct Call;
    static const std::array<Call, 5> Calls;

    bool authorized(const net::ServerExchange &exchange) const;
    /** Reads the body as a JSON object. Otherwise answers 400 and returns null. */
    nlohmann::json readJson(net::ServerExchange &exchange) const;

    void showFleet(net::ServerExchange &exchange);
    void review(net::ServerExchange &exchange);
    void apply(net::ServerExchange &exchange);
    void showStatus(net::ServerExchange &exchange);
    void showTimeline(net::ServerExchange &exchange);
    void respondToAppend(net::ServerExchange &exchange, const control::AppendVerdict &verdict,
                         const fleet::Fleet &wanted);

    const fleet::Settings settings_;
    control::ControlLog &log_;
    peers::PeerExchange &peers_;
    observe::Timeline &timeline_;
    const std::function<nlohmann::json()> status_;
};

} // namespace almondridge::app
