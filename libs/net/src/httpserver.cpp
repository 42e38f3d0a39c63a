#include "almondridge/net/httpserver.h"

#include "almondridge/base/log.h"
#include "companionthread.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <civetweb.h>
#include <cstring>
#include <dirent.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace almondridge::net {
namespace {

constexpr std::size_t ReadBytes = 16'384;
/** Tells CivetWeb that the request was handled; any positive number has this meaning. */
constexpr int HandledStatus = 200;
constexpr auto WakeInterval = std::chrono::milliseconds(5);

std::string_view viewOf(const char *text)
{
    return text == nullptr ? std::string_view() : std::string_view(text);
}

bool isConnection(int descriptor, const mg_request_info &info)
{
    sockaddr_in peer {};
    sockaddr_in local {};
    socklen_t peerSize = sizeof peer;
    socklen_t localSize = sizeof local;
    if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &peerSize) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr *>(&local), &localSize) != 0) {
        return false;
    }
    std::array<char, INET_ADDRSTRLEN> ip {};
    inet_ntop(AF_INET, &peer.sin_addr, ip.data(), ip.size());
    return ntohs(peer.sin_port) == info.remote_port && ntohs(local.sin_port) == info.server_port
           && viewOf(ip.data()) == viewOf(info.remote_addr);
}

/** Finds the socket of a connection among the descriptors of this process. */
int findSocket(const mg_request_info &info)
{
    DIR *directory = opendir("/proc/self/fd");
    if (directory == nullptr) {
        return -1;
    }
    int found = -1;
    while (const dirent *entry = readdir(directory)) {
        int descriptor = -1;
        const char *name = entry->d_name;
        std::from_chars(name, name + std::strlen(name), descriptor);
        if (descriptor > 2 && isConnection(descriptor, info)) {
            found = descriptor;
            break;
        }
    }
    closedir(directory);
    return found;
}

bool writeAll(mg_connection *connection, std::string_view bytes)
{
    return mg_write(connection, bytes.data(), bytes.size()) == static_cast<int>(bytes.size());
}

std::string statusLine(int status, mg_connection *connection)
{
    return "HTTP/1.1 " + std::to_string(status) + " "
           + mg_get_response_code_text(connection, status) + "\r\n";
}

std::string headerLines(std::string_view contentType, const Headers &extra, bool close)
{
    std::string lines = "Content-Type: " + std::string(contentType) + "\r\n";
    for (const Header &header : extra) {
        lines += header.name_ + ": " + header.value_ + "\r\n";
    }
    return lines + (close ? "Connection: close\r\n" : "Connection: keep-alive\r\n");
}

} // namespace

ServerExchange::ServerExchange(mg_connection *connection, BodyMemory &bodies)
    : connection_(connection)
    , body_(bodies)
    , callerSocket_(-1)
{ }

std::string_view ServerExchange::method() const noexcept
{
    return viewOf(mg_get_request_info(connection_)->request_method);
}

std::string_view ServerExchange::path() const noexcept
{
    return viewOf(mg_get_request_info(connection_)->request_uri);
}

std::string_view ServerExchange::query() const noexcept
{
    return viewOf(mg_get_request_info(connection_)->query_string);
}

std::string ServerExchange::queryValue(std::string_view name) const
{
    constexpr std::size_t MaxValueBytes = 4'096;
    std::string value(MaxValueBytes, '\0');
    const std::string_view text = query();
    const int size =
        mg_get_var(text.data(), text.size(), std::string(name).c_str(), value.data(), value.size());
    value.resize(static_cast<std::size_t>(std::max(size, 0)));
    return value;
}

std::string_view ServerExchange::header(std::string_view name) const noexcept
{
    return viewOf(mg_get_header(connection_, std::string(name).c_str()));
}

Headers ServerExchange::headers() const
{
    const mg_request_info *info = mg_get_request_info(connection_);
    Headers all;
    for (int index = 0; index < info->num_headers; ++index) {
        all.push_back({info->http_headers[index].name, info->http_headers[index].value});
    }
    return all;
}

Result<std::string> ServerExchange::readBody(std::size_t limit, TimePoint deadline)
{
    const long long length = mg_get_request_info(connection_)->content_length;
    const auto tooLong = [&] {
        closeAfterAnswer();
        return fail(ErrorKind::Overloaded,
                    "the body is longer than " + std::to_string(limit) + " bytes",
                    "send a shorter body");
    };
    if (length > static_cast<long long>(limit)) {
        return tooLong();
    }
    std::string body;
    std::array<char, ReadBytes> buffer;
    while (length < 0 || body.size() < static_cast<std::size_t>(length)) {
        const int got = mg_read(connection_, buffer.data(), buffer.size());
        if (BootClock::now() >= deadline) {
            closeAfterAnswer();
            return fail(ErrorKind::TimedOut, "the body came too slowly",
                        "send the whole request at once");
        }
        if (got <= 0) {
            break;
        }
        const std::size_t needed = body.size() + static_cast<std::size_t>(got);
        // As much as the string takes when it grows.
        const bool grows = needed > body.capacity();
        if (grows && !body_.grow(std::max(needed, 2 * body.capacity()))) {
            closeAfterAnswer();
            return fail(ErrorKind::NoMemory, "there is no memory for the body now",
                        "send the request again after the time in Retry-After");
        }
        body.append(buffer.data(), static_cast<std::size_t>(got));
        if (body.size() > limit) {
            return tooLong();
        }
    }
    if (length >= 0 && body.size() < static_cast<std::size_t>(length)) {
        closeAfterAnswer();
        return fail(ErrorKind::Interrupted, "the body ended early",
                    "send as many bytes as Content-Length says");
    }
    return body;
}

bool ServerExchange::respond(int status, std::string_view contentType, std::string_view body,
                             const Headers &extra)
{
    answered_ = true;
    std::string text =
        statusLine(status, connection_) + headerLines(contentType, extra, closeAfterAnswer_);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (method() != "HEAD") {
        text += body;
    }
    return writeAll(connection_, text);
}

bool ServerExchange::beginStream(int status, std::string_view contentType, const Headers &extra)
{
    answered_ = true;
    return writeAll(connection_, statusLine(status, connection_)
                                     + headerLines(contentType, extra, closeAfterAnswer_)
                                     + "Transfer-Encoding: chunked\r\n\r\n");
}

bool ServerExchange::writeChunk(std::string_view bytes)
{
    // A single write: mg_send_chunk() makes three, which are three packets with TCP_NODELAY.
    std::array<char, 16> size {};
    const auto [end, error] =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    std::string text(size.data(), end);
    text += "\r\n";
    text += bytes;
    text += "\r\n";
    return writeAll(connection_, text);
}

bool ServerExchange::endStream()
{
    return writeAll(connection_, "0\r\n\r\n");
}

void ServerExchange::closeAfterAnswer() noexcept
{
    closeAfterAnswer_ = true;
    mg_disable_keep_alive(connection_);
}

int ServerExchange::callerSocket() const noexcept
{
    if (!callerSocketKnown_) {
        callerSocket_ = findSocket(*mg_get_request_info(connection_));
        callerSocketKnown_ = true;
    }
    return callerSocket_;
}

bool ServerExchange::callerGone() const noexcept
{
    const int descriptor = callerSocket();
    if (descriptor < 0) {
        return false;
    }
    pollfd entry {descriptor, POLLIN | POLLRDHUP, 0};
    if (::poll(&entry, 1, 0) <= 0) {
        return false;
    }
    return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

std::string ServerExchange::callerAddress() const
{
    const mg_request_info *info = mg_get_request_info(connection_);
    return std::string(info->remote_addr) + ":" + std::to_string(info->remote_port);
}

struct HttpServer::State
{
    ~State() { stop(); }

    void stop()
    {
        if (context_ == nullptr) {
            return;
        }
        // CivetWeb's accept thread checks its stop flag only after a connection or a timeout of two
        // seconds. Connecting to it avoids that delay.
        std::atomic<bool> stopped = false;
        std::thread waker([&] { wakeUntil(stopped); });
        mg_stop(context_);
        context_ = nullptr;
        stopped = true;
        waker.join();
    }

    void wakeUntil(const std::atomic<bool> &stopped) const
    {
        while (!stopped) {
            const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
            (void) ::connect(descriptor, reinterpret_cast<const sockaddr *>(&listening_),
                             sizeof listening_);
            ::close(descriptor);
            std::this_thread::sleep_for(WakeInterval);
        }
    }

    /**
     * Handles every request, including WebSocket upgrades, before CivetWeb does. A CivetWeb request
     * handler is not sufficient: it is set after the server has started to listen and is not called
     * for upgrades. For unhandled requests CivetWeb sends its own error page, which overflows the
     * stack of the worker, so that any caller could crash the process.
     */
    static int begin(mg_connection *connection)
    {
        const void *self = mg_get_user_data(mg_get_context(connection));
        thread_local CompanionThread companion;
        companion.run([&] { static_cast<const State *>(self)->answer(connection); });
        return HandledStatus;
    }

    /** Replaces CivetWeb's error pages, for example the one for a malformed request. */
    static int refuse(mg_connection *connection, int status, const char * /*message*/)
    {
        constexpr std::string_view Body =
            R"({"error":{"message":"malformed request","type":"invalid_request_error",)"
            R"("code":"invalid-input","outcome":"not-run"}})";
        const std::string head =
            statusLine(status, connection)
            + "Content-Type: application/json\r\nConnection: close\r\nContent-Length: ";
        writeAll(connection, head + std::to_string(Body.size()) + "\r\n\r\n" + std::string(Body));
        return 0;
    }

    void answer(mg_connection *connection) const
    {
        ServerExchange exchange(connection, bodies_);
        try {
            handler_(exchange);
        } catch (const std::exception &failure) {
            logEvent(LogLevel::Error, "http.handler-failed",
                     {{"path", std::string(exchange.path())}, {"why", failure.what()}});
        }
        if (!exchange.answered()) {
            exchange.closeAfterAnswer();
            exchange.respond(500, "application/json",
                             R"({"error":{"message":"internal error","type":"server_error",)"
                             R"("code":"internal","outcome":"unknown"}})");
        }
    }

    explicit State(std::size_t bodyMemory)
        : bodies_(bodyMemory)
    { }

    mutable BodyMemory bodies_;
    ServerHandler handler_;
    mg_context *context_ = nullptr;
    std::uint16_t port_ = 0;
    sockaddr_in listening_ {};
};

HttpServer::HttpServer(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }
HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer &HttpServer::operator=(HttpServer &&) noexcept = default;
HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const noexcept
{
    return state_->port_;
}

void HttpServer::stop()
{
    state_->stop();
}

HttpServer::Builder &HttpServer::Builder::listen(Address address)
{
    address_ = std::move(address);
    return *this;
}

HttpServer::Builder &HttpServer::Builder::workers(int count)
{
    workers_ = count;
    return *this;
}

HttpServer::Builder &HttpServer::Builder::queue(int connections)
{
    queue_ = connections;
    return *this;
}

HttpServer::Builder &HttpServer::Builder::callerTimeout(std::int64_t milliseconds)
{
    callerTimeout_ = milliseconds;
    return *this;
}

HttpServer::Builder &HttpServer::Builder::bodyMemory(std::size_t bytes)
{
    bodyMemory_ = bytes;
    return *this;
}

HttpServer::Builder &HttpServer::Builder::handler(ServerHandler handler)
{
    handler_ = std::move(handler);
    return *this;
}

Result<HttpServer> HttpServer::Builder::start()
{
    auto state = std::make_unique<State>(bodyMemory_);
    state->handler_ = handler_;
    const std::string listen = toString(address_);
    const std::string workers = std::to_string(workers_);
    const std::string queue = std::to_string(queue_);
    const std::string timeout = std::to_string(callerTimeout_);
    // The defaults, a backlog of 200 and a queue of 20, drop connections in a burst, which delays
    // these callers by one second until their SYN is retransmitted.
    const std::array<const char *, 21> options {"listening_ports",
                                                listen.c_str(),
                                                "num_threads",
                                                workers.c_str(),
                                                "connection_queue",
                                                queue.c_str(),
                                                "listen_backlog",
                                                "2048",
                                                "request_timeout_ms",
                                                timeout.c_str(),
                                                "enable_keep_alive",
                                                "yes",
                                                "keep_alive_timeout_ms",
                                                "500",
                                                "tcp_nodelay",
                                                "1",
                                                "decode_url",
                                                "no",
                                                "max_request_size",
                                                "32768",
                                                nullptr};
    mg_callbacks callbacks {};
    callbacks.begin_request = &State::begin;
    callbacks.http_error = &State::refuse;
    state->context_ = mg_start(&callbacks, state.get(), const_cast<const char **>(options.data()));
    if (state->context_ == nullptr) {
        return fail(ErrorKind::Unavailable, "cannot listen on " + listen,
                    "choose a free port and an address of this machine");
    }
    mg_server_port port {};
    mg_get_server_ports(state->context_, 1, &port);
    state->port_ = static_cast<std::uint16_t>(port.port);
    state->listening_.sin_family = AF_INET;
    state->listening_.sin_port = htons(state->port_);
    inet_pton(AF_INET, address_.ip_.c_str(), &state->listening_.sin_addr);
    return HttpServer(std::move(state));
}

} // namespace almondridge::net
