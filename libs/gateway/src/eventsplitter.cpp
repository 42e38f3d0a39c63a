#include "eventsplitter.h"

namespace almondridge::gateway {
namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view IdField = "id:";

/** The value of the last id field in complete events; empty if there is none. */
std::string_view findLastId(std::string_view events)
{
    std::string_view id;
    while (!events.empty()) {
        const std::size_t end = events.find('\n');
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

std::string EventSplitter::feed(std::string_view bytes)
{
    partialEvent_ += bytes;
    const std::size_t end = partialEvent_.rfind(EventEnd);
    if (end == std::string::npos) {
        return {};
    }
    std::string complete = partialEvent_.substr(0, end + EventEnd.size());
    partialEvent_.erase(0, end + EventEnd.size());
    const std::string_view id = findLastId(complete);
    if (!id.empty()) {
        lastEventId_ = id;
    }
    return complete;
}

} // namespace almondridge::gateway
