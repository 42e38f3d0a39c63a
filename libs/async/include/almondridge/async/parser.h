/**
 * Incremental HTTP/1.1 parsers based on Boost.Beast. Conflicting framing (two lengths, or a length
 * together with chunked encoding) is an error, which prevents request smuggling.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/net/http.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace almondridge::async {

struct RequestHead
{
    std::string method_;
    std::string target_; ///< Path and query as sent.
    net::Headers headers_;
    bool http10_ = false;
};

/** Memory of a head. */
std::size_t heldBytes(const RequestHead &head);

/** What marks the end of a response's body. */
enum class BodyFraming {
    Length,     ///< A Content-Length, or a status that has no body.
    Chunks,     ///< The last chunk.
    UntilClose, ///< The end of the connection.
};

inline constexpr std::array<EnumName<BodyFraming>, 3> BodyFramingNames {{
    {BodyFraming::Length, "length"},
    {BodyFraming::Chunks, "chunks"},
    {BodyFraming::UntilClose, "until-close"},
}};

struct ResponseHead
{
    int status_ = 0;
    std::string reason_;
    net::Headers headers_;
};

/** Memory of a head. */
std::size_t heldBytes(const ResponseHead &head);

enum class ParseStatus {
    NeedMore,
    Done,
    HeadTooLarge,
    BodyTooLarge,
    Malformed,
};

/** What one call of feed() has done. */
struct Parsed
{
    ParseStatus status_ = ParseStatus::NeedMore;
    std::size_t consumed_ = 0; ///< Bytes from the front of the input.
};

/** Of an answer's head, of the line of a chunk, and of trailers. */
inline constexpr std::size_t MaxAnswerPartBytes = 65'536;

struct ParserLimits
{
    std::uint32_t headBytes_ = 16'384; ///< Also of the line of a chunk, and of trailers.
    std::uint64_t bodyBytes_ = 4'194'304;
};

/** Parses one request. */
class RequestParser
{
public:
    explicit RequestParser(ParserLimits limits);
    RequestParser(RequestParser &&) noexcept;
    RequestParser &operator=(RequestParser &&) noexcept;
    ~RequestParser();

    /**
     * Parses bytes from the front of input, at most up to the end of this request. What wasn't
     * consumed has to be passed again, with the bytes that follow.
     */
    Parsed feed(std::string_view input);
    /** The same, and erases what was consumed. */
    ParseStatus feed(std::string &input);
    bool headDone() const noexcept;
    bool keepAlive() const;
    RequestHead &head() noexcept;
    std::string &body() noexcept;
    /** Memory of the head and the body so far. */
    std::size_t heldBytes() const;
    /** The part of the body that is there, of its length or else of the limit, 0 to 1. */
    double doneShare() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/** Parses one response. */
class ResponseParser
{
public:
    /** bodyless: this is the response to a HEAD request, which has a length but no body. */
    explicit ResponseParser(bool bodyless);
    ResponseParser(ResponseParser &&) noexcept;
    ResponseParser &operator=(ResponseParser &&) noexcept;
    ~ResponseParser();

    /** Consumes bytes from the front of input, at most up to the end of this response. */
    ParseStatus feed(std::string &input);
    /** The peer closed the connection: completes a body without a length; else Malformed. */
    ParseStatus feedEnd();
    bool headDone() const noexcept;
    bool keepAlive() const;
    /** Valid once headDone(). */
    BodyFraming framing() const;
    ResponseHead &head() noexcept;
    /** Returns the body bytes received since the previous call. */
    std::string takeBody();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondridge::async
