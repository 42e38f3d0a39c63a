#include "eventsplitter.h"

namespace almondridge::gateway {
namespace {

constexpr std::string_view IdField = "id:";

/** The value of the last id field in complete events; empty if there is none. */
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

std::string EventSplitter::feed(std::string_view bytes)
{
    const std::size_t before = partialEvent_.size();
    const std::size_t end = scanner_.feed(bytes);
    partialEvent_ += bytes;
    if (end == 0) {
        return {};
    }
    std::string complete = partialEvent_.substr(0, before + end);
    partialEvent_.erase(0, before + end);
    const std::string_view id = findLastId(complete);
    if (!id.empty()) {
        lastEventId_ = id;
    }
    return complete;
}

void EventSplitter::discardPartialEvent()
{
    scanner_ = {};
    partialEvent_.clear();
}

} // namespace almondridge::gateway
