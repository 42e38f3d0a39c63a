#include "serverpeer.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>
#include <vector>

namespace almondridge::async {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/** Accept queue length; all callers of a failure domain may connect at the same time. */
constexpr int AcceptBacklog = 1'024;
/** What an instance may add to the head of a request that it forwards. */
constexpr std::uint32_t PeerHeadBytes = 1'024;
/** Delay before accepting again when the process has run out of file descriptors. */
constexpr Duration AcceptPause = millis(50);
/** Limit of buffered pipelined input; beyond it, reading from the connection is paused. */
constexpr std::size_t ReadAheadBytes = 65'536;
/** An answer of which more is unwritten has to be read before the next request is begun. */
constexpr std::size_t MaxUnreadBytes = 65'536;
/** Memory of a call besides its head and body. */
constexpr std::size_t CallBytes = 8'192;
/** TCP timeouts for connections of callers. */
constexpr TcpTimeouts CallerTcpTimeouts {10'000, 10, 3};

struct Rejection
{
    ParseStatus status_;
    int code_;
    ClientLimit limit_;
};

constexpr std::array<Rejection, 3> Rejections {{
    {ParseStatus::HeadTooLarge, 431, ClientLimit::Head},
    {ParseStatus::BodyTooLarge, 413, ClientLimit::Body},
    {ParseStatus::Malformed, 400, ClientLimit::Malformed},
}};

const Rejection &rejectionFor(ParseStatus status)
{
    const auto *found = std::find_if(Rejections.begin(), Rejections.end(),
                                     [&](const Rejection &row) { return row.status_ == status; });
    return found != Rejections.end() ? *found : Rejections.back();
}

struct ListenerUse
{
    Listener listener_;
    SocketUse use_;
};

constexpr std::array<ListenerUse, 4> ListenerUses {{
    {Listener::Callers, SocketUse::Callers},
    {Listener::Peers, SocketUse::Requests},
    {Listener::Messages, SocketUse::Messages},
    {Listener::Health, SocketUse::Ready},
}};

SocketUse useOf(Listener listener)
{
    return ListenerUses.at(static_cast<std::size_t>(listener)).use_;
}

} // namespace

std::string_view reasonOf(int status) noexcept
{
    const auto text = boost::beast::http::obsolete_reason(
        boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {text.data(), text.size()};
}

struct HttpServer::Acceptor
{
    Acceptor(EventLoop &loop, Listener listener)
        : listener_(listener)
        , socket_(loop.context())
        , acceptAgain_(loop)
    { }

    Listener listener_;
    asio::ip::tcp::acceptor socket_;
    Timer acceptAgain_;
};

HttpServer::HttpServer(EventLoop &loop, ServerEvents events)
    : loop_(loop)
    , events_(std::move(events))
{
    loop_.memory().addSource(*this);
}

HttpServer::~HttpServer()
{
    loop_.memory().removeSource(*this);
}

Result<void> HttpServer::listen(const net::Address &address, Listener listener)
{
    auto acceptor = std::make_unique<Acceptor>(loop_, listener);
    asio::ip::tcp::acceptor &socket = acceptor->socket_;
    error_code failure;
    const auto ip = asio::ip::make_address_v4(address.ip_, failure);
    socket.open(asio::ip::tcp::v4(), failure);
    if (!failure) {
        socket.set_option(asio::socket_base::reuse_address(true), failure);
        // Of the listening socket, as connections inherit it before their first byte arrives.
        socket.set_option(
            asio::socket_base::receive_buffer_size(static_cast<int>(ReceiveBufferBytes)), failure);
        socket.bind({ip, address.port_}, failure);
    }
    if (!failure) {
        socket.listen(AcceptBacklog, failure);
    }
    if (failure) {
        return fail(ErrorKind::Unavailable, net::toString(address) + ": " + failure.message(),
                    "listen on a free port of this machine");
    }
    accept(*(acceptors_[listener] = std::move(acceptor)));
    return {};
}

std::uint16_t HttpServer::port(Listener listener) const
{
    error_code ignored;
    return acceptors_.at(listener)->socket_.local_endpoint(ignored).port();
}

void HttpServer::accept(Acceptor &acceptor)
{
    acceptor.socket_.async_accept(
        [this, &acceptor](const error_code &failure, Connection::Socket socket) {
            if (failure == asio::error::operation_aborted) {
                return;
            }
            if (!acceptor.socket_.is_open()) {
                if (!failure) {
                    closeWithoutRequest(adopt(std::move(socket), acceptor.listener_));
                }
                return;
            }
            if (failure) {
                makeSocketFree(acceptor.listener_);
                acceptor.acceptAgain_.startAt(BootClock::now() + AcceptPause,
                                              [this, &acceptor] { accept(acceptor); });
                return;
            }
            adopt(std::move(socket), acceptor.listener_);
            accept(acceptor);
        });
}

void HttpServer::acceptArrived(Acceptor &acceptor)
{
    error_code failure;
    acceptor.socket_.non_blocking(true, failure);
    while (!failure) {
        Connection::Socket socket(loop_.context());
        acceptor.socket_.accept(socket, failure);
        if (!failure) {
            adopt(std::move(socket), acceptor.listener_);
        }
    }
}

std::uint64_t HttpServer::adopt(Connection::Socket socket, Listener listener)
{
    if (!loop_.sockets().mayOpen(useOf(listener)) && !makeSocketFree(listener)) {
        limitsMet_.count(ClientLimit::NoSocket);
        return 0;
    }
    const std::uint64_t number = nextConnection_++;
    auto connection =
        Connection::adopt(loop_, std::move(socket), CallerTcpTimeouts, useOf(listener));
    connection->onInput([this, number] { onInput(number); });
    connection->onClosed([this, number](CloseCause) { onPeerClosed(number); });
    connection->onWritten([this, number] {
        const auto found = connections_.find(number);
        if (found == connections_.end()) {
            return;
        }
        Peer &written = *found->second;
        noteProgress(written);
        if (written.call_ != 0 && events_.onWritten_) {
            events_.onWritten_({number, written.call_});
        } else if (written.call_ == 0 && !written.connection_->unread().empty()) {
            // The next request has waited for this answer to be read.
            loop_.post([this, number] { onInput(number); });
        }
    });
    auto &peer = connections_[number] = std::make_unique<Peer>(loop_, number, connection);
    peer->listener_ = listener;
    startIdle(*peer);
    connection->startReading();
    return number;
}

void HttpServer::onInput(std::uint64_t number)
{
    const auto found = connections_.find(number);
    if (found == connections_.end()) {
        return;
    }
    Peer &peer = *found->second;
    if (peer.closing_) {
        return;
    }
    if (peer.call_ == 0 && peer.connection_->unwritten() <= MaxUnreadBytes) {
        peer.connection_->resumeReading();
        readRequest(peer);
        return;
    }
    if (peer.connection_->unread().size() > ReadAheadBytes) {
        peer.connection_->pauseReading();
    }
}

void HttpServer::readRequest(Peer &peer)
{
    if (peer.parser_ == nullptr) {
        ParserLimits message = limits_.message_;
        message.headBytes_ += peer.listener_ == Listener::Peers ? PeerHeadBytes : 0;
        peer.parser_ = std::make_unique<RequestParser>(message);
        peer.startedAt_ = BootClock::now();
        peer.progressAt_ = peer.startedAt_;
        peer.progressMark_ = peer.receivedBytes_ + peer.connection_->writtenBytes();
        peer.expectHandled_ = false;
        peer.deadline_.startAt(peer.startedAt_ + millis(limits_.headerTimeoutMillis_),
                               [this, number = peer.number_] { onDeadline(number); });
    }
    const auto [status, consumed] = peer.parser_->feed(peer.connection_->unread());
    peer.connection_->consume(consumed);
    peer.held_.set(peer.parser_->heldBytes());
    peer.receivedBytes_ += consumed;
    noteProgress(peer);
    if (status == ParseStatus::Done) {
        beginCall(peer);
        return;
    }
    if (status != ParseStatus::NeedMore) {
        rejectMessage(peer, status);
        return;
    }
    if (peer.parser_->headDone() && !peer.expectHandled_) {
        peer.expectHandled_ = true;
        if (!net::equalWithoutCase(net::headerValue(peer.parser_->head().headers_, "Expect"),
                                   "100-continue")) {
            return;
        }
        if (intake_ == Intake::Closed) {
            refuseBeforeBody(peer);
            return;
        }
        peer.connection_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

ServerCall HttpServer::takeCall(Peer &peer)
{
    peer.deadline_.stop();
    peer.progressAt_ = BootClock::now();
    peer.call_ = nextCall_++;
    peer.keepAlive_ = peer.parser_->keepAlive();
    peer.http10_ = peer.parser_->head().http10_;
    peer.bodyless_ = peer.parser_->head().method_ == "HEAD";
    ++openCalls_;
    ServerCall call {{peer.number_, peer.call_},
                     std::move(peer.parser_->head()),
                     std::move(peer.parser_->body()),
                     peer.startedAt_,
                     peer.listener_,
                     HeldBytes(loop_.memory())};
    peer.parser_.reset();
    peer.held_.set(0);
    call.head_.headers_.shrink_to_fit();
    call.held_.set(CallBytes + heldBytes(call.head_) + call.body_.capacity());
    return call;
}

/** The only way from a connection to onCall_. */
void HttpServer::beginCall(Peer &peer)
{
    ServerCall call = takeCall(peer);
    if (intake_ == Intake::Closed) {
        respond(call.id_, refusalOf(call));
        return;
    }
    // An endpoint gets a copy of the body with a head of its own.
    const std::size_t copied = call.body_.size() + limits_.message_.headBytes_;
    const bool isSmall = call.held_.bytes() <= SmallMessageBytes;
    const YieldKind kind = isSmall ? YieldKind::Small : YieldKind::Large;
    if (!loop_.memory().makeRoom(copied, kind, BootClock::now())) {
        limitsMet_.count(ClientLimit::MemoryCall);
        const net::Response response = overloaded(call.head_, call.listener_, copied);
        const CallId id = call.id_;
        call = {};
        respond(id, response);
        return;
    }
    events_.onCall_(std::move(call));
}

void HttpServer::refuseBeforeBody(Peer &peer)
{
    const ServerCall call = takeCall(peer);
    peer.keepAlive_ = false;
    respond(call.id_, refusalOf(call));
}

net::Response HttpServer::refusalOf(const ServerCall &call) const
{
    constexpr int Unavailable = 503;
    return events_.refusal_ ? events_.refusal_(call) : net::Response {Unavailable, {}, ""};
}

void HttpServer::rejectMessage(Peer &peer, ParseStatus status)
{
    const Rejection &rejection = rejectionFor(status);
    endWith(peer, rejection.code_, rejection.limit_);
}

void HttpServer::endWith(Peer &peer, int code, ClientLimit limit)
{
    limitsMet_.count(limit);
    peer.connection_->write(fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", code, reasonOf(code)));
    closeInOrder(peer);
}

void HttpServer::onDeadline(std::uint64_t number)
{
    const auto found = connections_.find(number);
    if (found == connections_.end()) {
        return;
    }
    Peer &peer = *found->second;
    if (peer.connection_->unwritten() > 0 && peer.parser_ == nullptr) {
        if (peer.connection_->writtenBytes() > peer.idleMark_) {
            startIdle(peer);
            return;
        }
        cutUnread(peer, ClientLimit::UnreadTime);
        return;
    }
    constexpr int RequestTimeout = 408;
    peer.parser_ != nullptr ? endWith(peer, RequestTimeout, ClientLimit::Time) : closeInOrder(peer);
}

void HttpServer::startIdle(Peer &peer)
{
    peer.idleMark_ = peer.connection_->writtenBytes();
    peer.deadline_.startAt(BootClock::now() + millis(limits_.idleTimeoutMillis_),
                           [this, number = peer.number_] { onDeadline(number); });
}

void HttpServer::onPeerClosed(std::uint64_t number)
{
    const auto found = connections_.find(number);
    if (found == connections_.end()) {
        return;
    }
    const CallId id {number, found->second->call_};
    drop(number);
    if (id.call_ != 0) {
        --openCalls_;
        events_.onCallerGone_(id);
    }
}

void HttpServer::drop(std::uint64_t number)
{
    connections_.erase(number);
}

HttpServer::Peer *HttpServer::find(const CallId &id)
{
    const auto found = connections_.find(id.connection_);
    return found != connections_.end() && found->second->call_ == id.call_ && id.call_ != 0
               ? found->second.get()
               : nullptr;
}

const HttpServer::Peer *HttpServer::find(const CallId &id) const
{
    return const_cast<HttpServer *>(this)->find(id);
}

std::string HttpServer::headText(Peer &peer, const ResponseHead &head) const
{
    if (intake_ != Intake::Open && peer.connection_->unread().empty()) {
        peer.keepAlive_ = false;
    }
    const std::string_view reason = head.reason_.empty() ? reasonOf(head.status_) : head.reason_;
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", head.status_, reason);
    for (const net::Header &header : head.headers_) {
        text += header.name_;
        text += ": ";
        text += header.value_;
        text += "\r\n";
    }
    if (!peer.keepAlive_) {
        text += "Connection: close\r\n";
    }
    return text;
}

void HttpServer::respond(const CallId &id, const net::Response &response)
{
    Peer *peer = find(id);
    if (peer == nullptr) {
        return;
    }
    std::string text = headText(*peer, {response.status_, {}, response.headers_});
    text += fmt::format("Content-Length: {}\r\n\r\n", response.body_.size());
    if (!peer->bodyless_) {
        text.reserve(text.size() + response.body_.size());
        text += response.body_;
    }
    peer->connection_->write(std::move(text));
    finishCall(*peer);
}

void HttpServer::beginStream(const CallId &id, const ResponseHead &head)
{
    Peer *peer = find(id);
    if (peer == nullptr) {
        return;
    }
    const bool hasLength = !net::headerValue(head.headers_, "Content-Length").empty();
    peer->chunked_ = !hasLength && !peer->http10_;
    if (peer->http10_ && !hasLength) {
        peer->keepAlive_ = false;
        // Only the close marks the end of this answer, so an orderly one must not come early.
        peer->connection_->setResetOnClose(true);
    }
    std::string text = headText(*peer, head);
    text += peer->chunked_ ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
    peer->connection_->write(text);
}

void HttpServer::streamBytes(const CallId &id, std::string_view bytes)
{
    Peer *peer = find(id);
    if (peer == nullptr || bytes.empty() || peer->bodyless_) {
        return;
    }
    if (!peer->chunked_) {
        peer->connection_->write(bytes);
        return;
    }
    std::string chunk = fmt::format("{:x}\r\n", bytes.size());
    chunk += bytes;
    chunk += "\r\n";
    peer->connection_->write(chunk);
}

void HttpServer::endStream(const CallId &id)
{
    Peer *peer = find(id);
    if (peer == nullptr) {
        return;
    }
    if (peer->chunked_ && !peer->bodyless_) {
        peer->connection_->write("0\r\n\r\n");
    }
    if (peer->http10_) {
        peer->connection_->setResetOnClose(false);
    }
    finishCall(*peer);
}

void HttpServer::finishCall(Peer &peer)
{
    peer.call_ = 0;
    peer.chunked_ = false;
    --openCalls_;
    if (intake_ == Intake::Closed) {
        peer.connection_->readArrived();
    }
    if (!peer.keepAlive_ || (intake_ == Intake::Closed && isWithoutRequest(peer))) {
        closeInOrder(peer);
        return;
    }
    startIdle(peer);
    peer.progressAt_ = BootClock::now();
    if (peer.connection_->unwritten() <= MaxUnreadBytes) {
        peer.connection_->resumeReading();
    }
    if (!peer.connection_->unread().empty()) {
        // The next request may be buffered already. Posted, as this may run inside onCall_.
        loop_.post([this, number = peer.number_] { onInput(number); });
    }
}

void HttpServer::abort(const CallId &id)
{
    if (find(id) == nullptr) {
        return;
    }
    --openCalls_;
    drop(id.connection_);
}

std::size_t HttpServer::unwritten(const CallId &id) const
{
    const Peer *peer = find(id);
    return peer != nullptr ? peer->connection_->unwritten() : 0;
}

std::size_t HttpServer::unfinished() const
{
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(), [](const auto &entry) {
            const Peer &peer = *entry.second;
            return !isWithoutRequest(peer) || peer.connection_->unwritten() > 0;
        }));
}

void HttpServer::beginDrain()
{
    intake_ = std::max(intake_, Intake::Draining);
}

void HttpServer::endIntake()
{
    if (intake_ == Intake::Closed) {
        return;
    }
    for (auto &[listener, acceptor] : acceptors_) {
        acceptArrived(*acceptor);
        error_code ignored;
        acceptor->socket_.close(ignored);
        acceptor->acceptAgain_.stop();
    }
    std::vector<std::uint64_t> numbers;
    numbers.reserve(connections_.size());
    for (const auto &[number, peer] : connections_) {
        numbers.push_back(number);
    }
    for (const std::uint64_t number : numbers) {
        takeArrived(number);
    }
    intake_ = Intake::Closed;
    for (const std::uint64_t number : numbers) {
        closeWithoutRequest(number);
    }
}

void HttpServer::takeArrived(std::uint64_t number)
{
    const auto found = connections_.find(number);
    if (found == connections_.end() || found->second->call_ != 0) {
        return;
    }
    Connection &connection = *found->second->connection_;
    connection.readArrived();
    if (!connection.unread().empty()) {
        onInput(number);
    }
}

void HttpServer::closeWithoutRequest(std::uint64_t number)
{
    takeArrived(number);
    const auto found = connections_.find(number);
    if (found != connections_.end() && isWithoutRequest(*found->second)) {
        closeInOrder(*found->second);
    }
}

bool HttpServer::isWithoutRequest(const Peer &peer)
{
    return peer.call_ == 0 && peer.parser_ == nullptr && peer.connection_->unread().empty();
}

void HttpServer::closeInOrder(Peer &peer)
{
    peer.closing_ = true;
    peer.parser_.reset();
    peer.held_.set(0);
    startIdle(peer);
    peer.connection_->onInput({});
    peer.connection_->closeAfterWriting();
}

} // namespace almondridge::async
