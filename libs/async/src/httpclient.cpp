#include "almondridge/async/httpclient.h"

#include "almondridge/base/log.h"
#include "almondridge/net/answerhead.h"
#include "almondridge/net/bodyend.h"

#include <algorithm>
#include <charconv>

namespace almondridge::async {
namespace {

/** Idle timeout of a pooled connection whose peer sent no Keep-Alive timeout. */
constexpr Duration DefaultIdleTimeout = millis(2'000);
/**
 * Subtracted from the Keep-Alive timeout of the peer, which starts to count earlier than this
 * side. A request that crosses the peer's close would have to be treated as possibly executed.
 */
constexpr Duration IdleTimeoutMargin = millis(700);

/** Interim answers and answers to other requests: more bytes of them are no such answers. */
constexpr std::size_t MaxSkippedBytes = 1'048'576;

/**
 * Bounds the memory for peers that may never be used again. The reason of a new connection to a
 * forgotten peer is counted as First.
 */
constexpr std::size_t MaxConnectedPeers = 4'096;

/** The timeout parameter of a Keep-Alive header, in seconds; 0 if there is none. */
int keepAliveTimeoutSeconds(std::string_view keepAlive)
{
    constexpr std::string_view Name = "timeout=";
    const std::size_t at = keepAlive.find(Name);
    int seconds = 0;
    if (at != std::string_view::npos) {
        const std::string_view digits = keepAlive.substr(at + Name.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    }
    return seconds;
}

TimePoint keepUntil(const net::Headers &headers, TimePoint now)
{
    const int seconds = keepAliveTimeoutSeconds(net::headerValue(headers, "Keep-Alive"));
    return seconds > 0 ? now + millis(1'000LL * seconds) - IdleTimeoutMargin
                       : now + DefaultIdleTimeout;
}

} // namespace

ExchangeEvents gatherAnswer(std::function<void(const ExchangeResult &)> done)
{
    const auto result = std::make_shared<ExchangeResult>();
    ExchangeEvents events;
    events.onHead_ = [result](const ResponseHead &head) {
        result->status_ = head.status_;
        // Nothing here asks for a coding, so that the body isn't what was asked for.
        if (net::isEncoded(head.headers_)) {
            result->failure_ = ExchangeFailure::Garbled;
        }
    };
    events.onBody_ = [result](const std::string &bytes) { result->body_ += bytes; };
    events.onEnd_ = [result, done] { done(*result); };
    events.onFailed_ = [result, done = std::move(done)](ExchangeFailure failure) {
        result->failure_ = failure;
        done(*result);
    };
    return events;
}

struct HttpClient::Exchange
{
    Exchange(MemoryAccount &memory, ExchangeId id, ExchangeRequest request, ExchangeEvents events)
        : id_(id)
        , request_(std::move(request))
        , events_(std::move(events))
        , parser_(request_.bodyless_)
        , held_(memory)
    { }

    /** Receivers of answers without a bound of their own count what they keep themselves. */
    void countHeld()
    {
        const bool isGathered = request_.maxBodyBytes_ > 0;
        held_.set(headBytes_ + (isGathered ? bodyBytes_ : 0));
    }

    ExchangeId id_;
    ExchangeRequest request_;
    ExchangeEvents events_;
    ResponseParser parser_;
    HeldBytes held_;
    std::size_t headBytes_ = 0;
    std::shared_ptr<Connection> connection_ {};
    std::optional<net::BodyEnd> bodyEnd_ {}; ///< Once the head is reported.
    TimePoint keepUntil_ {};
    bool headReported_ = false;
    bool skipping_ = false;
    std::size_t skippedBytes_ = 0;
    std::size_t bodyBytes_ = 0;
    bool paused_ = false;
};

HttpClient::HttpClient(EventLoop &loop, TcpTimeouts tcpTimeouts)
    : loop_(loop)
    , tcpTimeouts_(tcpTimeouts)
    , connectedPeers_(MaxConnectedPeers)
{ }

HttpClient::~HttpClient() = default;

ExchangeId HttpClient::start(ExchangeRequest request, ExchangeEvents events)
{
    const ExchangeId id = nextId_++;
    auto exchange =
        std::make_shared<Exchange>(loop_.memory(), id, std::move(request), std::move(events));
    exchanges_.emplace(id, exchange);
    if (!exchange->request_.fresh_) {
        exchange->connection_ = takeKept(exchange->request_.peer_);
    }
    if (exchange->connection_ != nullptr) {
        ++counters_.reuses_;
    } else {
        countConnect(exchange->request_.peer_, connectReason(exchange->request_));
        exchange->connection_ = connect(exchange->request_);
    }
    attach(*exchange);
    exchange->connection_->write(std::move(exchange->request_.text_));
    return id;
}

/** Called after takeKept() has found no connection, so that no expired one is counted as in use. */
ConnectReason HttpClient::connectReason(const ExchangeRequest &request) const
{
    if (request.fresh_) {
        return ConnectReason::Fresh;
    }
    if (connections_.contains(request.peer_)) {
        return ConnectReason::Busy;
    }
    return connectedPeers_.contains(request.peer_) ? ConnectReason::Expired : ConnectReason::First;
}

void HttpClient::countConnect(const std::string &peer, ConnectReason reason)
{
    ++counters_.connects_;
    ++counters_.connectsByReason_.at(static_cast<std::size_t>(reason));
    ++connections_[peer];
}

std::shared_ptr<Connection> HttpClient::connect(const ExchangeRequest &request)
{
    makeSocketFree();
    auto connection =
        Connection::connect(loop_, request.address_, request.connectBy_, tcpTimeouts_);
    if (receiveBufferBytes_ > 0) {
        connection->setReceiveBuffer(receiveBufferBytes_);
    }
    connection->onEstablished([this, peer = request.peer_] { reportConnect(peer, true); });
    return connection;
}

void HttpClient::reportConnect(const std::string &peer, bool connected)
{
    if (connected) {
        connectedPeers_.add(peer);
    }
    const auto &handler = connected ? connectEvents_.onConnected_ : connectEvents_.onConnectFailed_;
    if (handler) {
        handler(peer);
    }
}

void HttpClient::open(const std::string &peer, const net::Address &address, TimePoint connectBy,
                      const std::function<void(bool)> &done)
{
    const ExchangeId id = nextId_++;
    countConnect(peer, ConnectReason::Fresh);
    makeSocketFree();
    const auto connection = Connection::connect(loop_, address, connectBy, tcpTimeouts_);
    opening_[id] = connection;
    connection->onEstablished([this, id, peer, done] {
        const auto opened = opening_.extract(id).mapped();
        keep(peer, opened, BootClock::now() + DefaultIdleTimeout);
        reportConnect(peer, true);
        done(true);
    });
    connection->onClosed([this, id, peer, done](CloseCause) {
        opening_.erase(id);
        decrementConnections(peer);
        reportConnect(peer, false);
        done(false);
    });
}

void HttpClient::attach(Exchange &exchange)
{
    const ExchangeId id = exchange.id_;
    exchange.connection_->onInput([this, id] { onInput(id); });
    exchange.connection_->onClosed([this, id](CloseCause cause) { onClosed(id, cause); });
}

std::shared_ptr<Connection> HttpClient::takeKept(const std::string &peer)
{
    dropExpired(BootClock::now());
    // Newest first, so that older connections reach their idle timeout and few stay open.
    for (auto found = keptByPeer_.find(peer); found != keptByPeer_.end();
         found = keptByPeer_.find(peer)) {
        const KeptNumber newest = *found->second.rbegin();
        if (kept_.at(newest).connection_->isOpen()) {
            return removeKept(newest).connection_;
        }
        dropKeptConnection(newest);
    }
    return nullptr;
}

bool HttpClient::hasIdle(const std::string &peer, TimePoint now) const
{
    const auto found = keptByPeer_.find(peer);
    return found != keptByPeer_.end()
           && std::any_of(found->second.rbegin(), found->second.rend(), [&](KeptNumber number) {
                  const Kept &kept = kept_.at(number);
                  return kept.until_ > now && kept.connection_->isOpen();
              });
}

void HttpClient::keep(const std::string &peer, std::shared_ptr<Connection> connection,
                      TimePoint until)
{
    const KeptNumber number = nextKept_++;
    const auto drop = [this, number] {
        if (kept_.contains(number)) {
            dropKeptConnection(number);
        }
    };
    // Bytes on an idle connection belong to no request and could be taken for the response to the
    // next one.
    connection->onInput([this, drop] {
        ++counters_.dirtyConnections_;
        drop();
    });
    connection->onClosed([drop](CloseCause) { drop(); });
    kept_.emplace(number, Kept {peer, std::move(connection), until});
    keptByPeer_[peer].insert(number);
    keptByExpiry_.emplace(until, number);
    if (kept_.size() > maxKept_) {
        dropKeptConnection(kept_.begin()->first);
    }
}

/** Takes a connection from the pool and its indexes; it stays open and counted. */
HttpClient::Kept HttpClient::removeKept(KeptNumber number)
{
    Kept kept = std::move(kept_.extract(number).mapped());
    keptByExpiry_.erase({kept.until_, number});
    const auto ofPeer = keptByPeer_.find(kept.peer_);
    ofPeer->second.erase(number);
    if (ofPeer->second.empty()) {
        keptByPeer_.erase(ofPeer);
    }
    return kept;
}

void HttpClient::dropKeptConnection(KeptNumber number)
{
    const Kept kept = removeKept(number);
    decrementConnections(kept.peer_);
    kept.connection_->close();
}

void HttpClient::dropExpired(TimePoint now)
{
    while (!keptByExpiry_.empty() && keptByExpiry_.begin()->first <= now) {
        dropKeptConnection(keptByExpiry_.begin()->second);
    }
}

/** The oldest idle connection yields to a new one when outgoing sockets are used up. */
void HttpClient::makeSocketFree()
{
    if (!kept_.empty() && !loop_.sockets().mayOpen(SocketUse::Outgoing)) {
        dropKeptConnection(kept_.begin()->first);
    }
}

void HttpClient::decrementConnections(const std::string &peer)
{
    const auto found = connections_.find(peer);
    if (found != connections_.end() && --found->second == 0) {
        connections_.erase(found);
    }
}

std::size_t HttpClient::connections(const std::string &peer) const
{
    const auto found = connections_.find(peer);
    return found != connections_.end() ? found->second : 0;
}

void HttpClient::dropKept(const std::string &peer)
{
    connectedPeers_.remove(peer);
    const auto found = keptByPeer_.find(peer);
    if (found == keptByPeer_.end()) {
        return;
    }
    // Copied, because each removal changes the index.
    for (const KeptNumber number : std::set<KeptNumber>(found->second)) {
        dropKeptConnection(number);
    }
}

void HttpClient::dropAllKept()
{
    connectedPeers_.clear();
    while (!kept_.empty()) {
        dropKeptConnection(kept_.begin()->first);
    }
}

/** Whether to discard the response: it is interim (1xx) or has the id of another request. */
bool HttpClient::mustSkipResponse(Exchange &exchange)
{
    const std::string_view named =
        net::headerValue(exchange.parser_.head().headers_, "X-Request-Id");
    const bool interim = exchange.parser_.head().status_ < 200;
    if (interim) {
        return true;
    }
    return !exchange.request_.requestId_.empty() && !named.empty()
           && named != exchange.request_.requestId_;
}

void HttpClient::onInput(ExchangeId id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end() || found->second->paused_) {
        return;
    }
    const std::shared_ptr<Exchange> exchange = found->second;
    std::string &input = exchange->connection_->input();
    for (;;) {
        const std::size_t before = input.size();
        const ParseStatus status = exchange->parser_.feed(input);
        const std::size_t parsed = before - input.size();
        if (status != ParseStatus::Done && status != ParseStatus::NeedMore) {
            failExchange(id, exchange->headReported_ ? ExchangeFailure::Truncated
                                                     : ExchangeFailure::Garbled);
            return;
        }
        if (exchange->parser_.headDone() && !exchange->headReported_ && !exchange->skipping_) {
            exchange->skipping_ = mustSkipResponse(*exchange);
            if (!exchange->skipping_) {
                exchange->headReported_ = true;
                exchange->headBytes_ = heldBytes(exchange->parser_.head());
                exchange->bodyEnd_.emplace(exchange->parser_.head().headers_);
                exchange->keepUntil_ =
                    keepUntil(exchange->parser_.head().headers_, BootClock::now());
                exchange->events_.onHead_(exchange->parser_.head());
            }
        }
        if (exchange->skipping_) {
            exchange->parser_.takeBody();
            exchange->skippedBytes_ += parsed;
            if (exchange->skippedBytes_ > MaxSkippedBytes) {
                failExchange(id, ExchangeFailure::Garbled);
                return;
            }
            if (status != ParseStatus::Done) {
                return;
            }
            ++counters_.skippedAnswers_;
            exchange->skipping_ = false;
            exchange->parser_ = ResponseParser(exchange->request_.bodyless_);
            continue;
        }
        if (!exchanges_.contains(id)) {
            return;
        }
        std::string body = exchange->parser_.takeBody();
        exchange->bodyBytes_ += body.size();
        exchange->countHeld();
        const std::size_t maxBytes = exchange->request_.maxBodyBytes_;
        if (maxBytes > 0 && exchange->bodyBytes_ > maxBytes) {
            fail(id, ExchangeFailure::Truncated);
            return;
        }
        if (!body.empty()) {
            exchange->bodyEnd_->onBytes(body);
            exchange->events_.onBody_(std::move(body));
        }
        if (status == ParseStatus::Done && exchanges_.contains(id)) {
            exchange->bodyEnd_->isPossible(true) ? finish(id)
                                                 : failExchange(id, ExchangeFailure::Truncated);
        }
        return;
    }
}

void HttpClient::finish(ExchangeId id)
{
    const std::shared_ptr<Exchange> exchange = exchanges_.at(id);
    exchanges_.erase(id);
    const std::string &peer = exchange->request_.peer_;
    const bool clean = exchange->connection_->input().empty();
    if (!clean) {
        ++counters_.dirtyConnections_;
    }
    if (clean && exchange->parser_.keepAlive() && exchange->connection_->isOpen()
        && exchange->connection_->unwritten() == 0) {
        keep(peer, exchange->connection_, exchange->keepUntil_);
    } else {
        exchange->connection_->close();
        decrementConnections(peer);
    }
    exchange->events_.onEnd_();
}

void HttpClient::onClosed(ExchangeId id, CloseCause cause)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    const std::shared_ptr<Exchange> exchange = found->second;
    if (cause == CloseCause::ConnectFailed) {
        reportConnect(exchange->request_.peer_, false);
        if (exchanges_.contains(id)) { // The report may have made its owner cancel it.
            failExchange(id, ExchangeFailure::NotSent);
        }
        return;
    }
    if (!exchange->headReported_) {
        failExchange(id, ExchangeFailure::Unanswered);
        return;
    }
    const bool complete = cause == CloseCause::EndOfStream
                          && exchange->parser_.feedEnd() == ParseStatus::Done
                          && exchange->bodyEnd_->isPossible(false);
    logEvent(LogLevel::Info, "answer_closed",
             {{"peer", exchange->request_.peer_},
              {"id", exchange->request_.requestId_},
              {"framing", nameOf(BodyFramingNames, exchange->parser_.framing())},
              {"cause", nameOf(CloseCauseNames, cause)},
              {"complete", complete ? "yes" : "no"}});
    if (complete) {
        finish(id);
        return;
    }
    failExchange(id, ExchangeFailure::Truncated);
}

void HttpClient::fail(ExchangeId id, ExchangeFailure failure)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    logEvent(LogLevel::Warning, "answer_too_long",
             {{"peer", found->second->request_.peer_},
              {"id", found->second->request_.requestId_},
              {"body_bytes", found->second->bodyBytes_}});
    failExchange(id, failure);
}

void HttpClient::failExchange(ExchangeId id, ExchangeFailure failure)
{
    const std::shared_ptr<Exchange> exchange = exchanges_.at(id);
    cancel(id);
    exchange->events_.onFailed_(failure);
}

void HttpClient::cancel(ExchangeId id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
        return;
    }
    const std::shared_ptr<Exchange> exchange = found->second;
    exchanges_.erase(found);
    exchange->connection_->close();
    decrementConnections(exchange->request_.peer_);
}

void HttpClient::pause(ExchangeId id)
{
    const auto found = exchanges_.find(id);
    if (found != exchanges_.end() && !found->second->paused_) {
        found->second->paused_ = true;
        found->second->connection_->pauseReading();
    }
}

void HttpClient::resume(ExchangeId id)
{
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end() || !found->second->paused_) {
        return;
    }
    found->second->paused_ = false;
    found->second->connection_->resumeReading();
    loop_.post([this, id] { onInput(id); });
}

} // namespace almondridge::async
