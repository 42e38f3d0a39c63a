#include "adminapi.h"

#include "almondridge/fleet/fleetfile.h"
#include "jsonanswers.h"
#include "peerlinks.h"

#include <openssl/crypto.h>

namespace almondridge::app {
namespace {

constexpr std::size_t MaxFleetBytes = 16 << 20;
constexpr std::int64_t ReadTimeoutMillis = 10'000;
constexpr std::int64_t ApplyTimeoutMillis = 10'000;
constexpr std::int64_t RequestAllTimeoutMillis = 2'000;

nlohmann::json changesJson(const std::vector<fleet::FleetChange> &changes)
{
    nlohmann::json list = nlohmann::json::array();
    for (const fleet::FleetChange &change : changes) {
        list.push_back(
            {{"path", change.path_}, {"before", change.before_}, {"after", change.after_}});
    }
    return list;
}

/** The state that fleet configures for engine, as far as engine orders depend on it. */
nlohmann::json configuredTarget(const fleet::Fleet &fleet, const fleet::Endpoint &engine)
{
    const auto model = fleet.models_.find(engine.model_);
    nlohmann::json adapters = nlohmann::json::array();
    std::string version;
    if (model != fleet.models_.end()) {
        version = model->second.version_;
        for (const fleet::Adapter &adapter : model->second.adapters_) {
            adapters.push_back(adapter.id_.value() + "@" + adapter.version_);
        }
    }
    return {{"model", engine.model_.value()},
            {"version", version},
            {"adapters", adapters},
            {"role", nameOf(fleet::EngineRoleNames, engine.role_)},
            {"admit", !engine.leaving_}};
}

/** The orders, one per engine, that replacing fleet file before by after causes. */
nlohmann::json ordersJson(const fleet::Fleet &before, const fleet::Fleet &after)
{
    nlohmann::json orders = nlohmann::json::array();
    for (const auto &[id, engine] : after.endpoints_) {
        if (engine.kind_ != fleet::EndpointKind::Engine) {
            continue;
        }
        const auto old = before.endpoints_.find(id);
        const nlohmann::json target = configuredTarget(after, engine);
        if (old == before.endpoints_.end() || configuredTarget(before, old->second) != target) {
            orders.push_back({{"engine", id.value()}, {"target", target}});
        }
    }
    return orders;
}

const fleet::Fleet &fleetOrEmpty(const control::AcceptedFleet &accepted)
{
    static const fleet::Fleet empty;
    return accepted.fleet_ ? *accepted.fleet_ : empty;
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

struct AdminApi::Call
{
    std::string_view method_;
    std::string_view path_;
    void (AdminApi::*answer_)(net::ServerExchange &);
};

const std::array<AdminApi::Call, 5> AdminApi::Calls {{
    {"GET", "/admin/fleet", &AdminApi::showFleet},
    {"POST", "/admin/review", &AdminApi::review},
    {"POST", "/admin/apply", &AdminApi::apply},
    {"GET", "/admin/status", &AdminApi::showStatus},
    {"GET", "/admin/timeline", &AdminApi::showTimeline},
}};

AdminApi::AdminApi(const fleet::Settings &settings, control::ControlLog &log,
                   peers::PeerExchange &peers, observe::Timeline &timeline,
                   std::function<nlohmann::json()> status)
    : settings_(settings)
    , log_(log)
    , peers_(peers)
    , timeline_(timeline)
    , status_(std::move(status))
{ }

bool AdminApi::handle(net::ServerExchange &exchange)
{
    if (!exchange.path().starts_with("/admin/")) {
        return false;
    }
    if (!authorized(exchange)) {
        answerError(exchange, 401,
                    {ErrorKind::Unauthorized, "the operator's key is missing or wrong",
                     "send 'Authorization: Bearer KEY' with operatorKey of the settings"});
        return true;
    }
    bool pathKnown = false;
    for (const Call &call : Calls) {
        pathKnown = pathKnown || call.path_ == exchange.path();
        if (call.path_ == exchange.path() && call.method_ == exchange.method()) {
            (this->*call.answer_)(exchange);
            return true;
        }
    }
    const Error error {ErrorKind::NotFound, "no such call", "see docs/PROTOCOLS.md"};
    answerError(exchange, pathKnown ? 405 : 404, error);
    return true;
}

bool AdminApi::authorized(const net::ServerExchange &exchange) const
{
    constexpr std::string_view Scheme = "Bearer ";
    std::string_view given = exchange.header("Authorization");
    if (settings_.operatorKey_.empty() || !given.starts_with(Scheme)) {
        return false;
    }
    given.remove_prefix(Scheme.size());
    return equalInConstantTime(given, settings_.operatorKey_);
}

nlohmann::json AdminApi::readJson(net::ServerExchange &exchange) const
{
    const auto body = capture([&] {
        return exchange.readBody(MaxFleetBytes, BootClock::now() + millis(ReadTimeoutMillis));
    });
    if (body.index() == 1) {
        answerError(exchange, 400, std::get<Error>(body));
        return nullptr;
    }
    nlohmann::json json = nlohmann::json::parse(std::get<0>(body), nullptr, false);
    if (!json.is_object()) {
        answerError(exchange, 400,
                    {ErrorKind::InvalidInput, "the body is no JSON object",
                     "send a JSON object as docs/PROTOCOLS.md shows"});
        return nullptr;
    }
    return json;
}

void AdminApi::showFleet(net::ServerExchange &exchange)
{
    const control::AcceptedFleet accepted = log_.fleet();
    answerJson(exchange, 200,
               {{"revision", accepted.revision_},
                {"operator", accepted.operator_},
                {"fleet", accepted.text_}});
}

void AdminApi::review(net::ServerExchange &exchange)
{
    const nlohmann::json body = readJson(exchange);
    if (body.is_null()) {
        return;
    }
    const auto parsed = capture([&] { return fleet::parseFleet(body.value("fleet", "")); });
    if (parsed.index() == 1) {
        answerError(exchange, 422, std::get<Error>(parsed));
        return;
    }
    const control::AcceptedFleet accepted = log_.fleet();
    const fleet::Fleet &before = fleetOrEmpty(accepted);
    const fleet::Fleet &after = std::get<0>(parsed);
    answerJson(exchange, 200,
               {{"base", accepted.revision_},
                {"changes", changesJson(fleet::diffFleets(before, after))},
                {"orders", ordersJson(before, after)}});
}

void AdminApi::apply(net::ServerExchange &exchange)
{
    const nlohmann::json body = readJson(exchange);
    if (body.is_null()) {
        return;
    }
    const auto parsed = capture([&] { return fleet::parseFleet(body.value("fleet", "")); });
    if (parsed.index() == 1) {
        answerError(exchange, 422, std::get<Error>(parsed));
        return;
    }
    const bool complete = body.contains("base") && body["base"].is_number_unsigned()
                          && body.contains("apply_id") && body["apply_id"].is_string()
                          && !body["apply_id"].get<std::string>().empty();
    if (!complete) {
        answerError(exchange, 400,
                    {ErrorKind::InvalidInput, "base or apply_id is missing",
                     "send the reviewed base revision and an apply_id of your own"});
        return;
    }
    control::ApplyRecord record;
    record.base_ = body["base"].get<Revision>();
    record.fleetText_ = body["fleet"].get<std::string>();
    record.operator_ = body.value("operator", "");
    record.applyId_ = body["apply_id"].get<std::string>();
    const auto verdict =
        capture([&] { return log_.append(record, BootClock::now() + millis(ApplyTimeoutMillis)); });
    if (verdict.index() == 1) {
        const Error &error = std::get<Error>(verdict);
        const bool unknown = error.kind_ == ErrorKind::Interrupted;
        answerError(exchange, 503, error, unknown ? "unknown" : "not-run");
        return;
    }
    respondToAppend(exchange, std::get<0>(verdict), std::get<0>(parsed));
}

void AdminApi::respondToAppend(net::ServerExchange &exchange, const control::AppendVerdict &verdict,
                               const fleet::Fleet &wanted)
{
    if (verdict.verdict_ == control::Verdict::Accepted
        || verdict.verdict_ == control::Verdict::Duplicate) {
        answerJson(exchange, 200, {{"revision", verdict.offset_}});
        return;
    }
    const control::AcceptedFleet winner = log_.fleet();
    const Error error {ErrorKind::Conflict, verdict.reason_,
                       "review against the revision in force and apply again"};
    nlohmann::json answer = errorJson(error, "not-run");
    answer["winner"] = {{"revision", winner.revision_}, {"operator", winner.operator_}};
    answer["changes"] = changesJson(fleet::diffFleets(fleetOrEmpty(winner), wanted));
    answerJson(exchange, 409, answer);
}

void AdminApi::showStatus(net::ServerExchange &exchange)
{
    nlohmann::json answer = status_();
    if (exchange.queryValue("all") == "1") {
        nlohmann::json others = nlohmann::json::array();
        const TimePoint deadline = BootClock::now() + millis(RequestAllTimeoutMillis);
        for (auto &[instance, status] :
             requestFromAll(peers_, StatusTopic, nlohmann::json::object(), deadline)) {
            others.push_back(std::move(status));
        }
        answer["others"] = std::move(others);
    }
    answerJson(exchange, 200, answer);
}

void AdminApi::showTimeline(net::ServerExchange &exchange)
{
    std::vector<std::vector<observe::Event>> perInstance {timeline_.events()};
    if (exchange.queryValue("all") == "1") {
        const TimePoint deadline = BootClock::now() + millis(RequestAllTimeoutMillis);
        for (const auto &[instance, answer] :
             requestFromAll(peers_, TimelineTopic, nlohmann::json::object(), deadline)) {
            perInstance.push_back(observe::eventsFromJson(answer.value("events", "[]")));
        }
    }
    exchange.respond(200, JsonType, observe::eventsToJson(observe::mergeEvents(perInstance)));
}

} // namespace almondridge::app
