#include "almondridge/async/httpclient.h"

#include "almondridge/base/log.h"
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

/** More bytes of a head, of a chunk's head or of trailers than this are no answer. */
constexpr std::size_t MaxUnparsedBytes = 65'536;
/** Interim answers and answers to other requests: more bytes of them are no such answers. */
constexpr std::size_t MaxSkippedBytes = 1'048'576;

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
    events.onHead_ = [result](const ResponseHead &head) { result->status_ = head.status_; };
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
    Exchange(ExchangeId id, ExchangeRequest request, ExchangeEvents events)
        : id_(id)
        , request_(std::move(request))
        , events_(std::move(events))
        , parser_(request_.bodyless_)
    { }

    ExchangeId id_;
    ExchangeRequest request_;
    ExchangeEvents events_;
    ResponseParser parser_;
    std::shared_ptr<Connection> connection_ {};
    std::optional<net::BodyEnd> bodyEnd_ {}; ///< Once the head is reported.
    TimePoint keepUntil_ {};
    bool headReported_ = false;
    bool skipping_ = false;
    std::size_t skippedBytes_ = 0;
    std::size_t bodyBytes_ = 0;
    bool paused_ = false;
};

struct HttpClient::Kept
{
    std::string peer_;
    std::shared_ptr<Connection> connection_;
    TimePoint until_;
};

HttpClient::HttpClient(EventLoop &loop, TcpTimeouts tcpTimeouts)
    : loop_(loop)
    , tcpTimeouts_(tcpTimeouts)
{ }

HttpClient::~HttpClient() = default;

ExchangeId HttpClient::start(ExchangeRequest request, ExchangeEvents events)
{
    const ExchangeId id = nextId_++;
    auto exchange = std::make_shared<Exchange>(id, std::move(request), std::move(events));
    exchanges_.emplace(id, exchange);
    if (!exchange->request_.fresh_) {
        exchange->connection_ = takeKept(exchange->request_.peer_);
    }
    if (exchange->connection_ != nullptr) {
        ++counters_.reuses_;
    } else {
        ++counters_.connects_;
        ++connections_[exchange->request_.peer_];
        exchange->connection_ = connect(exchange->request_);
    }
    attach(*exchange);
    exchange->connection_->write(exchange->request_.text_);
    exchange->request_.text_ = {};
    return id;
}

std::shared_ptr<Connection> HttpClient::connect(const ExchangeRequest &request)
{
    auto connection =
        Connection::connect(loop_, request.address_, request.connectBy_, tcpTimeouts_);
    connection->onEstablished([this, peer = request.peer_] { reportConnect(peer, true); });
    return connection;
}

void HttpClient::reportConnect(const std::string &peer, bool connected)
{
    const auto &handler = connected ? connectEvents_.onConnected_ : connectEvents_.onConnectFailed_;
    if (handler) {
        handler(peer);
    }
}

void HttpClient::open(const std::string &peer, const net::Address &address, TimePoint connectBy,
                      const std::function<void(bool)> &done)
{
    const ExchangeId id = nextId_++;
    ++counters_.connects_;
    ++connections_[peer];
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
    const TimePoint now = BootClock::now();
    // Newest first, so that older connections reach their idle timeout and few stay open.
    for (auto kept = kept_.end(); kept != kept_.begin();) {
        --kept;
        if (kept->until_ <= now || !kept->connection_->isOpen()) {
            const auto expired = kept++;
            dropKeptConnection(expired);
            continue;
        }
        if (kept->peer_ == peer) {
            std::shared_ptr<Connection> connection = kept->connection_;
            kept_.erase(kept);
            return connection;
        }
    }
    return nullptr;
}

void HttpClient::keep(const std::string &peer, std::shared_ptr<Connection> connection,
                      TimePoint until)
{
    const auto drop = [this, raw = connection.get()] {
        const auto found = std::find_if(kept_.begin(), kept_.end(), [raw](const Kept &kept) {
            return kept.connection_.get() == raw;
        });
        if (found != kept_.end()) {
            dropKeptConnection(found);
        }
    };
    // Bytes on an idle connection belong to no request and could be taken for the response to the
    // next one.
    connection->onInput([this, drop] {
        ++counters_.dirtyConnections_;
        drop();
    });
    connection->onClosed([drop](CloseCause) { drop(); });
    kept_.push_back({peer, std::move(connection), until});
    if (kept_.size() > maxKept_) {
        dropKeptConnection(kept_.begin());
    }
}

void HttpClient::dropKeptConnection(KeptList::iterator kept)
{
    const std::shared_ptr<Connection> connection = kept->connection_;
    decrementConnections(kept->peer_);
    kept_.erase(kept);
    connection->close();
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
    for (auto kept = kept_.begin(); kept != kept_.end();) {
        const auto current = kept++;
        if (current->peer_ == peer) {
            dropKeptConnection(current);
        }
    }
}

void HttpClient::dropAllKept()
{
    while (!kept_.empty()) {
        dropKeptConnection(kept_.begin());
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
        const bool isEndless = status == ParseStatus::NeedMore && input.size() > MaxUnparsedBytes;
        if (isEndless || (status != ParseStatus::Done && status != ParseStatus::NeedMore)) {
            failExchange(id, exchange->headReported_ ? ExchangeFailure::Truncated
                                                     : ExchangeFailure::Garbled);
            return;
        }
        if (exchange->parser_.headDone() && !exchange->headReported_ && !exchange->skipping_) {
            exchange->skipping_ = mustSkipResponse(*exchange);
            if (!exchange->skipping_) {
                exchange->headReported_ = true;
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
