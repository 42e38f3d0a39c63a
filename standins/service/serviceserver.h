/**
 * The HTTP side of one service instance.
 */
#pragma once

#include "common/faults.h"
#include "common/loadhistory.h"
#include "service/runcounts.h"

#include <mutex>
#include <optional>

namespace almondridge::standins {

/** An entry of the settings file, and what /control can set. */
struct ServiceSettings
{
    std::string id_ {};
    net::Address listen_ {};
    std::int64_t answerDelayInMillis_ = 0; ///< The effect comes first, the answer so much later.
    std::int64_t reportLagInMillis_ = 200;
    bool notRun_ = false; ///< Refuses all calls before they have an effect.
    int workers_ = 64;    ///< Connections served at once; only from the settings file.
};

inline constexpr std::array<Field<ServiceSettings>, 4> ServiceFields {{
    {"answer_delay_in_ms", &ServiceSettings::answerDelayInMillis_},
    {"report_lag_in_ms", &ServiceSettings::reportLagInMillis_},
    {"not_run", &ServiceSettings::notRun_},
    {"workers", &ServiceSettings::workers_},
}};

/** Listens from start() on. */
class ServiceServer
{
public:
    /** counts must outlive this object. */
    ServiceServer(ServiceSettings settings, RunCounts &counts);
    ServiceServer(const ServiceServer &) = delete;
    ServiceServer &operator=(const ServiceServer &) = delete;
    ~ServiceServer();

    /** Unavailable when the port is taken. */
    Result<void> start();
    void stop();
    std::uint16_t port() const noexcept { return server_->port(); }

    ServiceSettings settings() const;
    void setSettings(const ServiceSettings &settings);
    /** Closes all connections without an answer. What ran has run. */
    void crash() noexcept { faults_.closeAll(); }
    void silence() noexcept { faults_.silence(); }

private:
    struct LoadReport
    {
        int running_ = 0;
        bool admits_ = true;
    };

    void handle(net::ServerExchange &exchange);
    void load(FaultyExchange &exchange);
    Result<void> call(FaultyExchange &exchange);
    void changeRunning(int by);
    void noteLoad();

    mutable std::mutex lock_;
    ServiceSettings settings_;
    int running_ = 0;
    LoadHistory<LoadReport> history_;
    RunCounts &counts_;
    Faults faults_;
    std::optional<net::HttpServer> server_;
};

} // namespace almondridge::standins
