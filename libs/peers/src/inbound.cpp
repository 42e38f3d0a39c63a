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
constexpr int MaxAcceptsInRow = 32;
/** Pause of accepting after the process ran out of descriptors or memory. */
constexpr Duration AcceptPause = millis(100);
/** Idle timeout of authenticated connections; longer than the client's own. */
constexpr Duration IdleTimeout = std::chrono::minutes(5);
constexpr int IdleIntervals = 8;

const Error RejectedPeer {ErrorKind::Unauthorized, "",
                          "check peerKey, instance, peer address and clock of both instances"};

} // namespace

Inbound::Inbound(ExchangeContext context, OwnedDescriptor listener)
    : context_(context)
    , listener_(std::move(listener))
    , listenerToken_(++context_.lastToken_)
    , workers_(HandlerQueue)
{
    context_.loop_.watch(listener_.value(), listenerToken_, false);
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
    const auto found = clients_.find(token);
    if (found == clients_.end()) {
        return false;
    }
    Client &client = found->second;
    const bool open = !readiness.readable_ || client.connection_.receive(BootClock::now());
    for (H2Event &event : client.connection_.session().takeEvents()) {
        if (event.kind_ == H2EventKind::TooLarge) {
            context_.events_.reportRefusal("peer.refused", toString(client.remote_),
                                           "reason=body-too-large");
        } else if (event.kind_ == H2EventKind::Message) {
            processRequest(client, event.stream_, event.message_);
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
    for (int count = 0; count < MaxAcceptsInRow; ++count) {
        PeerAddress remote;
        OwnedDescriptor socket = acceptFrom(listener_.value(), context_.settings_.timeout_, remote);
        if (socket.valid()) {
            addClient(std::move(socket), remote);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
            // The pending connection keeps the listener readable, so the loop would spin.
            logEvent(
                LogLevel::Error, "peer.accept-failed",
                {{"reason", std::strerror(errno)}, {"remedy", "raise the limit of open files"}});
            context_.loop_.unwatch(listener_.value());
            listening_ = false;
            acceptResumeTime_ = BootClock::now() + AcceptPause;
        }
        return;
    }
}

void Inbound::addClient(OwnedDescriptor socket, const PeerAddress &remote)
{
    if (clients_.size() >= MaxInbound) {
        context_.events_.reportRefusal("peer.refused", toString(remote),
                                       "reason=too-many-connections");
        return;
    }
    evictUnauthenticated();
    const TimePoint now = BootClock::now();
    const std::uint64_t token = ++context_.lastToken_;
    Client client {token, remote,
                   Connection(std::move(socket), H2Role::Server, MaxUnauthenticatedBytes, now)};
    client.deadline_ = now + context_.settings_.timeout_;
    context_.loop_.watch(client.connection_.socket(), token, false);
    clients_.emplace(token, std::move(client));
    flush(token);
}

/** Closes the oldest unauthenticated connection if there are too many. */
void Inbound::evictUnauthenticated()
{
    std::size_t unauthenticated = 0;
    const Client *oldest = nullptr;
    for (const auto &[token, client] : clients_) {
        if (client.instance_.empty()) {
            ++unauthenticated;
            oldest = oldest == nullptr || token < oldest->token_ ? &client : oldest;
        }
    }
    if (unauthenticated >= MaxUnauthenticated) {
        context_.events_.reportRefusal("peer.refused", toString(oldest->remote_),
                                       "reason=too-many-unproved");
        close(oldest->token_);
    }
}

void Inbound::close(std::uint64_t token)
{
    const auto found = clients_.find(token);
    if (found != clients_.end()) {
        context_.loop_.unwatch(found->second.connection_.socket());
        clients_.erase(found);
    }
}

/** Closes earlier connections of the same instance, which a new one replaces. */
void Inbound::closeOlderConnections(const Client &client)
{
    std::vector<std::uint64_t> older;
    for (const auto &[token, other] : clients_) {
        if (token != client.token_ && other.instance_ == client.instance_) {
            older.push_back(token);
        }
    }
    for (const std::uint64_t token : older) {
        close(token);
    }
}

void Inbound::flush(std::uint64_t token)
{
    const auto found = clients_.find(token);
    if (found == clients_.end()) {
        return;
    }
    Client &client = found->second;
    if (!client.connection_.flush(BootClock::now())) {
        close(token);
        return;
    }
    const bool wantsWrite = client.connection_.hasOutput();
    if (wantsWrite != client.watchesWrite_) {
        client.watchesWrite_ = wantsWrite;
        context_.loop_.updateWatch(client.connection_.socket(), token, wantsWrite);
    }
    scanDeadline_ = std::min(scanDeadline_, deadlineOf(client));
}

void Inbound::processRequest(Client &client, std::int32_t stream, const H2Message &request)
{
    if (client.closing_ || !authenticate(client, stream, request)) {
        return;
    }
    const std::string_view path = request.path_;
    const bool isPeerPath = path.substr(0, PathPrefix.size()) == PathPrefix;
    if (!isPeerPath || request.method_ != "POST") {
        answerError(
            client, stream, request.nonce_,
            {ErrorKind::NotFound, "not a peer request", "send a POST request to /peer/TOPIC"});
    } else if (path.substr(PathPrefix.size()) == HeartbeatTopic) {
        processHeartbeat(client, stream, request);
    } else if (client.instance_.empty()) {
        refuse(client, stream, request, "no heartbeat before the first request");
    } else {
        dispatch(client, stream, request);
    }
}

bool Inbound::authenticate(Client &client, std::int32_t stream, const H2Message &request)
{
    const PeerIdentity &self = context_.membership_.self();
    const bool isHandshake = client.instance_.empty();
    const Audience audience {self.address_, isHandshake ? 0 : self.incarnation_,
                             client.handshakeNonce_, stream};
    const AuthenticationResult result =
        context_.credentials_.checkRequest(request, audience, BootClock::now());
    if (result != AuthenticationResult::Valid) {
        refuse(client, stream, request, nameOf(AuthenticationResultNames, result));
        return false;
    }
    if (!isHandshake && request.instance_ != client.instance_.value()) {
        refuse(client, stream, request, "another instance on the same connection");
        return false;
    }
    return true;
}

/** Answers without a proof: unauthenticated clients get nothing signed with the key. */
void Inbound::refuse(Client &client, std::int32_t stream, const H2Message &request,
                     std::string_view reason)
{
    context_.events_.reportRefusal("peer.refused", toString(client.remote_),
                                   "reason=" + quoteLogValue(reason) + " claims="
                                       + quoteLogValue(request.instance_.substr(0, 64)));
    Error error = RejectedPeer;
    error.message_ = "rejected as a peer: " + std::string(reason);
    H2Message answer;
    answer.status_ = StatusUnauthorized;
    answer.body_ = encodeError(error);
    client.connection_.session().answer(stream, std::move(answer));
    if (client.instance_.empty()) {
        client.closing_ = true;
        client.connection_.session().finish();
    }
}

void Inbound::processHeartbeat(Client &client, std::int32_t stream, const H2Message &request)
{
    const InstanceId from(request.instance_);
    const auto decoded =
        capture([&] { return decodeHeartbeat(request.body_, from, DomainId(request.domain_)); });
    if (const Error *error = std::get_if<Error>(&decoded)) {
        answerError(client, stream, request.nonce_, *error);
        return;
    }
    const Heartbeat &heartbeat = std::get<Heartbeat>(decoded);
    const PeerIdentity &self = context_.membership_.self();
    const HeartbeatResult result = context_.membership_.onHeartbeat(heartbeat);
    const bool accepted = result == HeartbeatResult::Fresh || result == HeartbeatResult::Stale;
    // A heartbeat from this instance to itself, through an address that it does not know as its
    // own, is answered, so that its outgoing link learns this.
    const bool fromSelf =
        result == HeartbeatResult::Self && heartbeat.sender_.incarnation_ == self.incarnation_;
    if (!accepted && !fromSelf) {
        const std::string reason(nameOf(HeartbeatResultNames, result));
        context_.events_.reportRefusal("peer.refused", from.value(), "reason=" + reason);
        answerError(client, stream, request.nonce_,
                    {ErrorKind::Conflict, "not accepted as a member: " + reason,
                     "run one process for each instance id"});
        return;
    }
    if (client.instance_.empty()) {
        client.instance_ = from;
        client.handshakeNonce_ = request.nonce_;
        client.connection_.session().setBodyLimit(MaxBodyBytes);
        closeOlderConnections(client);
    }
    std::string body = encodeHeartbeat(context_.membership_.compose(from));
    context_.membership_.onExchanged(request.body_.size() + body.size());
    answer(client, stream, request.nonce_, StatusOk, std::move(body));
}

void Inbound::dispatch(Client &client, std::int32_t stream, const H2Message &request)
{
    const auto refuseWith = [&](const Error &error) {
        answerError(client, stream, request.nonce_, error);
    };
    const auto &handlers = context_.settings_.handlers_;
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
    Job job {client.token_,    stream,           request.nonce_,
             client.instance_, &handler->second, std::move(*message)};
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
    context_.loop_.post([this, job = std::move(job), status, body = std::move(body)]() mutable {
        const auto client = clients_.find(job.token_);
        if (client != clients_.end()) {
            answer(client->second, job.stream_, job.nonce_, status, std::move(body));
            flush(job.token_);
        }
    });
}

void Inbound::answer(Client &client, std::int32_t stream, const std::string &nonce, int status,
                     std::string body)
{
    client.connection_.session().answer(
        stream, context_.credentials_.signAnswer(status, nonce, std::move(body)));
}

void Inbound::answerError(Client &client, std::int32_t stream, const std::string &nonce,
                          const Error &error)
{
    answer(client, stream, nonce, statusOf(error.kind_), encodeError(error));
}

TimePoint Inbound::deadlineOf(const Client &client) const
{
    TimePoint deadline = client.deadline_;
    if (!client.instance_.empty()) {
        const Duration longest = IdleIntervals * context_.membership_.longestInterval();
        deadline = client.connection_.lastReceived() + std::max(IdleTimeout, longest);
    }
    if (client.connection_.hasOutput()) {
        deadline =
            std::min(deadline, client.connection_.stalledSince() + context_.settings_.timeout_);
    }
    return deadline;
}

TimePoint Inbound::advance(TimePoint now)
{
    if (!listening_ && acceptResumeTime_ <= now) {
        listening_ = true;
        context_.loop_.watch(listener_.value(), listenerToken_, false);
    }
    if (now >= scanDeadline_) {
        closeOverdue(now);
    }
    return listening_ ? scanDeadline_ : std::min(scanDeadline_, acceptResumeTime_);
}

void Inbound::closeOverdue(TimePoint now)
{
    scanDeadline_ = TimePoint::max();
    std::vector<std::uint64_t> expired;
    for (const auto &[token, client] : clients_) {
        const TimePoint deadline = deadlineOf(client);
        if (deadline <= now) {
            expired.push_back(token);
        } else {
            scanDeadline_ = std::min(scanDeadline_, deadline);
        }
    }
    for (const std::uint64_t token : expired) {
        close(token);
    }
}

void Inbound::closeAll()
{
    clients_.clear();
}

} // namespace almondridge::peers
