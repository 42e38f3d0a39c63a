#include "eventsplitter.h"

namespace almondridge::gateway {
namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view IdField = "id:";

/** The value of the last id line among whole events; empty when there is none. */
std::string_view lastIdOf(std::string_view events)
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
    rest_ += bytes;
    const std::size_t end = rest_.rfind(EventEnd);
    if (end == std::string::npos) {
        return {};
    }
    std::string whole = rest_.substr(0, end + EventEnd.size());
    rest_.erase(0, end + EventEnd.size());
    const std::string_view id = lastIdOf(whole);
    if (!id.empty()) {
        lastId_ = id;
    }
    return whole;
}

} // namespace almondridge::gateway
