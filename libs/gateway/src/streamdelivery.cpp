#include "streamdelivery.h"

#include <charconv>
#include <cstdint>
#include <optional>
#include <utility>

namespace almondridge::gateway {
namespace {

constexpr std::string_view IdField = "id:";

enum class WhichId { First, Last };

/** The value of an id field in whole events; empty if there is none. */
std::string_view findId(std::string_view events, WhichId which)
{
    std::string_view id;
    while (!events.empty()) {
        const std::size_t end = events.find_first_of("\r\n");
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end == std::string_view::npos ? events.size() : end + 1);
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        id = line;
        if (which == WhichId::First) {
            break;
        }
    }
    return id;
}

/** Ids increase in a stream; nullopt: this one isn't a number. */
std::optional<std::uint64_t> numberOf(std::string_view id)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(id.data(), id.data() + id.size(), number);
    const bool isWhole = failure == std::errc {} && end == id.data() + id.size();
    return isWhole ? std::optional(number) : std::nullopt;
}

} // namespace

StreamDelivery::StreamDelivery(async::HttpServer &server, async::CallId call,
                               std::string lastEventId)
    : server_(server)
    , call_(call)
    , position_(std::move(lastEventId))
{ }

bool StreamDelivery::isFollowedBy(std::string_view events) const
{
    const auto last = numberOf(position_);
    const auto next = numberOf(findId(events, WhichId::First));
    return !last || !next || *next > *last;
}

void StreamDelivery::begin(const AcceptedAnswer &answer, net::Headers headers)
{
    hasBegun_ = true;
    server_.beginStream(call_, {answer.status(), answer.head().reason_, std::move(headers)});
}

void StreamDelivery::handOn(const AcceptedAnswer & /*answer*/, std::string_view events)
{
    const std::string_view id = findId(events, WhichId::Last);
    if (!id.empty()) {
        position_ = id;
    }
    server_.streamBytes(call_, events);
}

void StreamDelivery::end(const AcceptedAnswer & /*answer*/)
{
    server_.endStream(call_);
}

} // namespace almondridge::gateway
