/**
 * Incremental HTTP/1.1 parsing on Boost.Beast: bytes go in as they arrive, heads and pieces of
 * bodies come out. Framing conflicts (two lengths, a length beside chunks) are errors, so that no
 * request can be hidden in the body of another one.
 */
#pragma once

#include "almondridge/net/http.h"

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

struct ResponseHead
{
    int status_ = 0;
    std::string reason_;
    net::Headers headers_;
};

enum class ParseStatus {
    NeedMore,
    Done,
    HeadTooLarge,
    BodyTooLarge,
    Malformed,
};

struct ParserLimits
{
    std::uint32_t headBytes_ = 16'384;
    std::uint64_t bodyBytes_ = 4'194'304;
};

/** Reads one request. */
class RequestParser
{
public:
    explicit RequestParser(ParserLimits limits);
    RequestParser(RequestParser &&) noexcept;
    RequestParser &operator=(RequestParser &&) noexcept;
    ~RequestParser();

    /** Takes bytes off the front of input, at most to the end of this request. */
    ParseStatus feed(std::string &input);
    bool headDone() const noexcept;
    bool keepAlive() const;
    RequestHead &head() noexcept;
    std::string &body() noexcept;

private:
    struct State;
    std::unique_ptr<State> state_;
};

/** Reads one response. */
class ResponseParser
{
public:
    /** bodyless: the answer to a HEAD request, which has a length and no body. */
    explicit ResponseParser(bool bodyless);
    ResponseParser(ResponseParser &&) noexcept;
    ResponseParser &operator=(ResponseParser &&) noexcept;
    ~ResponseParser();

    /** Takes bytes off the front of input, at most to the end of this response. */
    ParseStatus feed(std::string &input);
    /** The other side closed in order: ends a body without a length, breaks any other one. */
    ParseStatus feedEnd();
    bool headDone() const noexcept;
    bool keepAlive() const;
    ResponseHead &head() noexcept;
    /** Body bytes that were not taken yet. */
    std::string takeBody();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondridge::async
