#include "almondridge/net/httpexchange.h"

#include "almondridge/net/answerhead.h"
#include "almondridge/net/bodyend.h"
#include "almondridge/net/tcpend.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondridge::net {
namespace {

namespace http = boost::beast::http;
using Parser = http::response_parser<http::buffer_body>;

constexpr std::size_t MaxHeadBytes = 32'768;
/** More bytes of a head, of a chunk's head or of trailers than this are no answer. */
constexpr std::size_t MaxUnparsedBytes = 65'536;
constexpr std::size_t ReceiveBytes = 16'384;
constexpr int MaxInterimAnswers = 16;
constexpr int FirstFinalStatus = 200;
/** Maximum timeout of one poll(), so that a far deadline does not overflow its int. */
constexpr std::int64_t LongestWait = 86'400'000;

boost::leaf::error_id interrupted(const Address &address, const std::string &what)
{
    return fail(ErrorKind::Interrupted, toString(address) + ": " + what,
                "find out the effect before sending again");
}

enum class PollStatus { Ready, Timeout, WatchedReady };

/** Polls a socket for events, and a watched one for input or hang-up, until deadline. */
PollStatus pollUntil(int socket, short events, int watched, TimePoint deadline)
{
    std::array<pollfd, 2> entries {{{socket, events, 0}, {watched, POLLIN | POLLRDHUP, 0}}};
    const nfds_t count = watched >= 0 ? 2 : 1;
    for (;;) {
        // One millisecond more than the remaining time, so that poll() returns after the deadline.
        const std::int64_t left = std::min(millisUntil(deadline, BootClock::now()), LongestWait);
        const int wait = deadline <= BootClock::now() ? 0 : static_cast<int>(left) + 1;
        const int ready = ::poll(entries.data(), count, wait);
        if (ready < 0 && errno == EINTR) {
            continue;
        }
        if (ready <= 0) {
            return PollStatus::Timeout;
        }
        return entries[0].revents != 0 ? PollStatus::Ready : PollStatus::WatchedReady;
    }
}

std::string requestText(const Address &address, const Request &request)
{
    std::string text = request.method_ + " " + request.path_ + " HTTP/1.1\r\n";
    text += "Host: " + toString(address) + "\r\nConnection: close\r\n";
    if (!request.body_.empty() || (request.method_ != "GET" && request.method_ != "HEAD")) {
        text += "Content-Length: " + std::to_string(request.body_.size()) + "\r\n";
    }
    for (const Header &header : request.headers_) {
        text += header.name_ + ": " + header.value_ + "\r\n";
    }
    return text + "\r\n" + request.body_;
}

} // namespace

struct HttpExchange::State
{
    explicit State(Address address)
        : address_(std::move(address))
    {
        startAnswer();
    }
    ~State()
    {
        if (socket_ >= 0) {
            ::close(socket_);
        }
    }
    State(const State &) = delete;
    State &operator=(const State &) = delete;

    /** Expects another answer, after an interim one. */
    void startAnswer()
    {
        parser_.emplace();
        parser_->body_limit({});
        parser_->header_limit(MaxHeadBytes);
        parser_->skip(isBodyless_);
    }

    /** Reads the available bytes; returns false if the peer closed the connection. */
    Result<bool> receive()
    {
        std::array<char, ReceiveBytes> bytes;
        const ssize_t got = ::recv(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
            return true;
        }
        if (got < 0) {
            return interrupted(address_, std::strerror(errno));
        }
        if (got == 0 && tcpEndOf(socket_) != TcpEnd::InOrder) {
            return interrupted(address_, "closed before it had received the request");
        }
        if (unparsed().size() + static_cast<std::size_t>(got) > MaxUnparsedBytes) {
            return interrupted(address_, "the answer has no end");
        }
        receivedBytes_ += static_cast<std::size_t>(got);
        pending_.erase(0, std::exchange(consumed_, 0));
        pending_.append(bytes.data(), static_cast<std::size_t>(got));
        return got > 0;
    }

    Result<void> parseHead(TimePoint deadline)
    {
        boost::system::error_code error;
        while (!parser_->is_header_done()) {
            if (!unparsed().empty()) {
                consumed_ +=
                    parser_->put(boost::asio::buffer(unparsed().data(), unparsed().size()), error);
                if (error && error != http::error::need_more) {
                    return interrupted(address_, error.message());
                }
                if (parser_->is_header_done()) {
                    break;
                }
            }
            if (pollUntil(socket_, POLLIN, -1, deadline) != PollStatus::Ready) {
                return interrupted(address_, "no answer in time");
            }
            BOOST_LEAF_AUTO(open, receive());
            if (!open) {
                return interrupted(address_, "closed before the answer");
            }
        }
        return {};
    }

    /** Received bytes that the parser hasn't taken yet. */
    std::string_view unparsed() const noexcept
    {
        return std::string_view(pending_).substr(consumed_);
    }

    Address address_;
    int socket_ = -1;
    bool anythingSent_ = false;
    bool endOfInput_ = false;
    std::optional<BodyEnd> bodyEnd_; ///< Once the head was read.
    std::string pending_;
    std::size_t receivedBytes_ = 0;
    std::size_t consumed_ = 0; ///< Of pending_, from its front.
    bool isBodyless_ = false;  ///< The answer to a HEAD request.
    std::optional<Parser> parser_;
};

HttpExchange::HttpExchange(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }
HttpExchange::HttpExchange(HttpExchange &&) noexcept = default;
HttpExchange &HttpExchange::operator=(HttpExchange &&) noexcept = default;
HttpExchange::~HttpExchange() = default;

Result<HttpExchange> HttpExchange::connect(const Address &address, TimePoint deadline)
{
    auto state = std::make_unique<State>(address);
    state->socket_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto unavailable = [&](const std::string &what) {
        return fail(ErrorKind::Unavailable, toString(address) + ": " + what,
                    "check that the other side runs at this address");
    };
    if (state->socket_ < 0) {
        return unavailable(std::strerror(errno));
    }
    const int on = 1;
    ::setsockopt(state->socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in to {};
    to.sin_family = AF_INET;
    to.sin_port = htons(address.port_);
    if (inet_pton(AF_INET, address.ip_.c_str(), &to.sin_addr) != 1) {
        return unavailable("not an IPv4 number");
    }
    if (::connect(state->socket_, reinterpret_cast<const sockaddr *>(&to), sizeof to) != 0) {
        if (errno != EINPROGRESS) {
            return unavailable(std::strerror(errno));
        }
        if (pollUntil(state->socket_, POLLOUT, -1, deadline) != PollStatus::Ready) {
            return fail(ErrorKind::TimedOut, toString(address) + ": no connection in time",
                        "check the network path, then try again");
        }
        int error = 0;
        socklen_t size = sizeof error;
        ::getsockopt(state->socket_, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            return unavailable(std::strerror(error));
        }
    }
    return HttpExchange(std::move(state));
}

Result<void> HttpExchange::send(const Request &request, TimePoint deadline)
{
    const std::string text = requestText(state_->address_, request);
    // A response to HEAD has a Content-Length but no body. Without this, the exchange would wait
    // for the body until the deadline.
    state_->isBodyless_ = request.method_ == "HEAD";
    state_->startAnswer();
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t wrote = ::send(state_->socket_, text.data() + sent, text.size() - sent,
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote > 0) {
            state_->anythingSent_ = true;
            sent += static_cast<std::size_t>(wrote);
            continue;
        }
        const bool full = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        if (full && pollUntil(state_->socket_, POLLOUT, -1, deadline) == PollStatus::Ready) {
            continue;
        }
        if (!state_->anythingSent_) {
            return fail(ErrorKind::Unavailable, toString(state_->address_) + ": nothing was sent",
                        "try again or use another endpoint");
        }
        return interrupted(state_->address_, "the request was sent in part");
    }
    return {};
}

ReadStatus HttpExchange::waitForInput(TimePoint deadline, int watchedDescriptor)
{
    if (!state_->unparsed().empty() || state_->endOfInput_) {
        return ReadStatus::Data;
    }
    switch (pollUntil(state_->socket_, POLLIN, watchedDescriptor, deadline)) {
    case PollStatus::Timeout:
        return ReadStatus::Timeout;
    case PollStatus::WatchedReady:
        return ReadStatus::WatchedReady;
    case PollStatus::Ready:
        break;
    }
    return ReadStatus::Data;
}

Result<ResponseHead> HttpExchange::readHead(TimePoint deadline)
{
    for (int interim = 0; interim <= MaxInterimAnswers; ++interim) {
        BOOST_LEAF_CHECK(state_->parseHead(deadline));
        const Parser &parser = *state_->parser_;
        ResponseHead head;
        head.status_ = static_cast<int>(parser.get().result_int());
        for (const auto &field : parser.get()) {
            head.headers_.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        const auto defect =
            defectOf({static_cast<int>(parser.get().version()), head.status_, head.headers_});
        if (defect) {
            return interrupted(state_->address_,
                               "a head with an invalid "
                                   + std::string(nameOf(HeadDefectNames, *defect)));
        }
        if (head.status_ >= FirstFinalStatus) {
            state_->bodyEnd_.emplace(head.headers_);
            return head;
        }
        state_->startAnswer();
    }
    return interrupted(state_->address_, "interim answers without end");
}

Result<ReadResult> HttpExchange::readSome(std::span<char> buffer, TimePoint deadline,
                                          int watchedDescriptor)
{
    Parser &parser = *state_->parser_;
    for (;;) {
        if (parser.is_done()) {
            if (!state_->bodyEnd_->isPossible(!parser.need_eof())) {
                return interrupted(state_->address_, "the answer ended inside an event");
            }
            return ReadResult {ReadStatus::End, 0};
        }
        if (const std::string_view unparsed = state_->unparsed(); !unparsed.empty()) {
            auto &body = parser.get().body();
            body.data = buffer.data();
            body.size = buffer.size();
            boost::system::error_code error;
            const std::size_t used =
                parser.put(boost::asio::buffer(unparsed.data(), unparsed.size()), error);
            state_->consumed_ += used;
            if (error && error != http::error::need_buffer && error != http::error::need_more) {
                return interrupted(state_->address_, error.message());
            }
            const std::size_t filled = buffer.size() - body.size;
            if (filled > 0) {
                state_->bodyEnd_->onBytes({buffer.data(), filled});
                return ReadResult {ReadStatus::Data, filled};
            }
            if (used > 0) {
                continue;
            }
        }
        if (state_->endOfInput_) {
            return interrupted(state_->address_, "closed before the end of the answer");
        }
        switch (pollUntil(state_->socket_, POLLIN, watchedDescriptor, deadline)) {
        case PollStatus::Timeout:
            return ReadResult {ReadStatus::Timeout, 0};
        case PollStatus::WatchedReady:
            return ReadResult {ReadStatus::WatchedReady, 0};
        case PollStatus::Ready:
            break;
        }
        BOOST_LEAF_AUTO(open, state_->receive());
        if (!open) {
            state_->endOfInput_ = true;
            boost::system::error_code error;
            parser.put_eof(error);
        }
    }
}

Result<std::string> HttpExchange::readRest(TimePoint deadline, std::size_t limit)
{
    std::string rest;
    // Counted with its framing, which can be many times as long as the body.
    const std::size_t begun = state_->receivedBytes_;
    std::array<char, ReceiveBytes> buffer;
    for (;;) {
        BOOST_LEAF_AUTO(read, readSome(buffer, deadline));
        if (read.status_ == ReadStatus::End) {
            return rest;
        }
        if (read.status_ != ReadStatus::Data) {
            return interrupted(state_->address_, "the answer did not end in time");
        }
        rest.append(buffer.data(), read.size_);
        if (BootClock::now() >= deadline) {
            return interrupted(state_->address_, "the answer did not end in time");
        }
        if (state_->receivedBytes_ > begun + limit) {
            return fail(ErrorKind::Protocol,
                        toString(state_->address_) + ": the answer is longer than "
                            + std::to_string(limit) + " bytes",
                        "raise the limit if such answers are wanted");
        }
    }
}

bool HttpExchange::anythingSent() const noexcept
{
    return state_->anythingSent_;
}

void HttpExchange::shutdown() noexcept
{
    ::shutdown(state_->socket_, SHUT_RDWR);
}

int HttpExchange::socketDescriptor() const noexcept
{
    return state_->socket_;
}

} // namespace almondridge::net
