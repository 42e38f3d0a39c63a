#include "almondridge/async/parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace almondridge::async {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr unsigned Http10 = 10;

/** Collects the parts of a message from Beast's parser. Trailers are discarded. */
template <bool isRequest>
class Collector final : public http::basic_parser<isRequest>
{
public:
    RequestHead requestHead_;
    ResponseHead responseHead_;
    std::string body_;
    bool headDone_ = false;

private:
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
    void on_response_impl(int code, string_view reason, int, error_code &) override
    {
        responseHead_.status_ = code;
        responseHead_.reason_ = std::string(reason);
    }
    void on_field_impl(http::field, string_view name, string_view value, error_code &) override
    {
        if (!headDone_) {
            headers().push_back({std::string(name), std::string(value)});
        }
    }
    void on_header_impl(error_code &) override { headDone_ = true; }
    void on_body_init_impl(boost::optional<std::uint64_t> const &, error_code &) override { }
    std::size_t on_body_impl(string_view body, error_code &) override
    {
        body_.append(body.data(), body.size());
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, string_view, error_code &) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, string_view body, error_code &) override
    {
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

template <bool isRequest>
ParseStatus feedCollector(Collector<isRequest> &collector, std::string &input)
{
    while (!collector.is_done() && !input.empty()) {
        error_code failure;
        const std::size_t taken = collector.put(boost::asio::buffer(input), failure);
        input.erase(0, taken);
        if (failure) {
            return statusOf(failure);
        }
        if (taken == 0) {
            return ParseStatus::NeedMore;
        }
    }
    return collector.is_done() ? ParseStatus::Done : ParseStatus::NeedMore;
}

} // namespace

struct RequestParser::State
{
    Collector<true> collector_;
};

RequestParser::RequestParser(ParserLimits limits)
    : state_(std::make_unique<State>())
{
    state_->collector_.eager(true);
    state_->collector_.header_limit(limits.headBytes_);
    state_->collector_.body_limit(limits.bodyBytes_);
}

RequestParser::RequestParser(RequestParser &&) noexcept = default;
RequestParser &RequestParser::operator=(RequestParser &&) noexcept = default;
RequestParser::~RequestParser() = default;

ParseStatus RequestParser::feed(std::string &input)
{
    return feedCollector(state_->collector_, input);
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
    return feedCollector(state_->collector_, input);
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
