#include "service/serviceprocess.h"

#include "common/jsonhttp.h"
#include "common/startserver.h"

#include <thread>

namespace almondridge::standins {
namespace {

constexpr std::string_view AllInstances = "*";

Result<ServiceSettings> readInstance(const Json &entry)
{
    ServiceSettings settings;
    BOOST_LEAF_CHECK(readFields(entry, ServiceFields, settings, {"id", "listen"}));
    BOOST_LEAF_CHECK(readValue("id", entry.value("id", Json()), settings.id_));
    std::string listen;
    BOOST_LEAF_CHECK(readValue("listen", entry.value("listen", Json()), listen));
    BOOST_LEAF_ASSIGN(settings.listen_, net::parseAddress(listen));
    if (settings.workers_ < 1) {
        return wrongField("workers", entry, "at least 1");
    }
    return settings;
}

} // namespace

Result<ServiceProcessSettings> readServiceSettings(const Json &json)
{
    ServiceProcessSettings settings;
    BOOST_LEAF_ASSIGN(settings.control_, net::parseAddress(json.value("control", "")));
    for (const Json &entry : json.value("instances", Json::array())) {
        BOOST_LEAF_AUTO(instance, readInstance(entry));
        settings.instances_.push_back(std::move(instance));
    }
    if (settings.instances_.empty()) {
        return wrongField("instances", json, "at least one instance");
    }
    return settings;
}

ServiceProcess::~ServiceProcess()
{
    // All at once: CivetWeb takes a second or two to stop.
    std::vector<std::thread> stops;
    stops.emplace_back([this] { control_.reset(); });
    for (auto &[id, server] : servers_) {
        stops.emplace_back([&server = server] { server.stop(); });
    }
    for (std::thread &stop : stops) {
        stop.join();
    }
}

Result<std::unique_ptr<ServiceProcess>>
ServiceProcess::start(const ServiceProcessSettings &settings)
{
    std::unique_ptr<ServiceProcess> process(new ServiceProcess());
    BOOST_LEAF_CHECK(process->run(settings));
    return process;
}

Result<void> ServiceProcess::run(const ServiceProcessSettings &settings)
{
    for (const ServiceSettings &instance : settings.instances_) {
        const auto [entry, added] = servers_.try_emplace(instance.id_, instance, counts_);
        if (!added) {
            return wrongField("id", instance.id_, "a different id for each instance");
        }
        BOOST_LEAF_CHECK(entry->second.start());
    }
    constexpr int ControlWorkers = 4;
    BOOST_LEAF_AUTO(control, startServer(settings.control_, ControlWorkers, this,
                                         &ServiceProcess::handleControl));
    control_.emplace(std::move(control));
    return {};
}

std::uint16_t ServiceProcess::instancePort(const std::string &id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? std::uint16_t {0} : found->second.port();
}

void ServiceProcess::handleControl(net::ServerExchange &exchange)
{
    if (exchange.path() != "/control") {
        respondError(exchange, 404, "not_found", "no such call");
        return;
    }
    answerOrRefuse(exchange, [&]() -> Result<void> {
        BOOST_LEAF_AUTO(body, readJson(exchange));
        if (exchange.method() == "POST") {
            BOOST_LEAF_CHECK(postControl(body));
        }
        respondJson(exchange, 200, show());
        return {};
    });
}

Result<void> ServiceProcess::postControl(const Json &body)
{
    const std::string name = body.is_object() ? body.value("instance", "") : "";
    const std::lock_guard guard(controlLock_);
    bool any = false;
    for (auto &[id, server] : servers_) {
        if (name == AllInstances || name == id) {
            BOOST_LEAF_CHECK(apply(server, body));
            any = true;
        }
    }
    if (!any) {
        return wrongField("instance", name, "the id of an instance of this process, or *");
    }
    return {};
}

Result<void> ServiceProcess::apply(ServiceServer &server, const Json &body)
{
    ServiceSettings settings = server.settings();
    BOOST_LEAF_CHECK(readFields(body, ServiceFields, settings, {"instance", "crash", "silence"}));
    server.setSettings(settings);
    if (body.value("silence", false)) {
        server.silence();
    }
    if (body.value("crash", false)) {
        server.crash();
    }
    return {};
}

Json ServiceProcess::show() const
{
    Json shown = counts_.show();
    Json &instances = shown["instances"] = Json::object();
    for (const auto &[id, server] : servers_) {
        instances[id] = showFields(ServiceFields, server.settings());
    }
    return shown;
}

} // namespace almondridge::standins
