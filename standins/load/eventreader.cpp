#include "load/eventreader.h"

namespace almondridge::standins {

std::optional<std::string> EventReader::next()
{
    constexpr std::string_view Separator = "\n\n";
    constexpr std::string_view Data = "data: ";
    for (;;) {
        const std::size_t end = buffer_.find(Separator);
        if (end == std::string::npos) {
            return std::nullopt;
        }
        std::string event = buffer_.substr(0, end);
        buffer_.erase(0, end + Separator.size());
        // Comments, which some servers send to keep a connection open, have no data.
        if (event.starts_with(Data)) {
            return event.substr(Data.size());
        }
    }
}

} // namespace almondridge::standins
