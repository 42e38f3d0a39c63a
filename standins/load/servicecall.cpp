#include "load/servicecall.h"

#include "common/fieldtable.h"

#include <thread>

namespace almondridge::standins {
namespace {

constexpr int Ok = 200;
constexpr std::size_t MaxAnswerBytes = std::size_t {1'024} * 1'024;
constexpr Duration PauseBetweenAttempts = std::chrono::milliseconds(300);

bool endIsOpen(CallOutcome outcome)
{
    return outcome == CallOutcome::Unknown || outcome == CallOutcome::Lost
           || outcome == CallOutcome::Unreached;
}

} // namespace

ServiceCall::ServiceCall(const EntryClient &client, const PlannedCall &call, TimePoint planned)
    : client_(client)
    , call_(call)
    , planned_(planned)
    , patienceEnds_(planned + millis(client.options().patienceInMillis_))
    , plannedWallMillis_(wallMillis() - toMillis(BootClock::now() - planned))
{ }

CallResult ServiceCall::run()
{
    const LoadOptions &options = client_.options();
    const int repeats = options.keyKind_ == KeyKind::None ? 0 : options.serviceRepeats_;
    result_.outcome_ = ask(call_.firstEntry_, 1);
    while (endIsOpen(result_.outcome_) && result_.repetitions_ < repeats
           && BootClock::now() < patienceEnds_) {
        std::this_thread::sleep_for(PauseBetweenAttempts);
        ++result_.repetitions_;
        combine(ask(entry_ + 1, result_.repetitions_ + 1));
    }
    result_.totalMillis_ =
        std::chrono::duration<double, std::milli>(BootClock::now() - planned_).count();
    result_.entry_ = client_.nameOfEntry(entry_);
    result_.late_ = options.deadlineInMillis_ > 0 && result_.outcome_ == CallOutcome::Whole
                    && result_.totalMillis_ > static_cast<double>(options.deadlineInMillis_);
    return std::move(result_);
}

void ServiceCall::combine(CallOutcome latest)
{
    if (result_.outcome_ == CallOutcome::Unreached) {
        result_.outcome_ = latest;
        return;
    }
    if (latest == CallOutcome::Unreached) {
        return;
    }
    // With a claimed key, not-run speaks of the repetition alone: the first attempt may have run.
    // A numbered repetition only looks up, so its not-run speaks of the request.
    if (latest == CallOutcome::NotRun && client_.options().keyKind_ == KeyKind::Claimed) {
        result_.notRunAfterUnknown_ = true;
        return;
    }
    result_.outcome_ = latest;
}

net::Request ServiceCall::request(int attempt) const
{
    net::Request request;
    request.method_ = "POST";
    request.path_ = client_.options().servicePath_ + "/confirm/" + call_.id_;
    request.headers_ = client_.commonHeaders(call_, plannedWallMillis_);
    request.body_ = Json {{"confirm", call_.id_}}.dump();
    if (client_.options().keyKind_ != KeyKind::None) {
        request.headers_.push_back({"Idempotency-Key", call_.id_});
    }
    if (client_.options().keyKind_ == KeyKind::Numbered) {
        request.headers_.push_back({"X-Attempt", std::to_string(attempt)});
    }
    return request;
}

CallOutcome ServiceCall::ask(std::size_t entry, int attempt)
{
    entry_ = entry;
    return tryOr([&] { return exchange(entry, attempt); },
                 [&](const Error &error) {
                     result_.detail_ = describe(error);
                     return outcomeOf(error);
                 });
}

Result<CallOutcome> ServiceCall::exchange(std::size_t entry, int attempt)
{
    BOOST_LEAF_AUTO(open, client_.open(request(attempt), entry, patienceEnds_, result_.failovers_));
    entry_ = open.entry_;
    BOOST_LEAF_AUTO(head, open.exchange_.readHead(patienceEnds_));
    BOOST_LEAF_AUTO(text, open.exchange_.readRest(patienceEnds_, MaxAnswerBytes));
    result_.status_ = head.status_;
    result_.detail_ = head.status_ == Ok ? "" : text;
    if (head.status_ != Ok) {
        return outcomeOf({head.status_, head.headers_, text});
    }
    const Json body = Json::parse(text, nullptr, false);
    const std::string path = body.is_object() ? body.value("path", "") : "";
    if (!path.ends_with("/" + call_.id_)) {
        result_.detail_ = "the answer of another request: " + text;
        return CallOutcome::Wrong;
    }
    return CallOutcome::Whole;
}

} // namespace almondridge::standins
