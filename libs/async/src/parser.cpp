#include "almondridge/async/parser.h"

#include "almondridge/net/answerhead.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace almondridge::async {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr unsigned Http10 = 10;

constexpr std::size_t SmallestBodyBuffer = 1'024;

/** Bytes of memory of header fields. */
std::size_t heldBytesOf(const net::Headers &headers)
{
    std::size_t bytes = headers.capacity() * sizeof(net::Header);
    for (const net::Header &header : headers) {
        bytes += header.name_.capacity() + header.value_.capacity();
    }
    return bytes;
}

/** Collects the parts of a message from Beast's parser. Trailers are discarded. */
template <bool isRequest>
class Collector final : public http::basic_parser<isRequest>
{
public:
    RequestHead requestHead_;
    ResponseHead responseHead_;
    std::string body_;
    bool headDone_ = false;
    std::uint64_t mostBodyBytes_ = 0;       ///< Of this message; 0: unknown.
    std::optional<net::HeadDefect> defect_; ///< Of a response.

    /**
     * Makes room without more than twice the bytes that there are, or than the body can have: the
     * capacities are the most that it can have, halved again and again.
     */
    void reserveBody(std::size_t bytes)
    {
        const std::size_t needed = body_.size() + bytes;
        if (mostBodyBytes_ == 0 || needed <= body_.capacity()) {
            return;
        }
        std::size_t capacity = mostBodyBytes_;
        while (capacity / 2 >= std::max(needed, SmallestBodyBuffer)) {
            capacity /= 2;
        }
        body_.reserve(capacity);
    }

private:
    int version_ = 0; ///< Of a response.

    net::Headers &headers()
    {
        if constexpr (isRequest) {
            return requestHead_.headers_;
        } else {
            return responseHead_.headers_;
        }
    }

    void on_request_impl(http::verb, string_view method, string_view target, int version,
                         error_code &) override
    {
        requestHead_.method_ = std::string(method);
        requestHead_.target_ = std::string(target);
        requestHead_.http10_ = version == static_cast<int>(Http10);
    }
    void on_response_impl(int code, string_view reason, int version, error_code &) override
    {
        version_ = version;
        responseHead_.status_ = code;
        responseHead_.reason_ = std::string(reason);
    }
    void on_field_impl(http::field, string_view name, string_view value, error_code &) override
    {
        if (!headDone_) {
            headers().push_back({std::string(name), std::string(value)});
        }
    }
    void on_header_impl(error_code &failure) override
    {
        if constexpr (!isRequest) {
            defect_ = net::defectOf({version_, responseHead_.status_, responseHead_.headers_});
        }
        if (defect_) {
            failure = make_error_code(http::error::bad_value);
            return;
        }
        headDone_ = true;
    }
    void on_body_init_impl(boost::optional<std::uint64_t> const &length, error_code &) override
    {
        if (length && mostBodyBytes_ > 0) {
            mostBodyBytes_ = *length;
        }
    }
    std::size_t on_body_impl(string_view body, error_code &) override
    {
        reserveBody(body.size());
        body_.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, error_code &) override
    {
        reserveBody(body.size());
        body_.append(body.data(), body.size());
        return body.size();
    }
    void on_finish_impl(error_code &) override { }
};

struct StatusOfError
{
    http::error error_;
    ParseStatus status_;
};

constexpr std::array<StatusOfError, 4> StatusOfErrors {{
    {http::error::need_more, ParseStatus::NeedMore},
    {http::error::header_limit, ParseStatus::HeadTooLarge},
    {http::error::body_limit, ParseStatus::BodyTooLarge},
    {http::error::buffer_overflow, ParseStatus::HeadTooLarge},
}};

ParseStatus statusOf(const error_code &failure)
{
    for (const StatusOfError &row : StatusOfErrors) {
        if (failure == make_error_code(row.error_)) {
            return row.status_;
        }
    }
    return ParseStatus::Malformed;
}

/**
 * Parses as much as possible. What remains without being done is one incomplete part: a head, the
 * line of a chunk, or trailers, which Beast buffers without a limit.
 */
template <bool isRequest>
Parsed feedCollector(Collector<isRequest> &collector, std::string_view input,
                     std::size_t maxPartBytes)
{
    std::size_t consumed = 0;
    while (!collector.is_done() && consumed < input.size()) {
        const std::string_view rest = input.substr(consumed);
        error_code failure;
        const std::size_t taken =
            collector.put(boost::asio::buffer(rest.data(), rest.size()), failure);
        consumed += taken;
        if (failure && statusOf(failure) != ParseStatus::NeedMore) {
            return {statusOf(failure), consumed};
        }
        if (failure || taken == 0) {
            const bool isTooLong = input.size() - consumed > maxPartBytes;
            return {isTooLong ? ParseStatus::HeadTooLarge : ParseStatus::NeedMore, consumed};
        }
    }
    return {collector.is_done() ? ParseStatus::Done : ParseStatus::NeedMore, consumed};
}

} // namespace

std::size_t heldBytes(const RequestHead &head)
{
    return head.method_.capacity() + head.target_.capacity() + heldBytesOf(head.headers_);
}

std::size_t heldBytes(const ResponseHead &head)
{
    return head.reason_.capacity() + heldBytesOf(head.headers_);
}

struct RequestParser::State
{
    Collector<true> collector_;
    std::size_t maxPartBytes_ = 0;
};

RequestParser::RequestParser(ParserLimits limits)
    : state_(std::make_unique<State>())
{
    state_->collector_.eager(true);
    state_->collector_.header_limit(limits.headBytes_);
    state_->collector_.body_limit(limits.bodyBytes_);
    state_->collector_.mostBodyBytes_ = limits.bodyBytes_;
    state_->maxPartBytes_ = limits.headBytes_;
}

RequestParser::RequestParser(RequestParser &&) noexcept = default;
RequestParser &RequestParser::operator=(RequestParser &&) noexcept = default;
RequestParser::~RequestParser() = default;

Parsed RequestParser::feed(std::string_view input)
{
    return feedCollector(state_->collector_, input, state_->maxPartBytes_);
}

ParseStatus RequestParser::feed(std::string &input)
{
    const Parsed parsed = feed(std::string_view(input));
    input.erase(0, parsed.consumed_);
    return parsed.status_;
}

std::size_t RequestParser::heldBytes() const
{
    const Collector<true> &collector = state_->collector_;
    return async::heldBytes(collector.requestHead_) + collector.body_.capacity();
}

double RequestParser::doneShare() const
{
    const Collector<true> &collector = state_->collector_;
    return collector.mostBodyBytes_ > 0 ? static_cast<double>(collector.body_.size())
                                              / static_cast<double>(collector.mostBodyBytes_)
                                        : 0;
}

bool RequestParser::headDone() const noexcept
{
    return state_->collector_.headDone_;
}

bool RequestParser::keepAlive() const
{
    return state_->collector_.keep_alive();
}

RequestHead &RequestParser::head() noexcept
{
    return state_->collector_.requestHead_;
}

std::string &RequestParser::body() noexcept
{
    return state_->collector_.body_;
}

struct ResponseParser::State
{
    Collector<false> collector_;
};

ResponseParser::ResponseParser(bool bodyless)
    : state_(std::make_unique<State>())
{
    state_->collector_.eager(true);
    state_->collector_.skip(bodyless);
    state_->collector_.body_limit(boost::none);
}

ResponseParser::ResponseParser(ResponseParser &&) noexcept = default;
ResponseParser &ResponseParser::operator=(ResponseParser &&) noexcept = default;
ResponseParser::~ResponseParser() = default;

ParseStatus ResponseParser::feed(std::string &input)
{
    const Parsed parsed =
        feedCollector(state_->collector_, std::string_view(input), MaxAnswerPartBytes);
    input.erase(0, parsed.consumed_);
    return parsed.status_;
}

ParseStatus ResponseParser::feedEnd()
{
    error_code failure;
    state_->collector_.put_eof(failure);
    if (failure || !state_->collector_.is_done()) {
        return ParseStatus::Malformed;
    }
    return ParseStatus::Done;
}

bool ResponseParser::headDone() const noexcept
{
    return state_->collector_.headDone_;
}

bool ResponseParser::keepAlive() const
{
    return state_->collector_.keep_alive();
}

BodyFraming ResponseParser::framing() const
{
    if (state_->collector_.chunked()) {
        return BodyFraming::Chunks;
    }
    return state_->collector_.need_eof() ? BodyFraming::UntilClose : BodyFraming::Length;
}

ResponseHead &ResponseParser::head() noexcept
{
    return state_->collector_.responseHead_;
}

std::string ResponseParser::takeBody()
{
    return std::exchange(state_->collector_.body_, {});
}

} // namespace almondridge::async
