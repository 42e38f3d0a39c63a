#include "streamdelivery.h"

#include <utility>

namespace almondridge::gateway {
namespace {

constexpr std::string_view IdField = "id:";

/** The value of the last id field in whole events; empty if there is none. */
std::string_view findLastId(std::string_view events)
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
    }
    return id;
}

} // namespace

StreamDelivery::StreamDelivery(async::HttpServer &server, async::CallId call,
                               std::string lastEventId)
    : server_(server)
    , call_(call)
    , position_(std::move(lastEventId))
{ }

void StreamDelivery::begin(const async::ResponseHead &head)
{
    hasBegun_ = true;
    server_.beginStream(call_, head);
}

void StreamDelivery::handOn(std::string_view events)
{
    const std::string_view id = findLastId(events);
    if (!id.empty()) {
        position_ = id;
    }
    server_.streamBytes(call_, events);
}

void StreamDelivery::end()
{
    server_.endStream(call_);
}

} // namespace almondridge::gateway
