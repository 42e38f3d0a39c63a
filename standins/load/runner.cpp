#include "load/runner.h"

#include "almondridge/base/log.h"
#include "almondridge/net/httpcall.h"
#include "load/modelcall.h"
#include "load/servicecall.h"

#include <cstdio>

namespace almondridge::standins {
namespace {

constexpr Duration ProgressEvery = std::chrono::seconds(1);
constexpr Duration ControlTime = std::chrono::seconds(30);

Json toJson(const PlannedCall &call, const CallResult &result)
{
    return {{"id", call.id_},
            {"kind", nameOf(CallKindNames, call.kind_)},
            {"phase", call.phase_},
            {"at_s", call.atSeconds_},
            {"model", call.model_},
            {"prompt_tokens", call.prefixTokens_ + call.ownTokens_},
            {"output_tokens", call.outputTokens_},
            {"outcome", nameOf(CallOutcomeNames, result.outcome_)},
            {"status", result.status_},
            {"tokens", result.tokens_},
            {"late", result.late_},
            {"first_token_ms", result.firstTokenMillis_},
            {"total_ms", result.totalMillis_},
            {"entry", result.entry_},
            {"resumes", result.resumes_},
            {"failovers", result.failovers_},
            {"repetitions", result.repetitions_},
            {"not_run_after_unknown", result.notRunAfterUnknown_},
            {"detail", result.detail_}};
}

Result<Json> readControl(const net::Address &address)
{
    net::Request request;
    request.path_ = "/control";
    BOOST_LEAF_AUTO(response, net::httpCall(address, request, BootClock::now() + ControlTime));
    return Json::parse(response.body_, nullptr, false);
}

} // namespace

Runner::Runner(LoadOptions options)
    : options_(std::move(options))
    , client_(options_)
    , plan_(options_)
    , statistics_(options_.phases_)
{ }

Runner::~Runner()
{
    joinAll();
}

Result<Json> Runner::run()
{
    if (!options_.outFile_.empty()) {
        out_.open(options_.outFile_);
        if (!out_) {
            return fail(ErrorKind::NotFound, "cannot write '" + options_.outFile_ + "'",
                        "name a file in a directory that exists");
        }
    }
    start_ = BootClock::now();
    if (!options_.quiet_) {
        progress_ = std::thread([this] { printProgress(); });
    }
    dispatchAll();
    joinAll();
    Json summary = statistics_.show();
    summary["seed"] = options_.seed_;
    summary["run"] = options_.runName_;
    if (!options_.serviceControls_.empty()) {
        summary["service"] = checkServices();
    }
    return summary;
}

void Runner::dispatchAll()
{
    while (const std::optional<PlannedCall> call = plan_.next()) {
        const TimePoint planned =
            start_
            + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(call->atSeconds_));
        const Duration wait = planned - BootClock::now();
        if (wait > Duration::zero()) {
            std::this_thread::sleep_for(wait);
        }
        if (!dispatch({*call, planned})) {
            statistics_.addClientLimited(*call);
        }
    }
}

bool Runner::dispatch(Dispatch dispatch)
{
    const std::lock_guard guard(lock_);
    if (inFlight_ >= options_.maxInFlight_) {
        return false;
    }
    ++inFlight_;
    queue_.push_back(std::move(dispatch));
    if (static_cast<int>(queue_.size()) > idle_) {
        workers_.emplace_back([this] { work(); });
    }
    queued_.notify_one();
    return true;
}

void Runner::work()
{
    while (const std::optional<Dispatch> dispatch = takeDispatch()) {
        perform(*dispatch);
        const std::lock_guard guard(lock_);
        --inFlight_;
    }
}

std::optional<Runner::Dispatch> Runner::takeDispatch()
{
    std::unique_lock guard(lock_);
    ++idle_;
    queued_.wait(guard, [&] { return !queue_.empty() || dispatched_; });
    --idle_;
    if (queue_.empty()) {
        return std::nullopt;
    }
    Dispatch dispatch = std::move(queue_.front());
    queue_.pop_front();
    return dispatch;
}

void Runner::perform(const Dispatch &dispatch)
{
    if (dispatch.call_.kind_ == CallKind::Service) {
        record(dispatch, ServiceCall(client_, dispatch.call_, dispatch.planned_).run());
    } else {
        record(dispatch, ModelCall(client_, dispatch.call_, dispatch.planned_).run());
    }
}

void Runner::record(const Dispatch &dispatch, const CallResult &result)
{
    statistics_.add(dispatch.call_, result);
    const std::lock_guard guard(recordLock_);
    if (out_.is_open()) {
        out_ << toJson(dispatch.call_, result).dump() << '\n';
    }
    if (dispatch.call_.kind_ == CallKind::Service) {
        claims_[dispatch.call_.id_] = {result.outcome_, result.notRunAfterUnknown_};
    }
}

void Runner::printProgress()
{
    std::unique_lock guard(lock_);
    while (!ended_.wait_for(guard, ProgressEvery, [&] { return over_; })) {
        const int inFlight = inFlight_;
        guard.unlock();
        const std::string line = statistics_.progressLine(secondsSinceStart(), inFlight);
        std::fprintf(stderr, "%s\n", line.c_str());
        guard.lock();
    }
}

void Runner::joinAll()
{
    {
        const std::lock_guard guard(lock_);
        dispatched_ = true;
    }
    queued_.notify_all();
    for (std::thread &worker : workers_) {
        worker.join();
    }
    workers_.clear();
    {
        const std::lock_guard guard(lock_);
        over_ = true;
    }
    ended_.notify_all();
    if (progress_.joinable()) {
        progress_.join();
    }
}

Json Runner::checkServices()
{
    RunsById runs;
    for (const net::Address &address : options_.serviceControls_) {
        const auto control = capture([&] { return readControl(address); });
        if (const Error *const error = std::get_if<Error>(&control)) {
            return {{"failed", describe(*error)}};
        }
        addRuns(std::get<Json>(control), runs);
    }
    return standins::toJson(checkService(claims_, runs));
}

double Runner::secondsSinceStart() const
{
    return toSeconds(BootClock::now() - start_);
}

} // namespace almondridge::standins
