#include "inbound.h"

#include "almondridge/base/log.h"
#include "errormessage.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace almondridge::peers {
namespace {

constexpr std::string_view PathPrefix = "/peer/";
constexpr std::string_view HeartbeatTopic = "heartbeat";
/** Connections accepted in a row, so that a burst does not delay existing ones. */
constexpr int AcceptsAtOnce = 32;
/** Pause of accepting after the process ran out of descriptors or memory. */
constexpr Duration AcceptPause = millis(100);
/** Idle timeout of authenticated connections; longer than the client's own. */
constexpr Duration IdleSpan = std::chrono::minutes(5);
constexpr int IdleIntervals = 8;

const Error UnknownPeer {ErrorKind::Unauthorized, "",
                         "check peerKey, instance, peer address and clock of both instances"};

} // namespace

Inbound::Inbound(ExchangeParts parts, OwnedDescriptor listener)
    : parts_(parts)
    , listener_(std::move(listener))
    , listenerToken_(++parts_.lastToken_)
    , workers_(HandlerQueue)
{
    parts_.loop_.watch(listener_.value(), listenerToken_, false);
}

void Inbound::startWorkers()
{
    workers_.start(HandlerThreads);
}

void Inbound::stopWorkers()
{
    workers_.stop();
}

bool Inbound::ready(std::uint64_t token, Readiness readiness)
{
    if (token == listenerToken_) {
        accept();
        return true;
    }
    const auto found = guests_.find(token);
    if (found == guests_.end()) {
        return false;
    }
    Guest &guest = found->second;
    const bool open = !readiness.readable_ || guest.connection_.receive(BootClock::now());
    for (H2Event &event : guest.connection_.session().takeEvents()) {
        if (event.kind_ == H2EventKind::TooLarge) {
            parts_.events_.reportRefusal("peer.refused", toString(guest.remote_),
                                         "reason=body-too-large");
        } else if (event.kind_ == H2EventKind::Message) {
            takeRequest(guest, event.stream_, event.message_);
        }
    }
    if (open) {
        flush(token);
    } else {
        close(token);
    }
    return true;
}

void Inbound::accept()
{
    for (int count = 0; count < AcceptsAtOnce; ++count) {
        PeerAddress remote;
        OwnedDescriptor socket = acceptFrom(listener_.value(), parts_.settings_.timeout_, remote);
        if (socket.valid()) {
            welcome(std::move(socket), remote);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
            // The pending connection keeps the listener readable, so the loop would spin.
            logEvent(
                LogLevel::Error, "peer.accept-failed",
                {{"reason", std::strerror(errno)}, {"remedy", "raise the limit of open files"}});
            parts_.loop_.unwatch(listener_.value());
            listening_ = false;
            acceptAgain_ = BootClock::now() + AcceptPause;
        }
        return;
    }
}

void Inbound::welcome(OwnedDescriptor socket, const PeerAddress &remote)
{
    if (guests_.size() >= MaxInbound) {
        parts_.events_.reportRefusal("peer.refused", toString(remote),
                                     "reason=too-many-connections");
        return;
    }
    makeRoom();
    const TimePoint now = BootClock::now();
    const std::uint64_t token = ++parts_.lastToken_;
    Guest guest {token, remote,
                 Connection(std::move(socket), H2Role::Server, MaxUnprovedBytes, now)};
    guest.deadline_ = now + parts_.settings_.timeout_;
    parts_.loop_.watch(guest.connection_.socket(), token, false);
    guests_.emplace(token, std::move(guest));
    flush(token);
}

/** Closes the oldest unauthenticated connection if there are too many. */
void Inbound::makeRoom()
{
    std::size_t unproved = 0;
    const Guest *oldest = nullptr;
    for (const auto &[token, guest] : guests_) {
        if (guest.instance_.empty()) {
            ++unproved;
            oldest = oldest == nullptr || token < oldest->token_ ? &guest : oldest;
        }
    }
    if (unproved >= MaxUnproved) {
        parts_.events_.reportRefusal("peer.refused", toString(oldest->remote_),
                                     "reason=too-many-unproved");
        close(oldest->token_);
    }
}

void Inbound::close(std::uint64_t token)
{
    const auto found = guests_.find(token);
    if (found != guests_.end()) {
        parts_.loop_.unwatch(found->second.connection_.socket());
        guests_.erase(found);
    }
}

/** Closes earlier connections of the same instance, which a new one replaces. */
void Inbound::closeOlder(const Guest &guest)
{
    std::vector<std::uint64_t> older;
    for (const auto &[token, other] : guests_) {
        if (token != guest.token_ && other.instance_ == guest.instance_) {
            older.push_back(token);
        }
    }
    for (const std::uint64_t token : older) {
        close(token);
    }
}

void Inbound::flush(std::uint64_t token)
{
    const auto found = guests_.find(token);
    if (found == guests_.end()) {
        return;
    }
    Guest &guest = found->second;
    if (!guest.connection_.flush(BootClock::now())) {
        close(token);
        return;
    }
    const bool wantsWrite = guest.connection_.hasOutput();
    if (wantsWrite != guest.watchesWrite_) {
        guest.watchesWrite_ = wantsWrite;
        parts_.loop_.rewatch(guest.connection_.socket(), token, wantsWrite);
    }
    scanDeadline_ = std::min(scanDeadline_, deadlineOf(guest));
}

void Inbound::takeRequest(Guest &guest, std::int32_t stream, const H2Message &request)
{
    if (guest.leaving_ || !proved(guest, stream, request)) {
        return;
    }
    const std::string_view path = request.path_;
    const bool isPeerPath = path.substr(0, PathPrefix.size()) == PathPrefix;
    if (!isPeerPath || request.method_ != "POST") {
        answerError(
            guest, stream, request.nonce_,
            {ErrorKind::NotFound, "not a peer request", "send a POST request to /peer/TOPIC"});
    } else if (path.substr(PathPrefix.size()) == HeartbeatTopic) {
        takeHeartbeat(guest, stream, request);
    } else if (guest.instance_.empty()) {
        refuse(guest, stream, request, "no heartbeat before the first request");
    } else {
        dispatch(guest, stream, request);
    }
}

bool Inbound::proved(Guest &guest, std::int32_t stream, const H2Message &request)
{
    const PeerIdentity &self = parts_.membership_.self();
    const bool greeting = guest.instance_.empty();
    const Audience audience {self.address_, greeting ? 0 : self.incarnation_, guest.greeting_,
                             stream};
    const AuthenticationResult verdict =
        parts_.credentials_.checkRequest(request, audience, BootClock::now());
    if (verdict != AuthenticationResult::Valid) {
        refuse(guest, stream, request, nameOf(ProofVerdictNames, verdict));
        return false;
    }
    if (!greeting && request.instance_ != guest.instance_.value()) {
        refuse(guest, stream, request, "another instance on the same connection");
        return false;
    }
    return true;
}

/** Answers without a proof: unauthenticated clients get nothing signed with the key. */
void Inbound::refuse(Guest &guest, std::int32_t stream, const H2Message &request,
                     std::string_view reason)
{
    parts_.events_.reportRefusal("peer.refused", toString(guest.remote_),
                                 "reason=" + quoteLogValue(reason)
                                     + " claims=" + quoteLogValue(request.instance_.substr(0, 64)));
    Error error = UnknownPeer;
    error.message_ = "rejected as a peer: " + std::string(reason);
    H2Message answer;
    answer.status_ = StatusUnauthorized;
    answer.body_ = encodeError(error);
    guest.connection_.session().answer(stream, std::move(answer));
    if (guest.instance_.empty()) {
        guest.leaving_ = true;
        guest.connection_.session().finish();
    }
}

void Inbound::takeHeartbeat(Guest &guest, std::int32_t stream, const H2Message &request)
{
    const InstanceId from(request.instance_);
    const auto decoded =
        capture([&] { return decodeHeartbeat(request.body_, from, DomainId(request.domain_)); });
    if (const Error *error = std::get_if<Error>(&decoded)) {
        answerError(guest, stream, request.nonce_, *error);
        return;
    }
    const Heartbeat &heartbeat = std::get<Heartbeat>(decoded);
    const PeerIdentity &self = parts_.membership_.self();
    const HeardVerdict verdict = parts_.membership_.onHeartbeat(heartbeat);
    const bool taken = verdict == HeardVerdict::Fresh || verdict == HeardVerdict::Late;
    // A heartbeat from this instance to itself, through an address that it does not know as its
    // own, is answered, so that its sender side learns this.
    const bool itself =
        verdict == HeardVerdict::Self && heartbeat.sender_.incarnation_ == self.incarnation_;
    if (!taken && !itself) {
        const std::string reason(nameOf(HeardVerdictNames, verdict));
        parts_.events_.reportRefusal("peer.refused", from.value(), "reason=" + reason);
        answerError(guest, stream, request.nonce_,
                    {ErrorKind::Conflict, "not accepted as a member: " + reason,
                     "run one process for each instance id"});
        return;
    }
    if (guest.instance_.empty()) {
        guest.instance_ = from;
        guest.greeting_ = request.nonce_;
        guest.connection_.session().setBodyLimit(MaxBodyBytes);
        closeOlder(guest);
    }
    std::string body = encodeHeartbeat(parts_.membership_.compose(from));
    parts_.membership_.exchanged(request.body_.size() + body.size());
    answer(guest, stream, request.nonce_, StatusOk, std::move(body));
}

void Inbound::dispatch(Guest &guest, std::int32_t stream, const H2Message &request)
{
    const auto refuseWith = [&](const Error &error) {
        answerError(guest, stream, request.nonce_, error);
    };
    const auto &handlers = parts_.settings_.handlers_;
    const auto handler = handlers.find(request.path_.substr(PathPrefix.size()));
    if (handler == handlers.end()) {
        refuseWith({ErrorKind::NotFound, "no handler for " + request.path_,
                    "run the same version of almondridge on all entry instances"});
        return;
    }
    std::optional<nlohmann::json> message = decodeCbor(request.body_);
    if (!message) {
        refuseWith({ErrorKind::InvalidInput, "the body is not CBOR",
                    "run the same version of almondridge on all entry instances"});
        return;
    }
    Job job {guest.token_,    stream,           request.nonce_,
             guest.instance_, &handler->second, std::move(*message)};
    if (!workers_.post([this, job = std::move(job)]() mutable { run(std::move(job)); })) {
        refuseWith({ErrorKind::Overloaded, "too many peer requests are queued",
                    "try again later, or send it to another instance"});
    }
}

/** Runs on a worker thread. */
void Inbound::run(Job job)
{
    const auto outcome = capture([&] { return (*job.handler_)(job.from_, job.message_); });
    const Error *error = std::get_if<Error>(&outcome);
    int status = error == nullptr ? StatusOk : statusOf(error->kind_);
    std::string body =
        error == nullptr ? encodeCbor(std::get<nlohmann::json>(outcome)) : encodeError(*error);
    if (body.size() > MaxBodyBytes) {
        const Error tooLarge {ErrorKind::Overloaded, "the answer is too large",
                              "request less data at a time"};
        status = statusOf(tooLarge.kind_);
        body = encodeError(tooLarge);
    }
    parts_.loop_.post([this, job = std::move(job), status, body = std::move(body)]() mutable {
        const auto guest = guests_.find(job.token_);
        if (guest != guests_.end()) {
            answer(guest->second, job.stream_, job.nonce_, status, std::move(body));
            flush(job.token_);
        }
    });
}

void Inbound::answer(Guest &guest, std::int32_t stream, const std::string &nonce, int status,
                     std::string body)
{
    guest.connection_.session().answer(
        stream, parts_.credentials_.signAnswer(status, nonce, std::move(body)));
}

void Inbound::answerError(Guest &guest, std::int32_t stream, const std::string &nonce,
                          const Error &error)
{
    answer(guest, stream, nonce, statusOf(error.kind_), encodeError(error));
}

TimePoint Inbound::deadlineOf(const Guest &guest) const
{
    TimePoint deadline = guest.deadline_;
    if (!guest.instance_.empty()) {
        const Duration longest = IdleIntervals * parts_.membership_.longestInterval();
        deadline = guest.connection_.lastReceived() + std::max(IdleSpan, longest);
    }
    if (guest.connection_.hasOutput()) {
        deadline = std::min(deadline, guest.connection_.stalledSince() + parts_.settings_.timeout_);
    }
    return deadline;
}

TimePoint Inbound::advance(TimePoint now)
{
    if (!listening_ && acceptAgain_ <= now) {
        listening_ = true;
        parts_.loop_.watch(listener_.value(), listenerToken_, false);
    }
    if (now >= scanDeadline_) {
        closeOverdue(now);
    }
    return listening_ ? scanDeadline_ : std::min(scanDeadline_, acceptAgain_);
}

void Inbound::closeOverdue(TimePoint now)
{
    scanDeadline_ = TimePoint::max();
    std::vector<std::uint64_t> over;
    for (const auto &[token, guest] : guests_) {
        const TimePoint deadline = deadlineOf(guest);
        if (deadline <= now) {
            over.push_back(token);
        } else {
            scanDeadline_ = std::min(scanDeadline_, deadline);
        }
    }
    for (const std::uint64_t token : over) {
        close(token);
    }
}

void Inbound::closeAll()
{
    guests_.clear();
}

} // namespace almondridge::peers
