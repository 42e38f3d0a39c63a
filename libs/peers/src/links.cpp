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
constexpr std::size_t MaxCallsUnderWay = MaxStreams - 8;

} // namespace

Links::Links(ExchangeParts parts, PendingCalls &calls)
    : parts_(parts)
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
    OwnedDescriptor socket = connectTo(address, parts_.settings_.timeout_);
    if (!socket.valid()) {
        parts_.membership_.unanswered(address);
        return nullptr;
    }
    const std::uint64_t token = ++parts_.lastToken_;
    parts_.loop_.watch(socket.value(), token, true);
    Link link {token,
               address,
               instance,
               0,
               {},
               LinkState::Connecting,
               Connection(std::move(socket), H2Role::Client, MaxBodyBytes, now)};
    link.openDeadline_ = now + parts_.settings_.answerTimeout();
    byAddress_[toString(address)] = token;
    scanDeadline_ = std::min(scanDeadline_, link.openDeadline_);
    return &links_.emplace(token, std::move(link)).first->second;
}

/** Closes a link and fails all its calls. */
void Links::close(std::uint64_t token, const std::string &why)
{
    const auto found = links_.find(token);
    if (found == links_.end()) {
        return;
    }
    Link link = std::move(found->second);
    links_.erase(found);
    byAddress_.erase(toString(link.address_));
    parts_.loop_.unwatch(link.connection_.socket());
    for (const auto &[stream, exchange] : link.exchanges_) {
        if (exchange.call_ != 0) {
            calls_.giveUp(exchange.call_, why);
        }
    }
    for (const OutgoingCall &call : link.waiting_) {
        calls_.giveUp(call.id_, why);
    }
}

/** Closes a link whose other side rejected this instance, or is not a valid peer itself. */
void Links::refused(std::uint64_t token, const Error &error)
{
    const auto found = links_.find(token);
    if (found == links_.end()) {
        return;
    }
    const PeerAddress address = found->second.address_;
    parts_.events_.reportRefusal("peer.refused-by", toString(address),
                                 "reason=" + quoteLogValue(error.message_)
                                     + " remedy=" + quoteLogValue(error.remedy_));
    for (const OutgoingCall &call : std::exchange(found->second.waiting_, {})) {
        calls_.finish(call.id_, error);
    }
    close(token, error.message_);
    parts_.membership_.unanswered(address);
}

/**
 * Reconnects a silent link. A network device between the two sides may drop the state of a
 * connection, which then stays open but carries no data. Only a missing answer reveals that, and
 * only a new connection helps. The member stays alive if it answers there before its heartbeat
 * deadline.
 */
void Links::replace(std::uint64_t token)
{
    const Link &link = links_.at(token);
    const PeerAddress address = link.address_;
    const InstanceId instance = link.instance_;
    parts_.events_.report("peer.silent", instance.value(),
                          "address=" + toString(address)
                              + " cut_requests=" + std::to_string(link.exchanges_.size() - 1));
    close(token, "the connection went silent");
    open(address, instance);
}

void Links::heartbeat(const HeartbeatTarget &target, bool urgent)
{
    Link *link = find(target.address_);
    if (link == nullptr) {
        open(target.address_, target.instance_);
    } else if (link->state_ != LinkState::Open) {
        link->newsWaiting_ = link->newsWaiting_ || urgent;
    } else if (urgent || !heartbeatUnderWay(*link)) {
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
        calls_.giveUp(call.id_, "no connection to " + toString(call.address_));
        return;
    }
    if (link->waiting_.size() + link->exchanges_.size() >= MaxCallsPerLink) {
        calls_.finish(call.id_, Error {ErrorKind::Overloaded,
                                       "too many requests to " + call.to_.value() + " at once",
                                       "retry when some of them have been answered"});
        return;
    }
    const std::uint64_t token = link->token_;
    link->waiting_.push_back(std::move(call));
    if (link->state_ == LinkState::Open) {
        sendWaiting(*link);
        flush(token);
    }
}

H2Message Links::seal(const Link &link, std::string path, std::string body)
{
    const std::int32_t stream = link.connection_.session().nextStream();
    const Audience audience {link.address_, link.incarnation_, link.greeting_, stream};
    return parts_.credentials_.signRequest(std::move(path), audience, std::move(body));
}

void Links::sendHeartbeat(Link &link)
{
    std::string body = encodeHeartbeat(parts_.membership_.compose(link.instance_));
    const std::size_t bytes = body.size();
    H2Message message = seal(link, HeartbeatPath, std::move(body));
    std::string nonce = message.nonce_;
    if (link.greeting_.empty()) {
        link.greeting_ = nonce;
    }
    const std::int32_t stream = link.connection_.session().request(std::move(message));
    const TimePoint now = BootClock::now();
    // Stream 0 means that the session takes no more; the entry's deadline then closes the link.
    link.exchanges_[stream] = {0, std::move(nonce), bytes, now,
                               now + parts_.settings_.answerTimeout()};
}

/** Sends queued calls up to MaxCallsUnderWay. */
void Links::sendWaiting(Link &link)
{
    while (!link.waiting_.empty() && link.exchanges_.size() < MaxCallsUnderWay) {
        OutgoingCall call = std::move(link.waiting_.front());
        link.waiting_.pop_front();
        sendCall(link, std::move(call));
    }
}

void Links::sendCall(Link &link, OutgoingCall call)
{
    if (call.to_ != link.instance_) {
        calls_.giveUp(call.id_, "another instance answers at " + toString(call.address_));
        return;
    }
    if (!calls_.markSent(call.id_)) {
        return;
    }
    H2Message message = seal(link, std::move(call.path_), std::move(call.body_));
    std::string nonce = message.nonce_;
    const std::int32_t stream = link.connection_.session().request(std::move(message));
    if (stream == 0) {
        calls_.giveUp(call.id_, "the connection accepts no more requests");
        return;
    }
    link.exchanges_[stream] = {call.id_, std::move(nonce), 0, BootClock::now(), call.deadline_};
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
            parts_.membership_.unanswered(address);
            return true;
        }
        connected(link);
    }
    const bool open = !readiness.readable_ || link.connection_.receive(BootClock::now());
    if (!takeEvents(token)) {
        return true;
    }
    if (!open) {
        const PeerAddress address = link.address_;
        close(token, "the peer closed the connection");
        parts_.membership_.unanswered(address);
        return true;
    }
    if (link.state_ == LinkState::Open) {
        sendWaiting(link);
    }
    flush(token);
    return true;
}

void Links::connected(Link &link)
{
    link.state_ = LinkState::Greeting;
    sendHeartbeat(link);
}

void Links::greeted(Link &link, const PeerIdentity &who)
{
    link.instance_ = who.instance_;
    if (link.state_ == LinkState::Open) {
        return;
    }
    link.state_ = LinkState::Open;
    link.incarnation_ = who.incarnation_;
    if (std::exchange(link.newsWaiting_, false)) {
        sendHeartbeat(link);
    }
    sendWaiting(link);
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
        parts_.membership_.unanswered(address);
        return;
    }
    const bool wantsWrite = link.connection_.hasOutput();
    if (wantsWrite != link.watchesWrite_) {
        link.watchesWrite_ = wantsWrite;
        parts_.loop_.rewatch(link.connection_.socket(), token, wantsWrite);
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
