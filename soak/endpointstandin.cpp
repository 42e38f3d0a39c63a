#include "endpointstandin.h"

#include "later.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace almondridge::soak {
namespace {

using Json = nlohmann::json;

constexpr Duration HeartbeatInterval = millis(600);
constexpr Duration WorkTime = millis(15);
constexpr Duration EventInterval = millis(20);
/** An entry outlives its endpoint by this time. */
constexpr Duration EntryLapse = millis(1'500);
constexpr Duration SwitchTime = millis(1'000);
/** What the settings of the soak's instances promise, and a little for the proxies. */
constexpr Duration DrainBound = millis(2'300);
/** Of the rule on limits: the window, when it binds, and how much more than the limit is allowed.
 */
constexpr Duration LimitWindow = millis(4'000);
constexpr Duration LimitBindsAfter = millis(3'000);
constexpr double LimitTolerance = 1.5;
constexpr int LimitSlack = 5;
/** Requests of an instance in a backoff: the one that is refused, and two more. */
constexpr int AllowedInBackoff = 3;
/** The share of requests that a fault strikes. */
constexpr double FaultShare = 0.4;

} // namespace

std::string serviceBody(const std::string &requestId)
{
    return "answer to " + requestId + "\n";
}

std::string streamEvent(const std::string &stream, int number, const std::string &version)
{
    return fmt::format("id: {}\ndata: {} token {} by {}\n\n", number, stream, number, version);
}

EndpointStandIn::EndpointStandIn(async::EventLoop &loop, StoreStandIn &store, Ledger &ledger,
                                 std::string id, std::string service, std::string stage,
                                 std::string version, std::uint64_t seed)
    : loop_(loop)
    , store_(store)
    , ledger_(ledger)
    , id_(std::move(id))
    , service_(std::move(service))
    , stage_(std::move(stage))
    , version_(std::move(version))
    , server_(loop, {[this](const async::ServerCall &call) { onCall(call); },
                     [this](const async::CallId &call) { streams_.erase(call.call_); },
                     {}})
    , random_(seed)
    , heartbeat_(loop)
{
    server_.listen({"127.0.0.1", 0}).value();
    proxy_ = std::make_unique<Proxy>(loop, net::Address {"127.0.0.1", server_.port()});
    beat();
}

EndpointStandIn::~EndpointStandIn()
{
    store_.put("keyed.servers", id_, "");
}

void EndpointStandIn::beat()
{
    heartbeat_.startAt(BootClock::now() + HeartbeatInterval, [this] { beat(); });
    Json entry {{"service", service_}, {"address", net::toString(proxy_->address())},
                {"zone", "z"},         {"version", version_},
                {"slots", 16},         {"state", draining() ? "draining" : "ready"},
                {"seq", ++heartbeats_}};
    if (!stage_.empty()) {
        entry["stage"] = stage_;
    }
    if (startedAtMillis_ != 0) {
        entry["born"] = startedAtMillis_;
    }
    store_.put("keyed.servers", id_, entry.dump());
}

void EndpointStandIn::nameStart()
{
    startedAtMillis_ = wallMillis();
    beat();
}

void EndpointStandIn::replaceInPlace(const std::string &version, Duration entryDelay)
{
    ledger_.onReplaced(id_);
    version_ = version;
    startedAtMillis_ = wallMillis();
    heartbeats_ = 0;
    orders_ = 0;
    fence_ = 0;
    handles_.clear();
    streams_.clear();
    proxy_->setFault(LinkFault::Reset);
    proxy_->setFault(LinkFault::None);
    heartbeat_.startAt(BootClock::now() + entryDelay, [this] { beat(); });
}

void EndpointStandIn::drain()
{
    drainedAt_ = BootClock::now();
    beat();
}

void EndpointStandIn::crash()
{
    crashed_ = true;
    heartbeat_.stop();
    // Not from inside of a call of the server that is cut off.
    loop_.post([this] { proxy_->shut(); });
    later(loop_, EntryLapse, [this] { store_.put("keyed.servers", id_, ""); });
    if (onCrash_) {
        onCrash_();
    }
}

void EndpointStandIn::nameLimit(double perSecond, TimePoint until)
{
    if (!isLimited()) {
        limitFrom_ = BootClock::now();
        limitPerSecond_ = perSecond;
        limitUntil_ = until;
    }
}

void EndpointStandIn::askBackoff(TimePoint until, int instances)
{
    backoffUntil_ = until;
    instances_ = instances;
    inBackoff_ = 0;
}

void EndpointStandIn::excuseInstances()
{
    judgedFrom_ = BootClock::now();
    inBackoff_ = 0;
}

/** Nothing has excused an instance for as long as a limit's window. */
bool EndpointStandIn::isJudged() const
{
    return calm_ && std::max(judgedFrom_, calmFrom_) + LimitWindow <= BootClock::now();
}

void EndpointStandIn::checkLimit()
{
    const TimePoint now = BootClock::now();
    arrivals_.push_back(now);
    while (arrivals_.front() <= now - LimitWindow) {
        arrivals_.pop_front();
    }
    const bool binds = isLimited() && limitFrom_ + LimitBindsAfter <= now && isJudged();
    const double allowed = LimitTolerance * limitPerSecond_ * toSeconds(LimitWindow) + LimitSlack;
    if (binds && static_cast<double>(arrivals_.size()) > allowed) {
        ledger_.violate(Promise::LimitKept,
                        fmt::format("{} takes {} a second and got {} in {} ms", id_,
                                    limitPerSecond_, arrivals_.size(), toMillis(LimitWindow)));
    }
}

void EndpointStandIn::checkBackoff()
{
    if (backoffUntil_ <= BootClock::now()) {
        return;
    }
    ++inBackoff_;
    if (isJudged() && inBackoff_ > AllowedInBackoff * instances_) {
        ledger_.violate(Promise::BackoffKept,
                        fmt::format("{} asked for a backoff and got {} requests of "
                                    "{} instances",
                                    id_, inBackoff_, instances_));
    }
}

/** One of three speeds, and much slower at times, as on a machine that others use as well. */
std::string EndpointStandIn::loadHeader() const
{
    constexpr std::array<int, 3> Percents {60, 100, 160};
    constexpr std::int64_t SlotMillis = 600;
    constexpr std::uint64_t SlowEvery = 7;
    const std::uint64_t hash = std::hash<std::string> {}(id_);
    const auto slot =
        static_cast<std::uint64_t>(toMillis(BootClock::now().time_since_epoch()) / SlotMillis);
    const int percent = Percents.at(hash % Percents.size());
    const bool isSlow = (hash + slot) % SlowEvery == 0;
    return fmt::format("32,0,64,{}", isSlow ? percent * 5 / 2 : percent);
}

net::Headers EndpointStandIn::withAsked(net::Headers headers) const
{
    headers.push_back({"X-Server-Load", loadHeader()});
    if (isLimited()) {
        headers.push_back({"Server-Limit", fmt::format("{}", limitPerSecond_)});
    }
    return headers;
}

void EndpointStandIn::respond(const async::CallId &call, net::Response response)
{
    response.headers_ = withAsked(std::move(response.headers_));
    server_.respond(call, response);
}

bool EndpointStandIn::strikes()
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < FaultShare;
}

net::Headers EndpointStandIn::signedHeaders(const std::string &requestId) const
{
    return {{"X-Request-Id", requestId}, {"X-Response-Signature", id_ + "." + requestId}};
}

void EndpointStandIn::refuse(const async::CallId &call, int status)
{
    respond(call, {status, {{"X-Not-Executed", "1"}}, ""});
}

void EndpointStandIn::onCall(const async::ServerCall &call)
{
    checkLimit();
    checkBackoff();
    const std::string &target = call.head_.target_;
    if (target == "/almondridge/report") {
        respond(call.id_, {200,
                           {},
                           Json {{"stage", stage_},
                                 {"busy", changingUntil_ > BootClock::now()},
                                 {"seq", orders_},
                                 {"born", startedAtMillis_}}
                               .dump()});
    } else if (target == "/almondridge/order") {
        onOrder(call);
    } else if (call.head_.method_ == "DELETE") {
        handles_.erase(target.substr(target.rfind('/') + 1));
        respond(call.id_, {200, {}, ""});
    } else {
        onWork(call);
    }
}

void EndpointStandIn::onOrder(const async::ServerCall &call)
{
    const Json order = Json::parse(call.body_);
    const std::uint64_t fence = order.at("fence");
    ledger_.onOrder(id_, order.at("holder"), fence);
    if (fence < fence_) {
        respond(call.id_, {412, {}, ""});
        return;
    }
    fence_ = fence;
    const bool busy = changingUntil_ > BootClock::now();
    if (busy || order.at("expect") != orders_) {
        respond(call.id_, {409, {}, ""});
        return;
    }
    ++orders_;
    stage_ = order.at("stage");
    changingUntil_ = BootClock::now() + SwitchTime;
    beat();
    respond(call.id_, {202, {}, ""});
}

void EndpointStandIn::setCalm(bool calm)
{
    if (calm && !calm_) {
        calmFrom_ = BootClock::now();
    }
    calm_ = calm;
}

void EndpointStandIn::checkDrain(const std::string &requestId)
{
    const TimePoint knownFrom = std::max(drainedAt_, calmFrom_);
    if (draining() && calm_ && BootClock::now() > knownFrom + DrainBound) {
        ledger_.violate(Promise::DrainKept,
                        requestId + " reached " + id_ + " after it said that it leaves");
    }
}

/** What another version has written into its memory doesn't fit here. */
void EndpointStandIn::checkMemory(const async::ServerCall &call, std::string_view header)
{
    const std::string source(net::headerValue(call.head_.headers_, header));
    const std::size_t slash = source.find('/');
    const std::string handle = slash != std::string::npos ? source.substr(slash + 1) : "";
    if (!handle.empty() && !handle.starts_with(version_ + "-")) {
        const std::size_t begin = handle.find('-') + 1;
        const std::string reader = handle.substr(begin, handle.rfind('-') - begin);
        const bool isReplaced = ledger_.wasJustReplaced(id_) || ledger_.wasJustReplaced(reader);
        ledger_.violate(isReplaced ? Promise::ReplacedMemory : Promise::OneVersion,
                        fmt::format("{} of {} was told to fetch {}", id_, version_, source));
    }
}

void EndpointStandIn::onWork(const async::ServerCall &call)
{
    const net::Headers &headers = call.head_.headers_;
    const std::string requestId(net::headerValue(headers, "X-Request-Id"));
    const bool prefillOnly = net::headerValue(headers, "X-Stage") == "prefill";
    checkMemory(call, "X-Kv-Source");
    if (net::headerValue(headers, "X-Target-Instance") != id_) {
        refuse(call.id_, 421);
        return;
    }
    checkDrain(requestId);
    if (backoffUntil_ > BootClock::now()) {
        const double seconds = toSeconds(backoffUntil_ - BootClock::now());
        respond(
            call.id_,
            {503, {{"X-Not-Executed", "1"}, {"Retry-After", fmt::format("{:.3f}", seconds)}}, ""});
        return;
    }
    const bool wrongStage = !stage_.empty() && prefillOnly != (stage_ == "prefill");
    if (wrongStage) {
        refuse(call.id_, 421);
        return;
    }
    if (changingUntil_ > BootClock::now() || (fault_ == EndpointFault::Sheds && strikes())) {
        refuse(call.id_, 503);
        return;
    }
    if (fault_ == EndpointFault::Hang && strikes()) {
        return;
    }
    if (prefillOnly) {
        prefill(call);
        return;
    }
    const std::string source(net::headerValue(headers, "X-Kv-Source"));
    if (!source.empty() && fault_ == EndpointFault::Errors && strikes()) {
        refuse(call.id_, 503);
        return;
    }
    const bool hasCrashingPart =
        net::headerValue(headers, "X-Prefix-Hash").find(CrashingPart) != std::string_view::npos;
    if (call.body_ == CrashingBody || hasCrashingPart) {
        ledger_.onCrash(id_, hasCrashingPart ? CrashCause::Part : CrashCause::Request);
        crash();
        return;
    }
    ledger_.onRun(requestId, id_);
    if (fault_ == EndpointFault::ResetAfterRun && strikes()) {
        server_.abort(call.id_);
        return;
    }
    if (fault_ == EndpointFault::Errors && strikes()) {
        respond(call.id_, {500, signedHeaders(requestId), "failed\n"});
        return;
    }
    if (fault_ == EndpointFault::FalseNotRun && strikes()) {
        constexpr std::array<int, 3> Statuses {408, 429, 503};
        const bool isSigned = random_() % 2 == 0;
        respond(call.id_, {Statuses.at(random_() % Statuses.size()),
                           isSigned ? signedHeaders(requestId) : net::Headers {}, "not now\n"});
        return;
    }
    if (fault_ == EndpointFault::Spoils && strikes() && spoil(call, requestId)) {
        return;
    }
    stage_.empty() ? runService(call, requestId) : beginStream(call, requestId);
}

/** False: a stream that begins, which breaks off, so that another endpoint goes on with it. */
bool EndpointStandIn::spoil(const async::ServerCall &call, const std::string &requestId)
{
    const bool begins = net::headerValue(call.head_.headers_, "Last-Event-Id").empty();
    if (stage_.empty()) {
        respond(call.id_, {200, {{"X-Request-Id", requestId}}, "another's answer\n"});
    } else if (!begins) {
        const bool hasEvents = random_() % 2 == 0;
        respond(call.id_,
                {200,
                 {{"X-Request-Id", requestId}, {"Content-Type", "text/event-stream"}},
                 hasEvents ? streamEvent("another stream", EventsOfAStream, version_) : ""});
    }
    return stage_.empty() || !begins;
}

void EndpointStandIn::runService(const async::ServerCall &call, const std::string &requestId)
{
    const bool garbled = fault_ == EndpointFault::Garble && strikes();
    later(loop_, WorkTime, [this, id = call.id_, requestId, garbled] {
        if (!garbled) {
            respond(id, {200, signedHeaders(requestId), serviceBody(requestId)});
            return;
        }
        net::Headers headers = signedHeaders(requestId);
        headers.push_back({"Content-Length", "1000"});
        server_.beginStream(id, {200, "OK", withAsked(headers)});
        server_.streamBytes(id, "half an answer");
        server_.abort(id);
    });
}

void EndpointStandIn::prefill(const async::ServerCall &call)
{
    const std::string handle = fmt::format("{}-{}-{}", version_, id_, nextHandle_++);
    handles_.insert(handle);
    later(loop_, WorkTime, [this, id = call.id_, handle] {
        respond(id, {200, {}, Json {{"handle", handle}, {"tokens", 10}, {"version", 1}}.dump()});
    });
}

void EndpointStandIn::beginStream(const async::ServerCall &call, const std::string &requestId)
{
    const std::string after(net::headerValue(call.head_.headers_, "Last-Event-Id"));
    net::Headers headers = signedHeaders(requestId);
    headers.push_back({"Content-Type", "text/event-stream"});
    server_.beginStream(call.id_, {200, "OK", withAsked(headers)});
    const std::string resumes(net::headerValue(call.head_.headers_, "Resumes"));
    streams_[call.id_.call_] = {call.id_, resumes.empty() ? requestId : resumes,
                                after.empty() ? 1 : std::stoi(after) + 1};
    streamNext(call.id_.call_);
}

void EndpointStandIn::streamNext(std::uint64_t number)
{
    const auto found = streams_.find(number);
    if (found == streams_.end()) {
        return;
    }
    Stream &stream = found->second;
    const bool mayBreak = fault_ == EndpointFault::Garble || fault_ == EndpointFault::Spoils;
    const bool breaks = mayBreak && stream.next_ == EventsOfAStream / 2;
    const std::string event = streamEvent(stream.name_, stream.next_, version_);
    if (breaks && strikes()) {
        // In the middle of an event, as a crash would.
        server_.streamBytes(stream.call_, event.substr(0, event.size() / 2));
        server_.abort(stream.call_);
        streams_.erase(found);
        return;
    }
    if (stream.next_ > EventsOfAStream) {
        server_.endStream(stream.call_);
        streams_.erase(found);
        return;
    }
    server_.streamBytes(stream.call_, event);
    ++stream.next_;
    later(loop_, EventInterval, [this, number] { streamNext(number); });
}

} // namespace almondridge::soak
