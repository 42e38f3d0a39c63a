#include "links.h"

#include "almondridge/base/log.h"

#include <algorithm>

namespace almondridge::peers {
namespace {

const std::string HeartbeatPath = "/peer/heartbeat";
/** Maximum requests queued or in flight on one link. */
constexpr std::size_t MaxCallsPerLink = 1'024;
/**
 * Maximum requests in flight on one link; more are queued. The peer accepts MaxStreams at a time;
 * some are reserved for heartbeats, as one that waits for slow handlers would look like a silent
 * connection.
 */
constexpr std::size_t MaxCallsInFlight = MaxStreams - 8;

} // namespace

Links::Links(ExchangeContext context, PendingCalls &calls)
    : context_(context)
    , calls_(calls)
{ }

Links::Link *Links::find(const PeerAddress &address)
{
    const auto token = byAddress_.find(toString(address));
    return token == byAddress_.end() ? nullptr : &links_.at(token->second);
}

Links::Link *Links::open(const PeerAddress &address, const InstanceId &instance)
{
    const TimePoint now = BootClock::now();
    OwnedDescriptor socket = connectTo(address, context_.settings_.timeout_);
    if (!socket.valid()) {
        context_.membership_.onNoAnswer(address);
        return nullptr;
    }
    const std::uint64_t token = ++context_.lastToken_;
    context_.loop_.watch(socket.value(), token, true);
    Link link {token,
               address,
               instance,
               0,
               {},
               LinkState::Connecting,
               Connection(std::move(socket), H2Role::Client, MaxBodyBytes, now)};
    link.openDeadline_ = now + context_.settings_.answerTimeout();
    byAddress_[toString(address)] = token;
    scanDeadline_ = std::min(scanDeadline_, link.openDeadline_);
    return &links_.emplace(token, std::move(link)).first->second;
}

/** Closes a link and fails all its calls. */
void Links::close(std::uint64_t token, const std::string &reason)
{
    const auto found = links_.find(token);
    if (found == links_.end()) {
        return;
    }
    Link link = std::move(found->second);
    links_.erase(found);
    byAddress_.erase(toString(link.address_));
    context_.loop_.unwatch(link.connection_.socket());
    for (const auto &[stream, pending] : link.pendingRequests_) {
        if (pending.call_ != 0) {
            calls_.failCall(pending.call_, reason);
        }
    }
    for (const OutgoingCall &call : link.queue_) {
        calls_.failCall(call.id_, reason);
    }
}

/** Closes a link whose other side rejected this instance, or is not a valid peer itself. */
void Links::onRefused(std::uint64_t token, const Error &error)
{
    const auto found = links_.find(token);
    if (found == links_.end()) {
        return;
    }
    const PeerAddress address = found->second.address_;
    context_.events_.reportRefusal("peer.refused-by", toString(address),
                                   "reason=" + quoteLogValue(error.message_)
                                       + " remedy=" + quoteLogValue(error.remedy_));
    for (const OutgoingCall &call : std::exchange(found->second.queue_, {})) {
        calls_.finish(call.id_, error);
    }
    close(token, error.message_);
    context_.membership_.onNoAnswer(address);
}

/**
 * Reconnects a silent link. A network device between the two sides may drop the state of a
 * connection, which then stays open but carries no data. Only a missing answer reveals that, and
 * only a new connection helps. The member stays alive if it answers there before its heartbeat
 * deadline.
 */
void Links::reconnect(std::uint64_t token)
{
    const Link &link = links_.at(token);
    const PeerAddress address = link.address_;
    const InstanceId instance = link.instance_;
    context_.events_.report("peer.silent", instance.value(),
                            "address=" + toString(address) + " cut_requests="
                                + std::to_string(link.pendingRequests_.size() - 1));
    close(token, "the connection went silent");
    open(address, instance);
}

void Links::heartbeat(const HeartbeatTarget &target, bool urgent)
{
    Link *link = find(target.address_);
    if (link == nullptr) {
        open(target.address_, target.instance_);
    } else if (link->state_ != LinkState::Open) {
        link->heartbeatQueued_ = link->heartbeatQueued_ || urgent;
    } else if (urgent || !heartbeatInFlight(*link)) {
        const std::uint64_t token = link->token_;
        sendHeartbeat(*link);
        flush(token);
    }
}

void Links::call(OutgoingCall call)
{
    Link *link = find(call.address_);
    if (link == nullptr) {
        link = open(call.address_, call.to_);
    }
    if (link == nullptr) {
        calls_.failCall(call.id_, "no connection to " + toString(call.address_));
        return;
    }
    if (link->queue_.size() + link->pendingRequests_.size() >= MaxCallsPerLink) {
        calls_.finish(call.id_, Error {ErrorKind::Overloaded,
                                       "too many requests to " + call.to_.value() + " at once",
                                       "retry when some of them have been answered"});
        return;
    }
    const std::uint64_t token = link->token_;
    link->queue_.push_back(std::move(call));
    if (link->state_ == LinkState::Open) {
        sendQueued(*link);
        flush(token);
    }
}

H2Message Links::makeRequest(const Link &link, std::string path, std::string body)
{
    const std::int32_t stream = link.connection_.session().nextStream();
    const Audience audience {link.address_, link.incarnation_, link.handshakeNonce_, stream};
    return context_.credentials_.signRequest(std::move(path), audience, std::move(body));
}

void Links::sendHeartbeat(Link &link)
{
    std::string body = encodeHeartbeat(context_.membership_.compose(link.instance_));
    const std::size_t bytes = body.size();
    H2Message message = makeRequest(link, HeartbeatPath, std::move(body));
    std::string nonce = message.nonce_;
    if (link.handshakeNonce_.empty()) {
        link.handshakeNonce_ = nonce;
    }
    const std::int32_t stream = link.connection_.session().request(std::move(message));
    const TimePoint now = BootClock::now();
    // Stream 0 means that the session takes no more; the entry's deadline then closes the link.
    link.pendingRequests_[stream] = {0, std::move(nonce), bytes, now,
                                     now + context_.settings_.answerTimeout()};
}

/** Sends queued calls up to MaxCallsInFlight. */
void Links::sendQueued(Link &link)
{
    while (!link.queue_.empty() && link.pendingRequests_.size() < MaxCallsInFlight) {
        OutgoingCall call = std::move(link.queue_.front());
        link.queue_.pop_front();
        sendCall(link, std::move(call));
    }
}

void Links::sendCall(Link &link, OutgoingCall call)
{
    if (call.to_ != link.instance_) {
        calls_.failCall(call.id_, "another instance answers at " + toString(call.address_));
        return;
    }
    if (!calls_.markSent(call.id_)) {
        return;
    }
    H2Message message = makeRequest(link, std::move(call.path_), std::move(call.body_));
    std::string nonce = message.nonce_;
    const std::int32_t stream = link.connection_.session().request(std::move(message));
    if (stream == 0) {
        calls_.failCall(call.id_, "the connection accepts no more requests");
        return;
    }
    link.pendingRequests_[stream] = {call.id_, std::move(nonce), 0, BootClock::now(),
                                     call.deadline_};
}

bool Links::ready(std::uint64_t token, Readiness readiness)
{
    const auto found = links_.find(token);
    if (found == links_.end()) {
        return false;
    }
    Link &link = found->second;
    if (link.state_ == LinkState::Connecting) {
        if (!readiness.writable_) {
            return true;
        }
        if (link.connection_.socketError() != 0) {
            const PeerAddress address = link.address_;
            close(token, "no connection to " + toString(address));
            context_.membership_.onNoAnswer(address);
            return true;
        }
        onConnected(link);
    }
    const bool open = !readiness.readable_ || link.connection_.receive(BootClock::now());
    if (!processEvents(token)) {
        return true;
    }
    if (!open) {
        const PeerAddress address = link.address_;
        close(token, "the peer closed the connection");
        context_.membership_.onNoAnswer(address);
        return true;
    }
    if (link.state_ == LinkState::Open) {
        sendQueued(link);
    }
    flush(token);
    return true;
}

void Links::onConnected(Link &link)
{
    link.state_ = LinkState::Handshake;
    sendHeartbeat(link);
}

void Links::onHeartbeatAnswer(Link &link, const PeerIdentity &identity)
{
    link.instance_ = identity.instance_;
    if (link.state_ == LinkState::Open) {
        return;
    }
    link.state_ = LinkState::Open;
    link.incarnation_ = identity.incarnation_;
    if (std::exchange(link.heartbeatQueued_, false)) {
        sendHeartbeat(link);
    }
    sendQueued(link);
}

void Links::flush(std::uint64_t token)
{
    const auto found = links_.find(token);
    if (found == links_.end() || found->second.state_ == LinkState::Connecting) {
        return;
    }
    Link &link = found->second;
    if (!link.connection_.flush(BootClock::now())) {
        const PeerAddress address = link.address_;
        close(token, "the connection broke");
        context_.membership_.onNoAnswer(address);
        return;
    }
    const bool wantsWrite = link.connection_.hasOutput();
    if (wantsWrite != link.watchesWrite_) {
        link.watchesWrite_ = wantsWrite;
        context_.loop_.updateWatch(link.connection_.socket(), token, wantsWrite);
    }
    scanDeadline_ = std::min(scanDeadline_, nextDeadline(link));
}

void Links::closeAll()
{
    while (!links_.empty()) {
        close(links_.begin()->first, "this instance is stopping");
    }
}

} // namespace almondridge::peers
