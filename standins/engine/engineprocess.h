/**
 * Many engines in one process, and their control.
 */
#pragma once

#include "engine/engineserver.h"
#include "engine/scheduler.h"

#include <list>
#include <map>
#include <memory>

namespace almondridge::standins {

/** Runs until it is destroyed. */
class EngineProcess
{
public:
    /** Unavailable when a port is taken. */
    static Result<std::unique_ptr<EngineProcess>> start(const ProcessSettings &settings);

    EngineProcess(const EngineProcess &) = delete;
    EngineProcess &operator=(const EngineProcess &) = delete;
    ~EngineProcess();

    std::uint16_t controlPort() const noexcept { return control_->port(); }
    /** The port of the engine called id, 0 when there is none. */
    std::uint16_t enginePort(const std::string &id) const;

private:
    explicit EngineProcess(const ProcessSettings &settings);
    Result<void> run(const ProcessSettings &settings);
    void handleControl(net::ServerExchange &exchange);
    Result<void> postControl(net::ServerExchange &exchange);
    void getControl(net::ServerExchange &exchange);
    /** The engines that name stands for: one, or all for "*". */
    std::vector<EngineServer *> named(const std::string &name);
    static Result<void> apply(EngineServer &server, const Json &body);
    static Json show(EngineServer &server, bool whole);

    // Destroyed from the last to the first: each uses those before it.
    std::map<std::string, Engine> engines_;
    std::list<Scheduler> schedulers_;
    WeightLoader loader_;
    std::map<std::string, EngineServer> servers_;
    std::mutex controlLock_;
    std::optional<net::HttpServer> control_;
};

} // namespace almondridge::standins
