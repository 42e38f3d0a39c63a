#include "almondridge/gateway/stagecontroller.h"

#include "almondridge/base/log.h"

namespace almondridge::gateway {
namespace {

/** Interval between two evaluations of the plan. */
constexpr Duration PlanInterval = millis(500);
/**
 * Limits how long connecting for an order may take, so that the connection does not outlive the
 * right to give the order.
 */
constexpr std::int64_t OrderConnectMillis = 300;
constexpr std::size_t MaxAnswerBytes = 65'536;
constexpr int Accepted = 202;
constexpr int StaleFence = 412;
constexpr int Conflict = 409;
/** Why an order was not given: the engine admits no request of this instance now. */
constexpr std::string_view HeldBack = "held-back";

} // namespace

StageController::StageController(async::EventLoop &loop, Gateway &gateway, const Dialect &dialect,
                                 LeaderElection &leaderElection, StageControllerSettings settings)
    : gateway_(gateway)
    , dialect_(dialect)
    , leaderElection_(leaderElection)
    , settings_(std::move(settings))
    , client_(loop)
    , planTimer_(loop)
{ }

StageController::~StageController() = default;

void StageController::start()
{
    running_ = true;
    planAll();
}

void StageController::stop()
{
    running_ = false;
    planTimer_.stop();
}

StagePlan &StageController::planOf(const ServiceId &service)
{
    return plans_.try_emplace(service, settings_.plan_).first->second;
}

void StageController::planAll()
{
    const TimePoint now = BootClock::now();
    planTimer_.startAt(now + PlanInterval, [this] { planAll(); });
    if (gateway_.config() == nullptr) {
        return;
    }
    for (const ServiceTraits &service : gateway_.config()->services()) {
        if (!service.engine_) {
            continue;
        }
        StagePlan &plan = planOf(service.id_);
        plan.observe(gateway_.endpoints(), service.id_,
                     gateway_.stageLoad(service.id_, settings_.demand_(service.id_)), now);
        if (!leaderElection_.lease()) {
            continue;
        }
        for (const StageChange &change :
             plan.plan(gateway_.endpoints(), service.id_, now, settings_.mayBeReleased_)) {
            logEvent(LogLevel::Info, "stage_change",
                     {{"engine", change.engine_.value()},
                      {"stage", nameOf(StageNames, change.stage_)},
                      {"readers_busy", plan.peak().prefill_},
                      {"generators_busy", plan.peak().decode_}});
            fetchReport(service.id_, change);
        }
    }
}

/**
 * Sends one request to an engine; false if the engine doesn't admit it now. done gets status 0 if
 * no complete answer came.
 */
bool StageController::sendRequest(const EndpointId &engine, RequestPath path, std::string text,
                                  const std::function<void(int, const std::string &)> &done)
{
    if (!gateway_.admitOwnRequest(engine, path)) {
        return false;
    }
    async::ExchangeRequest request;
    request.peer_ = engine.value();
    request.address_ = gateway_.endpoints().find(engine)->listed_.address_;
    request.text_ = std::move(text);
    request.connectBy_ = BootClock::now() + millis(OrderConnectMillis);
    request.maxBodyBytes_ = MaxAnswerBytes;
    const auto onResult = [done](const async::ExchangeResult &result) {
        done(result.failure_ ? 0 : result.status_, result.body_);
    };
    client_.start(std::move(request), gateway_.observed(engine, async::gatherAnswer(onResult)));
    return true;
}

/**
 * An order has to state how many orders the engine has accepted so far, which only the engine
 * itself knows.
 */
void StageController::fetchReport(const ServiceId &service, const StageChange &change)
{
    const Endpoint *engine = gateway_.endpoints().find(change.engine_);
    const auto onStatus = [this, service, change](int, const std::string &body) {
        const auto report = dialect_.parseEngineStatus(body);
        if (report) {
            updateStartTime(change.engine_, *report);
        }
        if (!report || report->changing_ || report->stage_ == change.stage_) {
            onNotGiven(service, change.engine_, report ? "changing-or-changed" : "unreadable");
            return;
        }
        sendOrder(service, change, *report);
    };
    if (!sendRequest(change.engine_, RequestPath::StatusQuery,
                     dialect_.serializeStatusQuery(engine->listed_.address_), onStatus)) {
        onNotGiven(service, change.engine_, HeldBack);
    }
}

void StageController::onNotGiven(const ServiceId &service, const EndpointId &engine,
                                 std::string_view why)
{
    logEvent(LogLevel::Info, "order_not_given", {{"engine", engine.value()}, {"why", why}});
    planOf(service).onRefused(engine, BootClock::now());
}

/** The engine's report may show a restart before its list entry does. */
void StageController::updateStartTime(const EndpointId &id, const EngineStatus &report)
{
    const Endpoint *engine = gateway_.endpoints().find(id);
    if (engine != nullptr && engine->isListed_
        && report.startedAtMillis_ > engine->listed_.startedAtMillis_) {
        gateway_.listEndpoint(restartedEntry(engine->listed_, report.startedAtMillis_));
    }
}

void StageController::sendOrder(const ServiceId &service, const StageChange &change,
                                const EngineStatus &report)
{
    // Checked again because the right may have lapsed during the request for the report.
    const auto lease = leaderElection_.lease();
    const Endpoint *engine = gateway_.endpoints().find(change.engine_);
    if (!lease || engine == nullptr || !running_) {
        return;
    }
    const StageOrder order {engine->listed_.address_,    change.engine_, change.stage_,
                            settings_.instance_.value(), lease->fence_,  report.orders_};
    // An order without an answer may still be carried out later. The expected number of orders in
    // it makes a late or repeated execution harmless.
    const auto onAnswer = [this, service, id = change.engine_](int status, const std::string &) {
        onOrderAnswer(service, id, status);
    };
    if (!sendRequest(change.engine_, RequestPath::Order, dialect_.serializeOrder(order),
                     onAnswer)) {
        onNotGiven(service, change.engine_, HeldBack);
        return;
    }
    ++orders_;
    logEvent(LogLevel::Info, "order",
             {{"engine", change.engine_.value()},
              {"stage", nameOf(StageNames, change.stage_)},
              {"fence", lease->fence_},
              {"expect", report.orders_}});
}

void StageController::onOrderAnswer(const ServiceId &service, const EndpointId &engine, int status)
{
    logEvent(LogLevel::Info, "order_answer", {{"engine", engine.value()}, {"status", status}});
    const TimePoint now = BootClock::now();
    if (status == Accepted) {
        onAccepted(service, engine, now);
    }
    if (status == StaleFence) {
        leaderElection_.onHigherFenceSeen();
    }
    if (status == StaleFence || status == Conflict) {
        planOf(service).onRefused(engine, now);
    }
}

/**
 * The engine refuses requests until it has changed, or until its list entry shows the new stage.
 */
void StageController::onAccepted(const ServiceId &service, const EndpointId &engine, TimePoint now)
{
    const ServiceTraits *traits = gateway_.config()->service(service);
    if (traits == nullptr || !traits->engine_) {
        return;
    }
    const TimePoint until = now + millis(traits->engine_->stageChangeMillis_);
    gateway_.endpoints().onChanging(engine, until);
    settings_.onOrderAccepted_(engine, until);
}

} // namespace almondridge::gateway
