#include "callers.h"

#include "endpointstandin.h"
#include "later.h"

#include <fmt/format.h>

namespace almondridge::soak {
namespace {

constexpr int PatienceMillis = 4'000;
/** Parts that prompts share, as their first one. */
constexpr std::uint64_t SharedParts = 20;
constexpr Duration ConnectTime = millis(1'000);
/** What cut a stream is known to instances by then. */
constexpr Duration RepeatAfter = millis(300);

/** A caller takes its stream up at once. */
constexpr Duration TakeUpAfter = millis(20);
/** After a refusal, or while no instance is ready. */
constexpr Duration TakeUpAgainAfter = millis(200);
/** It gives up a stream that has brought nothing for so long. */
constexpr Duration TakeUpTime = millis(4'000);
constexpr int MaxAttempts = 3;
/** An entry is proven 3 s after it was read, by a list that is confirmed about once a second. */
constexpr Duration VersionDoubtTime = millis(5'500);
/** One caller in so many loses its connection in the middle of a resumable stream. */
constexpr std::uint64_t CallersToOneThatLeaves = 8;

} // namespace

struct Callers::Asked
{
    std::string id_;
    Kind kind_ = Kind::Safe;
    InstanceProcess *instance_ = nullptr;
    int lifetime_ = 0;
    int status_ = 0;
    std::string body_;
    std::string sent_;
    std::string prompt_; ///< Headers that describe the prompt.
    bool isRepeat_ = false;
    std::string stream_;      ///< The request that began the stream.
    std::string version_;     ///< Of the stream's events so far.
    int next_ = 1;            ///< The event that comes next.
    int attempts_ = 1;        ///< To get the stream, without those that were refused.
    TimePoint begunAt_ {};    ///< When the stream was asked for first.
    TimePoint cutAt_ {};      ///< When its last attempt with events ended.
    bool wasRefused_ = false; ///< The attempt before was.
    bool isInDoubt_ = false;  ///< An instance that got it doubted the versions of endpoints.
    async::ExchangeId exchange_ = 0;
    bool leaves_ = false; ///< Closes its connection after the first event.
};

Callers::Callers(async::EventLoop &loop, Ledger &ledger,
                 std::vector<std::unique_ptr<InstanceProcess>> &instances, std::uint64_t seed)
    : loop_(loop)
    , ledger_(ledger)
    , instances_(instances)
    , client_(loop)
    , random_(seed)
    , seed_(seed)
{ }

std::vector<InstanceProcess *> Callers::readyInstances() const
{
    std::vector<InstanceProcess *> ready;
    for (const auto &instance : instances_) {
        if (instance->ready()) {
            ready.push_back(instance.get());
        }
    }
    return ready;
}

void Callers::sendCrashing()
{
    sendToCrash("crash", "5:700,6:200", std::string(CrashingBody));
}

void Callers::sendCrashingPart()
{
    const std::string parts =
        fmt::format("{:x}:500,{}:40,{:x}:200", random_() % SharedParts, CrashingPart, random_());
    sendToCrash("part", parts, fmt::format("body {}", next_));
}

void Callers::sendToCrash(std::string_view target, const std::string &parts,
                          const std::string &body)
{
    const std::vector<InstanceProcess *> ready = readyInstances();
    if (ready.empty()) {
        return;
    }
    InstanceProcess &instance = *ready[random_() % ready.size()];
    async::ExchangeRequest request;
    request.peer_ = fmt::format("{}.{}", instance.name(), instance.lifetime());
    request.address_ = instance.callers();
    request.text_ = fmt::format("POST /stream/{} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {:x}-c{}\r\n"
                                "X-Deadline-Ms: {}\r\nX-Model: m\r\nX-Token-Count: 900,8\r\n"
                                "X-Prefix-Hash: {}\r\nContent-Length: {}\r\n\r\n{}",
                                target, seed_, next_++, PatienceMillis, parts, body.size(), body);
    request.connectBy_ = BootClock::now() + ConnectTime;
    // Whatever becomes of it: the endpoints tell where it went.
    client_.start(std::move(request), async::gatherAnswer([](const async::ExchangeResult &) {}));
}

void Callers::sendRound()
{
    const std::vector<InstanceProcess *> ready = readyInstances();
    if (ready.empty()) {
        return;
    }
    for (const EnumName<Kind> &kind : KindNames) {
        send(kind.value_, *ready[random_() % ready.size()]);
    }
}

void Callers::send(Kind kind, InstanceProcess &instance, const std::string &repeated)
{
    auto asked = std::make_shared<Asked>();
    asked->id_ = fmt::format("{:x}-{}", seed_, next_++);
    asked->kind_ = kind;
    asked->instance_ = &instance;
    asked->lifetime_ = instance.lifetime();
    const bool prompt = kind == Kind::Stream || kind == Kind::ResumableStream;
    asked->isRepeat_ = !repeated.empty();
    const std::string fresh = kind == Kind::Safe ? "" : "body of " + asked->id_;
    const std::string body = asked->isRepeat_ ? repeated : fresh;
    asked->sent_ = body;
    asked->stream_ = asked->id_;
    asked->begunAt_ = BootClock::now();
    if (prompt) {
        asked->prompt_ = fmt::format("X-Model: m\r\nX-Token-Count: 900,8\r\n"
                                     "X-Prefix-Hash: {:x}:700,{:x}:200\r\n",
                                     random_() % SharedParts, random_());
    }
    send(asked, "");
}

void Callers::send(const std::shared_ptr<Asked> &asked, const std::string &headers)
{
    const std::string_view service = nameOf(KindNames, asked->kind_);
    std::string text = fmt::format("{} /{}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {}\r\n"
                                   "X-Deadline-Ms: {}\r\nContent-Length: {}\r\n",
                                   asked->kind_ == Kind::Safe ? "GET" : "POST", service, asked->id_,
                                   PatienceMillis, asked->sent_.size());
    async::ExchangeRequest request;
    request.peer_ = fmt::format("{}.{}", asked->instance_->name(), asked->lifetime_);
    request.address_ = asked->instance_->callers();
    request.text_ = text + asked->prompt_ + headers + "\r\n" + asked->sent_;
    request.connectBy_ = BootClock::now() + ConnectTime;
    ledger_.onSent(asked->id_, asked->kind_);
    asked->isInDoubt_ = asked->isInDoubt_ || doubtsVersions(*asked->instance_);
    ++open_;
    async::ExchangeEvents events;
    events.onHead_ = [asked](async::ResponseHead &head) { asked->status_ = head.status_; };
    asked->leaves_ = asked->kind_ == Kind::ResumableStream && asked->attempts_ < MaxAttempts
                     && random_() % CallersToOneThatLeaves == 0;
    events.onBody_ = [this, asked](const std::string &bytes) {
        asked->body_ += bytes;
        if (asked->leaves_ && asked->body_.find("\n\n") != std::string::npos) {
            asked->leaves_ = false;
            // Not from inside of the exchange that is cancelled.
            loop_.post([this, asked] { leave(asked); });
        }
    };
    events.onEnd_ = [this, asked] {
        --open_;
        asked->exchange_ = 0;
        onEnd(asked);
    };
    events.onFailed_ = [this, asked](async::ExchangeFailure failure) {
        --open_;
        asked->exchange_ = 0;
        onFailed(asked, failure);
    };
    asked->exchange_ = client_.start(std::move(request), std::move(events));
}

void Callers::leave(const std::shared_ptr<Asked> &asked)
{
    const async::ExchangeId exchange = std::exchange(asked->exchange_, 0);
    if (exchange == 0) {
        return; // It has ended meanwhile.
    }
    client_.cancel(exchange);
    --open_;
    recordTakenUp(*asked, true);
    checkStream(*asked, false);
    asked->cutAt_ = BootClock::now();
    takeUpLater(asked, TakeUpAfter);
}

void Callers::takeUpLater(const std::shared_ptr<Asked> &cut, Duration after)
{
    if (BootClock::now() < cut->cutAt_ + TakeUpTime) {
        later(loop_, after, [this, cut] { takeUp(*cut); });
    }
}

bool Callers::doubtsVersions(const InstanceProcess &instance) const
{
    return entriesNameStarts_ && BootClock::now() < instance.startedAt() + VersionDoubtTime;
}

void Callers::recordTakenUp(const Asked &asked, bool wentOn)
{
    const bool mayBeKnown = asked.begunAt_ > originsLostAt_ && !asked.isInDoubt_;
    if (asked.attempts_ > 1 && !asked.wasRefused_ && mayBeKnown) {
        ledger_.onTakenUp(wentOn);
    }
}

void Callers::onEnd(const std::shared_ptr<Asked> &asked)
{
    const int status = asked->status_;
    const bool promisesNotRun = status == 503 || status == 429 || status == 408 || status == 421;
    if (asked->body_.find("quarantined") != std::string::npos) {
        ledger_.violate(Promise::InnocentsServed, asked->id_ + " was refused for others' crashes");
    }
    if (promisesNotRun) {
        ledger_.onNotRunTold(asked->id_);
    }
    recordTakenUp(*asked, status == 200);
    if (promisesNotRun && asked->attempts_ > 1) {
        ledger_.onTakeUpRefused();
        asked->wasRefused_ = true;
        --asked->attempts_;
        takeUpLater(asked, TakeUpAgainAfter);
    }
    if (status != 200) {
        return;
    }
    ledger_.onServed(asked->id_);
    if (asked->kind_ == Kind::Stream || asked->kind_ == Kind::ResumableStream) {
        checkStream(*asked, true);
    } else if (asked->body_ != serviceBody(asked->id_)) {
        ledger_.violate(Promise::OwnAnswer, asked->id_ + " got: " + asked->body_);
    }
}

/** Whoever's stream was cut asks the same once more. */
void Callers::repeat(const Asked &asked)
{
    const std::vector<InstanceProcess *> ready = readyInstances();
    if (!ready.empty()) {
        send(Kind::Stream, *ready[random_() % ready.size()], asked.sent_);
    }
}

void Callers::takeUp(const Asked &cut)
{
    auto asked = std::make_shared<Asked>(cut);
    const std::vector<InstanceProcess *> ready = readyInstances();
    if (ready.empty()) {
        takeUpLater(asked, TakeUpAgainAfter);
        return;
    }
    asked->id_ = fmt::format("{:x}-{}", seed_, next_++);
    asked->instance_ = ready[random_() % ready.size()];
    asked->lifetime_ = asked->instance_->lifetime();
    asked->status_ = 0;
    asked->body_.clear();
    ++asked->attempts_;
    send(asked, fmt::format("Last-Event-Id: {}\r\nResumes: {}\r\n", cut.next_ - 1, cut.stream_));
}

/** Checks the events one by one and remembers which one comes next. */
void Callers::checkStream(Asked &asked, bool whole)
{
    constexpr std::string_view VersionMark = " by ";
    std::string_view rest = asked.body_;
    bool right = true;
    for (std::size_t end = rest.find("\n\n"); right && end != std::string_view::npos;
         end = rest.find("\n\n")) {
        const std::string event(rest.substr(0, end + 2));
        const std::size_t mark = event.rfind(VersionMark);
        const std::size_t begin = mark + VersionMark.size();
        const std::string version =
            mark != std::string::npos ? event.substr(begin, end - begin) : "";
        if (!asked.version_.empty() && asked.version_ != version) {
            ledger_.violate(Promise::OneVersion,
                            fmt::format("{}, which {} began, got of {}: {}", asked.id_,
                                        asked.version_, version, event));
        }
        right = event == streamEvent(asked.stream_, asked.next_, version);
        asked.version_ = version;
        ++asked.next_;
        rest.remove_prefix(end + 2);
    }
    right = right
            && (whole ? rest.empty() && asked.next_ == EventsOfAStream + 1
                      : streamEvent(asked.stream_, asked.next_, asked.version_).starts_with(rest));
    if (!right) {
        ledger_.violate(Promise::StreamInOrder, asked.id_ + " got: " + asked.body_);
    }
}

void Callers::onFailed(const std::shared_ptr<Asked> &asked, async::ExchangeFailure failure)
{
    if (failure == async::ExchangeFailure::Garbled) {
        ledger_.violate(Promise::OwnAnswer, asked->id_ + " got bytes that are no answer");
    }
    if (asked->status_ == 200
        && (asked->kind_ == Kind::Stream || asked->kind_ == Kind::ResumableStream)) {
        checkStream(*asked, false);
    }
    recordTakenUp(*asked, asked->status_ == 200);
    if (asked->kind_ == Kind::ResumableStream && asked->next_ > 1 && asked->next_ <= EventsOfAStream
        && asked->attempts_ < MaxAttempts) {
        asked->cutAt_ = asked->status_ == 200 ? BootClock::now() : asked->cutAt_;
        asked->wasRefused_ = false;
        takeUpLater(asked, TakeUpAfter);
    }
    if (asked->kind_ == Kind::Stream && !asked->isRepeat_) {
        later(loop_, RepeatAfter, [this, asked] { repeat(*asked); });
    }
    const bool sent = failure != async::ExchangeFailure::NotSent;
    const bool stopped =
        asked->instance_->stopping() || asked->instance_->lifetime() != asked->lifetime_;
    if (sent && stopped && calm_) {
        ledger_.violate(Promise::StopCutsNothing,
                        asked->id_ + " was cut by the stop of " + asked->instance_->name());
    }
}

void Callers::probeConfig(InstanceProcess &instance, int version)
{
    const std::string lifetime = fmt::format("{}.{}", instance.name(), instance.lifetime());
    async::ExchangeRequest request;
    request.peer_ = lifetime;
    request.address_ = instance.callers();
    const std::string id = fmt::format("{:x}-probe-{}", seed_, next_++);
    ledger_.onSent(id, Kind::Safe);
    request.text_ = fmt::format("GET /v{}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {}\r\n"
                                "X-Deadline-Ms: {}\r\n\r\n",
                                version, id, PatienceMillis);
    request.connectBy_ = BootClock::now() + ConnectTime;
    const auto onAnswer = [this, version, lifetime](const async::ExchangeResult &result) {
        if (result.failure_) {
            return;
        }
        int &seen = seenVersion_[lifetime];
        if (result.status_ == 404 && (calm_ || seen >= version)) {
            ledger_.violate(
                Promise::ConfigKept,
                fmt::format("{} does not know version {}, has shown {}", lifetime, version, seen));
        }
        if (result.status_ != 404 && result.status_ != 503) {
            seen = std::max(seen, version);
        }
    };
    client_.start(std::move(request), async::gatherAnswer(onAnswer));
}

} // namespace almondridge::soak
