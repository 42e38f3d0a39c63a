#include "deployment.h"

#include "almondridge/fleet/fleetfile.h"
#include "almondridge/net/httpcall.h"

#include <fstream>
#include <stdexcept>

namespace almondridge::testing {
namespace {

constexpr std::int64_t CallTimeoutMillis = 30'000;
constexpr const char *PeerKey = "a-key-for-tests-only";
constexpr const char *OperatorKey = "an-operator-key";
constexpr const char *ModelName = "m";
constexpr const char *ServiceName = "desk";

net::Address parsed(const std::string &address)
{
    return net::parseAddress(address).value();
}

/** A JSON call to a stand-in; null when it does not answer. */
nlohmann::json callJson(const std::string &address, const net::Request &request)
{
    const auto answer = capture([&] {
        return net::httpCall(parsed(address), request,
                             BootClock::now() + millis(CallTimeoutMillis));
    });
    if (answer.index() == 1) {
        return nullptr;
    }
    nlohmann::json json = nlohmann::json::parse(std::get<0>(answer).body_, nullptr, false);
    return json.is_discarded() ? nlohmann::json(nullptr) : json;
}

nlohmann::json engineEntry(const fleet::Endpoint &endpoint, const fleet::Model &model)
{
    return {{"id", endpoint.id_.value()},
            {"listen", endpoint.address_},
            {"checks_fence", endpoint.fencing_ == fleet::Fencing::Checks},
            {"role", nameOf(fleet::EngineRoleNames, endpoint.role_)},
            {"model", model.id_.value()},
            {"version", model.version_},
            {"adapters", nlohmann::json::array()}};
}

} // namespace

Deployment::Deployment(const DeploymentPlan &plan)
    : plan_(plan)
{
    layFleet();
    startPlatform();
    startEndpoints();
    startEntries();
}

std::string Deployment::program(const std::string &name)
{
    return std::string(ALMONDRIDGE_BINARY_DIR) + "/bin/" + name;
}

std::string Deployment::newAddress() const
{
    return "127.0.0.1:" + std::to_string(freePort());
}

std::string Deployment::writeJson(const std::string &name, const nlohmann::json &json)
{
    std::string path = folder_.path(name);
    std::ofstream(path) << json.dump(2);
    return path;
}

void Deployment::layFleet()
{
    fleet_.name_ = "test";
    fleet_.models_[ModelId(ModelName)] = {ModelId(ModelName), "v1", {}, 1'000'000};
    fleet_.services_[ServiceId(ServiceName)] = {
        ServiceId(ServiceName),
        "/desk",
        {{"POST", "/confirm", fleet::Repeatability::NonIdempotent},
         {"POST", "/search", fleet::Repeatability::Idempotent}}};
    for (int domain = 0; domain < plan_.domains_; ++domain) {
        const DomainId domainId("d" + std::to_string(domain));
        fleet_.domains_.push_back(domainId);
        for (int index = 0; index < plan_.enginesPerDomain_; ++index) {
            fleet::Endpoint engine;
            engine.id_ = EndpointId(domainId.value() + "-e" + std::to_string(index));
            engine.domain_ = domainId;
            engine.address_ = newAddress();
            engine.fencing_ = plan_.fencing_;
            engine.model_ = ModelId(ModelName);
            fleet_.endpoints_[engine.id_] = engine;
        }
        for (int index = 0; index < plan_.servicesPerDomain_; ++index) {
            fleet::Endpoint service;
            service.id_ = EndpointId(domainId.value() + "-s" + std::to_string(index));
            service.domain_ = domainId;
            service.kind_ = fleet::EndpointKind::Service;
            service.address_ = newAddress();
            service.service_ = ServiceId(ServiceName);
            fleet_.endpoints_[service.id_] = service;
        }
        fleet_.roleBounds_.push_back(
            {domainId, ModelId(ModelName), 0, plan_.enginesPerDomain_, 0, plan_.enginesPerDomain_});
    }
}

void Deployment::startPlatform()
{
    const std::map<Standin, std::string> programs {{Standin::Log, "standin-log"},
                                                   {Standin::List, "standin-list"},
                                                   {Standin::Weights, "standin-weights"}};
    for (const auto &[which, name] : programs) {
        standinAddresses_[which] = newAddress();
        standins_.emplace(which, Process({program(name), "--listen", standinAddresses_[which]},
                                         folder_.path(name + ".log")));
    }
}

void Deployment::startEndpoints()
{
    standinAddresses_[Standin::Engines] = newAddress();
    standinAddresses_[Standin::Services] = newAddress();
    nlohmann::json engines = {{"control", standinAddresses_[Standin::Engines]},
                              {"weights", standinAddresses_[Standin::Weights]},
                              {"defaults",
                               {{"change_in_ms", plan_.engineChangeMillis_},
                                {"weight_bytes", 1'000'000},
                                {"workers", 96},
                                {"decode_tokens_per_second", plan_.decodeTokensPerSecond_},
                                {"prefill_tokens_per_second", plan_.prefillTokensPerSecond_}}},
                              {"engines", nlohmann::json::array()}};
    nlohmann::json services = {{"control", standinAddresses_[Standin::Services]},
                               {"instances", nlohmann::json::array()}};
    for (const auto &[id, endpoint] : fleet_.endpoints_) {
        if (endpoint.kind_ == fleet::EndpointKind::Engine) {
            engines["engines"].push_back(engineEntry(endpoint, fleet_.models_.at(endpoint.model_)));
        } else {
            services["instances"].push_back({{"id", id.value()}, {"listen", endpoint.address_}});
        }
    }
    standins_.emplace(Standin::Engines, Process({program("standin-engine"), "--settings",
                                                 writeJson("engines.json", engines)},
                                                folder_.path("standin-engine.log")));
    if (!services["instances"].empty()) {
        standins_.emplace(Standin::Services, Process({program("standin-service"), "--settings",
                                                      writeJson("services.json", services)},
                                                     folder_.path("standin-service.log")));
    }
    for (const auto &entry : standins_) {
        waitUntil("a stand-in answers", [&] { return !counters(entry.first).is_null(); });
    }
}

void Deployment::startEntries()
{
    const int count = plan_.domains_ * plan_.entriesPerDomain_;
    nlohmann::json listed = nlohmann::json::array();
    for (int index = 0; index < count; ++index) {
        entryAddresses_.push_back(newAddress());
        peerAddresses_.push_back(newAddress());
        listed.push_back({{"id", entryName(index)},
                          {"kind", "entry"},
                          {"domain", domainOfEntry(index).value()},
                          {"address", peerAddresses_.back()},
                          {"state", "live"}});
    }
    control(Standin::List, {{"instances", listed}});
    for (int index = 0; index < count; ++index) {
        const std::string name = entryName(index);
        const std::string settings = writeJson(name + ".json", entrySettings(index));
        entries_.emplace_back(
            std::vector<std::string> {program("almondridge"), "serve", "--settings", settings},
            folder_.path(name + ".log"));
    }
    for (int index = 0; index < count; ++index) {
        waitForEntry(index);
    }
}

void Deployment::waitForEntry(int index)
{
    waitUntil(entryName(index) + " answers", [&] {
        if (!entry(index).running()) {
            throw std::runtime_error(entryName(index) + " ended: " + entry(index).output());
        }
        return !status(index).is_null();
    });
}

void Deployment::restartEntry(int index)
{
    const std::string name = entryName(index);
    entry(index) =
        Process({program("almondridge"), "serve", "--settings", folder_.path(name + ".json")},
                folder_.path(name + ".log"));
    waitForEntry(index);
}

nlohmann::json Deployment::entrySettings(int index) const
{
    const auto at = static_cast<std::size_t>(index);
    return {{"instance", entryName(index)},
            {"domain", domainOfEntry(index).value()},
            {"listen", entryAddresses_.at(at)},
            {"peerListen", peerAddresses_.at(at)},
            {"peerKey", PeerKey},
            {"operatorKey", OperatorKey},
            {"logService", standinAddresses_.at(Standin::Log)},
            {"instanceList", standinAddresses_.at(Standin::List)},
            {"weightStore", standinAddresses_.at(Standin::Weights)},
            {"maxStreams", plan_.maxStreams_},
            {"leaseTermMillis", plan_.leaseTermMillis_},
            {"leaseMarginMillis", plan_.leaseTermMillis_ / 4},
            {"requestDeadlineMillis", 60'000},
            {"appendsPerSecond", 50}};
}

std::string Deployment::entryName(int index) const
{
    return domainOfEntry(index).value() + "-entry" + std::to_string(index);
}

DomainId Deployment::domainOfEntry(int index) const
{
    return DomainId("d" + std::to_string(index / plan_.entriesPerDomain_));
}

std::string Deployment::entryAddress(int index) const
{
    return entryAddresses_.at(static_cast<std::size_t>(index));
}

std::string Deployment::entryAddresses() const
{
    std::string all;
    for (const std::string &address : entryAddresses_) {
        all += (all.empty() ? "" : ",") + address;
    }
    return all;
}

std::string Deployment::standinAddress(Standin which) const
{
    return standinAddresses_.at(which);
}

Process Deployment::start(std::vector<std::string> arguments)
{
    arguments.front() = program(arguments.front());
    return Process(std::move(arguments),
                   folder_.path("command" + std::to_string(commands_++) + ".log"));
}

Process Deployment::startApply(const fleet::Fleet &fleet, const std::vector<std::string> &extra)
{
    const std::string path = folder_.path("fleet" + std::to_string(commands_) + ".json");
    std::ofstream(path) << fleet::writeFleet(fleet);
    std::vector<std::string> arguments {"almondridge",    "apply", "--entry",
                                        entryAddresses(), "--key", OperatorKey};
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    arguments.push_back(path);
    return start(std::move(arguments));
}

Finished Deployment::apply(const fleet::Fleet &fleet, const std::vector<std::string> &extra)
{
    Process process = startApply(fleet, extra);
    Finished finished;
    finished.exitCode_ = process.wait();
    finished.output_ = process.output();
    return finished;
}

void Deployment::applyFirst()
{
    const Finished applied = apply(fleet_, {"--wait"});
    if (applied.exitCode_ != 0) {
        throw std::runtime_error("the first apply failed: " + applied.output_);
    }
    for (int index = 0; index < entryCount(); ++index) {
        waitUntil(entryName(index) + " is ready", [&] { return ready(index); });
    }
}

int Deployment::leaseHolder(const DomainId &domain)
{
    for (int index = 0; index < entryCount(); ++index) {
        const nlohmann::json seen =
            domainOfEntry(index) == domain ? status(index) : nlohmann::json(nullptr);
        if (!seen.is_null() && seen.value("fence", 0) != 0) {
            return index;
        }
    }
    return -1;
}

nlohmann::json Deployment::control(Standin which, const nlohmann::json &settings)
{
    const net::Request request {
        "POST", "/control", {{"Content-Type", "application/json"}}, settings.dump()};
    return callJson(standinAddresses_.at(which), request);
}

nlohmann::json Deployment::counters(Standin which, const std::string &query)
{
    return callJson(standinAddresses_.at(which), {"GET", "/control" + query, {}, {}});
}

nlohmann::json Deployment::engineState(const EndpointId &engine) const
{
    return callJson(fleet_.endpoints_.at(engine).address_, {"GET", "/engine/state", {}, {}});
}

nlohmann::json Deployment::status(int index)
{
    if (!entry(index).running()) {
        return nullptr;
    }
    return callJson(
        entryAddress(index),
        {"GET", "/admin/status", {{"Authorization", std::string("Bearer ") + OperatorKey}}, {}});
}

bool Deployment::ready(int index)
{
    return call(index, "GET", "/readyz").status_ == 200;
}

Deployment::Answer Deployment::call(int index, const std::string &method, const std::string &path,
                                    const std::string &body,
                                    const std::map<std::string, std::string> &headers)
{
    net::Request request {method, path, {}, body};
    for (const auto &[name, value] : headers) {
        request.headers_.push_back({name, value});
    }
    const auto answer = capture([&] {
        return net::httpCall(parsed(entryAddress(index)), request,
                             BootClock::now() + millis(CallTimeoutMillis));
    });
    Answer result;
    if (answer.index() == 0) {
        const net::Response &response = std::get<0>(answer);
        result.status_ = response.status_;
        result.body_ = response.body_;
        for (const net::Header &header : response.headers_) {
            result.headers_[header.name_] = header.value_;
        }
    }
    return result;
}

} // namespace almondridge::testing
