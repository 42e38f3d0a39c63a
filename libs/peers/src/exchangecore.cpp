#include "exchangecore.h"

#include "almondridge/base/log.h"

#include <algorithm>
#include <exception>

namespace almondridge::peers {
namespace {

/** A dead member is retried for this long, then found again only through the instance list. */
constexpr Duration DeadMemberRetention = std::chrono::minutes(10);
/** Upper limit of waits, as a far deadline could overflow the system clock's range. */
constexpr Duration MaxWait = std::chrono::hours(24);

MembershipSettings membershipSettings(const ExchangeSettings &settings, std::uint16_t port)
{
    MembershipSettings result;
    PeerAddress address = settings.advertised_;
    if (address.ip_.empty()) {
        address = {settings.listen_.ip_, port};
    }
    const auto start = std::chrono::system_clock::now().time_since_epoch();
    const auto incarnation = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(start).count());
    result.self_ = {settings.instance_, settings.domain_, address, incarnation};
    result.interval_ = settings.interval_;
    result.timeout_ = settings.timeout_;
    result.deadRetention_ = DeadMemberRetention;
    result.budgetBytesPerSecond_ = settings.budgetBytesPerSecond_;
    return result;
}

/** Runs an application callback; its exceptions must not end a thread of the exchange. */
template <typename Function>
void guarded(std::string_view what, Function &&function)
{
    try {
        function();
    } catch (const std::exception &failure) {
        logEvent(LogLevel::Error, "peer.callback-failed",
                 {{"callback", what}, {"reason", failure.what()}});
    }
}

} // namespace

ExchangeCore::ExchangeCore(ExchangeSettings settings, OwnedDescriptor listener, std::uint16_t port)
    : settings_(std::move(settings))
    , port_(port)
    , events_(settings_.timeline_)
    , membership_(membershipSettings(settings_, port), events_,
                  settings_.onDigest_ ? [this](const Member &member) { queueDigest(member); }
                                      : DigestListener())
    , credentials_(settings_, events_)
    , links_({settings_, loop_, membership_, credentials_, events_, lastToken_}, calls_)
    , inbound_({settings_, loop_, membership_, credentials_, events_, lastToken_},
               std::move(listener))
    , digestWorker_(1)
    , listenerWorker_(1)
{ }

ExchangeCore::~ExchangeCore()
{
    stop();
}

void ExchangeCore::start()
{
    digestWorker_.start(1);
    listenerWorker_.start(1);
    inbound_.startWorkers();
    loop_.start(*this);
}

void ExchangeCore::stop()
{
    if (std::exchange(stopped_, true)) {
        return;
    }
    // Fail calls first: a handler that waits for one would otherwise never return.
    calls_.close();
    inbound_.stopWorkers();
    digestWorker_.stop();
    listenerWorker_.stop();
    loop_.post([this] {
        links_.closeAll();
        inbound_.closeAll();
    });
    loop_.stop();
}

void ExchangeCore::ready(std::uint64_t token, Readiness readiness)
{
    if (!links_.ready(token, readiness)) {
        inbound_.ready(token, readiness);
    }
}

TimePoint ExchangeCore::advance(TimePoint now)
{
    // After a pause of this process all deadlines have passed, although heartbeats received in the
    // meantime are still in the socket buffers, so all members would be marked dead. Read the
    // sockets first and check deadlines in the next round.
    const bool paused = now - lastAdvance_ > settings_.answerTimeout();
    lastAdvance_ = now;
    if (paused) {
        return now;
    }
    if (digestDeadline_ <= now) {
        digestDeadline_ = now + settings_.interval_;
        requestDigest();
    }
    TimePoint next = digestDeadline_;
    if (digestReady_) {
        for (const HeartbeatTarget &target : membership_.advance(now)) {
            links_.heartbeat(target, false);
        }
        next = std::min(next, membership_.nextDeadline());
    }
    next = std::min(next, links_.advance(now));
    return std::min(next, inbound_.advance(now));
}

void ExchangeCore::requestDigest()
{
    // If the queue is full, a refresh is pending already.
    digestWorker_.post([this] { refreshDigest(); });
}

/** Runs on the digest thread. */
void ExchangeCore::refreshDigest()
{
    const bool sendNow = sendAfterRefresh_.exchange(false);
    if (settings_.digest_) {
        guarded("digest", [this] { publishDigest(settings_.digest_()); });
    }
    loop_.post([this, sendNow] {
        digestReady_ = true;
        if (sendNow) {
            sendHeartbeats();
        }
    });
}

void ExchangeCore::publishDigest(nlohmann::json digest)
{
    const std::size_t size = encodeCbor(digest).size();
    if (size > MaxDigestBytes) {
        logEvent(LogLevel::Error, "peer.digest-too-large",
                 {{"bytes", size}, {"limit", MaxDigestBytes}, {"remedy", "put less into it"}});
        return;
    }
    membership_.setDigest(std::move(digest));
}

/** Sends a heartbeat on every link now, even if one is in flight. */
void ExchangeCore::sendHeartbeats()
{
    const TimePoint now = BootClock::now();
    membership_.scheduleHeartbeatsNow(now);
    for (const HeartbeatTarget &target : membership_.advance(now)) {
        links_.heartbeat(target, true);
    }
}

void ExchangeCore::queueDigest(const Member &member)
{
    {
        const std::lock_guard lock(pendingDigestsMutex_);
        pendingDigests_[member.instance_] = member;
    }
    listenerWorker_.post([this] { deliverDigests(); });
}

/** Runs on the listener thread. */
void ExchangeCore::deliverDigests()
{
    std::map<InstanceId, Member> members;
    {
        const std::lock_guard lock(pendingDigestsMutex_);
        members.swap(pendingDigests_);
    }
    for (const auto &[instance, member] : members) {
        guarded("onDigest", [&, &sender = member] { settings_.onDigest_(sender); });
    }
}

CallOutcome ExchangeCore::request(const InstanceId &to, const std::string &topic,
                                  const nlohmann::json &message, TimePoint deadline)
{
    const auto member = membership_.member(to);
    if (!member) {
        return Error {ErrorKind::Unavailable, "no member with instance id " + to.value(),
                      "send the request to a listed member"};
    }
    std::string body = encodeCbor(message);
    if (body.size() > MaxBodyBytes) {
        return Error {ErrorKind::InvalidInput, "the request body exceeds 4 MiB",
                      "split it into several requests"};
    }
    const std::optional<CallId> id = calls_.open();
    if (!id) {
        return Error {ErrorKind::Unavailable, "the request was not sent: this instance is stopping",
                      "send the request to another instance"};
    }
    const TimePoint latest = std::min(deadline, BootClock::now() + MaxWait);
    OutgoingCall call {*id, to, member->address_, "/peer/" + topic, std::move(body), latest};
    loop_.post([this, call = std::move(call)]() mutable { links_.call(std::move(call)); });
    return calls_.wait(*id, latest);
}

void ExchangeCore::setLeaving()
{
    membership_.setLeaving();
    loop_.post([this] { sendHeartbeats(); });
}

void ExchangeCore::heartbeatNow()
{
    sendAfterRefresh_ = true;
    requestDigest();
}

void ExchangeCore::wakeUp()
{
    loop_.post([] {});
}

} // namespace almondridge::peers
