/**
 * One HTTP/1.1 exchange on its own socket, parsed with Boost.Beast.
 *
 * CivetWeb's client hides its socket, so that its exchanges can't be shut down from another thread,
 * have a deadline between two tokens, or be closed by the lease guard. Requests and orders to
 * endpoints need all three.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/net/http.h"

#include <memory>
#include <span>

namespace almondridge::net {

/** Status and headers of a response. */
struct ResponseHead
{
    int status_ = 0;
    Headers headers_ {};
};

/** Why a wait for bytes ended. */
enum class ReadStatus {
    Data,         ///< size_ bytes were read.
    End,          ///< The response is complete.
    Timeout,      ///< The deadline passed; reading may continue.
    WatchedReady, ///< The watched descriptor is readable or hung up.
};

struct ReadResult
{
    ReadStatus status_ = ReadStatus::End;
    std::size_t size_ = 0;
};

/**
 * An exchange on a new connection, which the destructor closes. Not thread-safe, except for
 * shutdown().
 */
class HttpExchange
{
public:
    /** Connects with TCP_NODELAY. Unavailable or TimedOut: no byte was sent. */
    static Result<HttpExchange> connect(const Address &address, TimePoint deadline);

    HttpExchange(HttpExchange &&) noexcept;
    HttpExchange &operator=(HttpExchange &&) noexcept;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;
    ~HttpExchange();

    /**
     * Writes the complete request. Unavailable: no byte of it left this process. Interrupted:
     * some did.
     */
    Result<void> send(const Request &request, TimePoint deadline);

    /**
     * Waits until bytes or the end of the connection can be read, without reading them. Returns
     * Data, Timeout or WatchedReady.
     */
    ReadStatus waitForInput(TimePoint deadline, int watchedDescriptor = -1);

    /** Waits for status and headers. Interrupted: the connection ended or timed out. */
    Result<ResponseHead> readHead(TimePoint deadline);

    /**
     * Waits for bytes of the body. Interrupted: the connection ended before the response did.
     * A watchedDescriptor other than -1, such as the socket of a caller, is polled as well.
     */
    Result<ReadResult> readSome(std::span<char> buffer, TimePoint deadline,
                                int watchedDescriptor = -1);

    /** Reads the rest of the body, at most limit bytes. */
    Result<std::string> readRest(TimePoint deadline, std::size_t limit);

    /** Whether any byte of the request may have left this process. */
    bool anythingSent() const noexcept;

    /** Shuts down the connection in both directions. Thread-safe. */
    void shutdown() noexcept;

    /** The socket, for options and the lease guard. Owned by the exchange. */
    int socketDescriptor() const noexcept;

private:
    struct State;
    explicit HttpExchange(std::unique_ptr<State> state) noexcept;

    std::unique_ptr<State> state_;
};

} // namespace almondridge::net
