/**
 * An HTTP/2 session (nghttp2) without a socket: converts between bytes and complete messages.
 */
#pragma once

#include "h2message.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::peers {

enum class H2Role { Client, Server };

/** Maximum concurrent streams of a client on one connection. */
inline constexpr std::uint32_t MaxStreams = 64;

enum class H2EventKind {
    Message,  ///< A complete request (server) or answer (client) was received.
    TooLarge, ///< An incoming body exceeded the limit; the stream was reset.
    Closed,   ///< The stream ended; without a Message before, there is no answer.
};

struct H2Event
{
    H2EventKind kind_ = H2EventKind::Closed;
    std::int32_t stream_ = 0;
    H2Message message_ {};
    bool refused_ = false; ///< Closed before the peer processed the stream.
};

/** One side of a connection. Not thread-safe. */
class H2Session
{
public:
    /** bodyLimit: maximum bytes of all incomplete incoming bodies together. */
    H2Session(H2Role role, std::size_t bodyLimit);
    H2Session(H2Session &&) noexcept;
    H2Session &operator=(H2Session &&) noexcept;
    ~H2Session();

    /** Parses bytes from the peer. False: they are not HTTP/2; the connection is unusable. */
    bool receive(std::string_view bytes);
    /** Returns the events since the last call, in order of receipt. */
    std::vector<H2Event> takeEvents();
    /** Appends bytes to send, up to about limit bytes. False if the session is broken. */
    bool takeOutput(std::string &output, std::size_t limit);

    /** The stream id of the next request. */
    std::int32_t nextStream() const noexcept;
    /** Submits a request. Returns its stream id, or 0 if the session accepts no more. */
    std::int32_t request(H2Message message);
    /** Submits an answer. False if the stream is closed. */
    bool answer(std::int32_t stream, H2Message message);
    /** Resets a stream whose answer is no longer needed. */
    void cancel(std::int32_t stream);
    /** Sends GOAWAY: no new streams are accepted, and the session ends after the open ones. */
    void finish();

    void setBodyLimit(std::size_t bodyLimit) noexcept;
    /** Whether the session has nothing more to read or write. */
    bool done() const noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondridge::peers
