#include "almondridge/gateway/stagekeeper.h"

#include "almondridge/base/log.h"

namespace almondridge::gateway {
namespace {

/** Between two looks at the plan. */
constexpr Duration PlanInterval = millis(500);
/** An order's connection must not outlive the right to give it. */
constexpr std::int64_t OrderConnectMillis = 300;
constexpr int Accepted = 202;
constexpr int Overtaken = 412;
constexpr int Conflict = 409;

} // namespace

StageKeeper::StageKeeper(async::EventLoop &loop, Gateway &gateway, const Dialect &dialect,
                         LeaderElection &leaderElection, StageKeeperSettings settings)
    : gateway_(gateway)
    , dialect_(dialect)
    , leaderElection_(leaderElection)
    , settings_(std::move(settings))
    , client_(loop)
    , planning_(loop)
{ }

StageKeeper::~StageKeeper() = default;

void StageKeeper::start()
{
    running_ = true;
    planAll();
}

void StageKeeper::stop()
{
    running_ = false;
    planning_.stop();
}

StagePlan &StageKeeper::planOf(const ServiceId &service)
{
    return plans_.try_emplace(service, settings_.plan_).first->second;
}

void StageKeeper::planAll()
{
    const TimePoint now = BootClock::now();
    planning_.startAt(now + PlanInterval, [this] { planAll(); });
    if (gateway_.config() == nullptr) {
        return;
    }
    for (const ServiceTraits &service : gateway_.config()->services()) {
        if (!service.engine_) {
            continue;
        }
        StagePlan &plan = planOf(service.id_);
        plan.watch(gateway_.endpoints(), service.id_,
                   gateway_.stageLoad(service.id_, settings_.demand_(service.id_)), now);
        if (!leaderElection_.lease()) {
            continue;
        }
        for (const StageChange &change :
             plan.plan(gateway_.endpoints(), service.id_, now, settings_.mayLeave_)) {
            logEvent(LogLevel::Info, "stage_change",
                     {{"engine", change.engine_.value()},
                      {"stage", nameOf(StageNames, change.stage_)},
                      {"readers_busy", plan.peak().readers_},
                      {"generators_busy", plan.peak().generators_}});
            readEngine(service.id_, change);
        }
    }
}

/** One call to an engine; status 0: no whole answer came. */
void StageKeeper::ask(const EndpointId &engine, std::string text,
                      const std::function<void(int, const std::string &)> &done)
{
    async::ExchangeRequest request;
    request.peer_ = engine.value();
    request.address_ = gateway_.endpoints().find(engine)->listed_.address_;
    request.text_ = std::move(text);
    request.connectBy_ = BootClock::now() + millis(OrderConnectMillis);
    client_.start(std::move(request),
                  async::gatherAnswer([done](const async::ExchangeResult &result) {
                      done(result.failure_ ? 0 : result.status_, result.body_);
                  }));
}

/** How many orders the engine took is only known from itself, and an order has to name it. */
void StageKeeper::readEngine(const ServiceId &service, const StageChange &change)
{
    const Endpoint *engine = gateway_.endpoints().find(change.engine_);
    ask(change.engine_, dialect_.serializeStatusQuery(engine->listed_.address_),
        [this, service, change](int, const std::string &body) {
            const auto report = dialect_.parseEngineStatus(body);
            if (report) {
                learnStart(change.engine_, *report);
            }
            const bool fits = report && !report->changing_ && report->stage_ != change.stage_;
            if (!fits) {
                logEvent(LogLevel::Info, "order_not_given",
                         {{"engine", change.engine_.value()},
                          {"why", report ? "changing-or-changed" : "unreadable"}});
                planOf(service).onRefused(change.engine_, BootClock::now());
                return;
            }
            give(service, change, *report);
        });
}

/** The engine itself tells of a restart before its entry does. */
void StageKeeper::learnStart(const EndpointId &id, const EngineStatus &report)
{
    const Endpoint *engine = gateway_.endpoints().find(id);
    if (engine != nullptr && engine->listedNow_
        && report.startedAtMillis_ > engine->listed_.startedAtMillis_) {
        ListedEndpoint listed = engine->listed_;
        listed.startedAtMillis_ = report.startedAtMillis_;
        gateway_.listEndpoint(listed);
    }
}

void StageKeeper::give(const ServiceId &service, const StageChange &change,
                       const EngineStatus &report)
{
    // Asked again here: the right may have lapsed while the engine was read.
    const auto lease = leaderElection_.lease();
    const Endpoint *engine = gateway_.endpoints().find(change.engine_);
    if (!lease || engine == nullptr || !running_) {
        return;
    }
    ++orders_;
    logEvent(LogLevel::Info, "order",
             {{"engine", change.engine_.value()},
              {"stage", nameOf(StageNames, change.stage_)},
              {"fence", lease->fence_},
              {"expect", report.orders_}});
    const StageOrder order {engine->listed_.address_,    change.engine_, change.stage_,
                            settings_.instance_.value(), lease->fence_,  report.orders_};
    // Without an answer it may still be carried out; the number of orders that it expects makes
    // it harmless then.
    ask(change.engine_, dialect_.serializeOrder(order),
        [this, service, id = change.engine_](int status, const std::string &) {
            onOrderAnswer(service, id, status);
        });
}

void StageKeeper::onOrderAnswer(const ServiceId &service, const EndpointId &engine, int status)
{
    logEvent(LogLevel::Info, "order_answer", {{"engine", engine.value()}, {"status", status}});
    const TimePoint now = BootClock::now();
    if (status == Accepted) {
        onTaken(service, engine, now);
    }
    if (status == Overtaken) {
        leaderElection_.onHigherFenceSeen();
    }
    if (status == Overtaken || status == Conflict) {
        planOf(service).onRefused(engine, now);
    }
}

/** Until the engine is back, or its entry tells of its new stage, it refuses requests. */
void StageKeeper::onTaken(const ServiceId &service, const EndpointId &engine, TimePoint now)
{
    const ServiceTraits *traits = gateway_.config()->service(service);
    if (traits == nullptr || !traits->engine_) {
        return;
    }
    const TimePoint until = now + millis(traits->engine_->stageChangeMillis_);
    gateway_.endpoints().onChanging(engine, until);
    settings_.onOrder_(engine, until);
}

} // namespace almondridge::gateway
