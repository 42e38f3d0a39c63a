/**
 * Many service instances in one process, and their control.
 */
#pragma once

#include "service/serviceserver.h"

#include <map>
#include <memory>

namespace almondridge::standins {

/** The settings file of a process. */
struct ServiceProcessSettings
{
    net::Address control_;
    std::vector<ServiceSettings> instances_;
};

/** InvalidInput names the field that is wrong. */
Result<ServiceProcessSettings> readServiceSettings(const Json &json);

/** Runs until it is destroyed. */
class ServiceProcess
{
public:
    /** Unavailable when a port is taken. */
    static Result<std::unique_ptr<ServiceProcess>> start(const ServiceProcessSettings &settings);

    ServiceProcess(const ServiceProcess &) = delete;
    ServiceProcess &operator=(const ServiceProcess &) = delete;
    ~ServiceProcess();

    std::uint16_t controlPort() const noexcept { return control_->port(); }
    /** The port of the instance called id, 0 when there is none. */
    std::uint16_t instancePort(const std::string &id) const;

private:
    ServiceProcess() = default;
    Result<void> run(const ServiceProcessSettings &settings);
    void handleControl(net::ServerExchange &exchange);
    Result<void> postControl(const Json &body);
    static Result<void> apply(ServiceServer &server, const Json &body);
    Json show() const;

    RunCounts counts_;
    std::map<std::string, ServiceServer> servers_;
    std::mutex controlLock_;
    std::optional<net::HttpServer> control_;
};

} // namespace almondridge::standins
