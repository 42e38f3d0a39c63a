#include "engine/engineprocess.h"

#include "common/jsonhttp.h"
#include "common/startserver.h"

namespace almondridge::standins {
namespace {

constexpr std::string_view AllEngines = "*";

Json showOrders(const std::vector<LoggedOrder> &orders)
{
    Json log = Json::array();
    for (const LoggedOrder &entry : orders) {
        log.push_back({{"fence", entry.order_.fence_},
                       {"sequence", entry.order_.sequence_},
                       {"holder", entry.order_.holder_},
                       {"target", toJson(entry.order_.target_)},
                       {"wall_ms", entry.wallMillis_},
                       {"accepted", entry.verdict_ == OrderVerdict::Accepted},
                       {"stale", entry.stale_}});
    }
    return log;
}

void showRuns(const std::map<std::string, RunRecord> &records, Json &shown)
{
    Json &runs = shown["runs"] = Json::object();
    Json &tokens = shown["run_tokens"] = Json::object();
    for (const auto &[attempt, record] : records) {
        runs[attempt] = record.runs_;
        tokens[attempt] = {{"produced", record.producedTokens_}, {"wasted", record.wastedTokens_}};
    }
}

} // namespace

EngineProcess::EngineProcess(const ProcessSettings &settings)
    : loader_(settings.weights_)
{ }

EngineProcess::~EngineProcess()
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

Result<std::unique_ptr<EngineProcess>> EngineProcess::start(const ProcessSettings &settings)
{
    std::unique_ptr<EngineProcess> process(new EngineProcess(settings));
    BOOST_LEAF_CHECK(process->run(settings));
    return process;
}

Result<void> EngineProcess::run(const ProcessSettings &settings)
{
    std::vector<std::vector<Engine *>> shards(static_cast<std::size_t>(settings.shards_));
    std::vector<Scheduler *> schedulers;
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
        schedulers.push_back(&schedulers_.emplace_back());
    }
    std::size_t shard = 0;
    for (const EngineSettings &engine : settings.engines_) {
        Scheduler *const scheduler = schedulers[shard];
        const auto [entry, added] =
            engines_.try_emplace(engine.id_, engine, [scheduler] { scheduler->wake(); });
        if (!added) {
            return wrongField("id", engine.id_, "a different id for each engine");
        }
        shards[shard].push_back(&entry->second);
        shard = (shard + 1) % shards.size();
        const auto server = servers_.try_emplace(engine.id_, entry->second, loader_).first;
        BOOST_LEAF_CHECK(server->second.start());
    }
    for (std::size_t index = 0; index < shards.size(); ++index) {
        schedulers[index]->start(std::move(shards[index]));
    }
    constexpr int ControlWorkers = 4;
    BOOST_LEAF_AUTO(control, startServer(settings.control_, ControlWorkers, this,
                                         &EngineProcess::handleControl));
    control_.emplace(std::move(control));
    return {};
}

std::uint16_t EngineProcess::enginePort(const std::string &id) const
{
    const auto found = servers_.find(id);
    return found == servers_.end() ? std::uint16_t {0} : found->second.port();
}

void EngineProcess::handleControl(net::ServerExchange &exchange)
{
    if (exchange.path() != "/control") {
        respondError(exchange, 404, "not_found", "no such call");
    } else if (exchange.method() == "POST") {
        answerOrRefuse(exchange, [&] { return postControl(exchange); });
    } else {
        getControl(exchange);
    }
}

Result<void> EngineProcess::postControl(net::ServerExchange &exchange)
{
    BOOST_LEAF_AUTO(body, readJson(exchange));
    const std::string name = body.is_object() ? body.value("engine", "") : "";
    const std::lock_guard guard(controlLock_);
    const std::vector<EngineServer *> servers = named(name);
    if (servers.empty()) {
        return wrongField("engine", name, "the id of an engine of this process, or *");
    }
    Json shown = Json::object();
    for (EngineServer *const server : servers) {
        BOOST_LEAF_CHECK(apply(*server, body));
        Json settings = show(*server, false);
        const std::string id = settings["id"];
        shown[id] = std::move(settings);
    }
    respondJson(exchange, 200, {{"engines", shown}});
    return {};
}

void EngineProcess::getControl(net::ServerExchange &exchange)
{
    const std::string name = exchange.queryValue("engine");
    const std::vector<EngineServer *> servers =
        named(name.empty() ? std::string(AllEngines) : name);
    if (servers.empty()) {
        respondError(exchange, 404, "not_found", "no such engine");
        return;
    }
    Json shown = Json::object();
    for (EngineServer *const server : servers) {
        Json settings = show(*server, !name.empty());
        const std::string id = settings["id"];
        shown[id] = std::move(settings);
    }
    respondJson(exchange, 200, {{"engines", shown}});
}

std::vector<EngineServer *> EngineProcess::named(const std::string &name)
{
    std::vector<EngineServer *> servers;
    for (auto &[id, server] : servers_) {
        if (name == AllEngines || name == id) {
            servers.push_back(&server);
        }
    }
    return servers;
}

Result<void> EngineProcess::apply(EngineServer &server, const Json &body)
{
    BOOST_LEAF_CHECK(server.engine().change([&](EngineCore &core) -> Result<void> {
        EngineSettings settings = core.settings();
        BOOST_LEAF_CHECK(
            readFields(body, EngineFields, settings, {"engine", "crash", "silence", "withdrawn"}));
        BOOST_LEAF_CHECK(checkSettings(settings));
        core.setSettings(settings);
        return {};
    }));
    server.setAnswerDelay(server.engine().look(
        [](const EngineCore &core) { return core.settings().answerDelayInMillis_; }));
    if (body.value("silence", false)) {
        server.silence();
    }
    const Json crash = body.value("crash", Json(false));
    if (crash == true || crash == "unclear") {
        server.crash(crash == "unclear");
    }
    if (body.contains("withdrawn")) {
        bool withdrawn = false;
        BOOST_LEAF_CHECK(readValue("withdrawn", body["withdrawn"], withdrawn));
        BOOST_LEAF_CHECK(server.setWithdrawn(withdrawn));
    }
    return {};
}

Json EngineProcess::show(EngineServer &server, bool whole)
{
    Json shown = server.engine().look([&](const EngineCore &core) {
        Json settings = showFields(EngineFields, core.settings());
        settings["id"] = core.settings().id_;
        settings.update(showFields(CounterFields, core.counters()));
        if (whole) {
            showRuns(core.runs(), settings);
            settings["order_log"] = showOrders(core.orderLog());
        }
        return settings;
    });
    shown["withdrawn"] = server.withdrawn();
    return shown;
}

} // namespace almondridge::standins
