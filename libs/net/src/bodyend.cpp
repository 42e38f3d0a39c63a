#include "almondridge/net/bodyend.h"

#include <utility>

namespace almondridge::net {

std::size_t EventScanner::feed(std::string_view bytes)
{
    std::size_t end = 0;
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const char byte = bytes[index];
        if (byte == '\n' && std::exchange(afterCr_, false)) {
            // The rest of a line end that was counted with its CR.
            end = place_ == Place::AfterEvent ? index + 1 : end;
            continue;
        }
        afterCr_ = byte == '\r';
        if (byte != '\n' && byte != '\r') {
            lineEmpty_ = false;
            place_ = Place::InEvent;
        } else if (std::exchange(lineEmpty_, true) && place_ != Place::Start) {
            place_ = Place::AfterEvent;
            end = index + 1;
        }
    }
    return end;
}

bool isEventStream(const Headers &headers) noexcept
{
    constexpr std::string_view EventStream = "text/event-stream";
    const std::string_view type = headerValue(headers, "Content-Type");
    const std::string_view bare = type.substr(0, type.find_first_of("; \t"));
    return equalWithoutCase(bare, EventStream);
}

void BodyEnd::onBytes(std::string_view bytes)
{
    if (isEventStream_) {
        events_.feed(bytes);
    }
}

bool BodyEnd::isPossible(bool marked) const noexcept
{
    return !isEventStream_ || (marked ? events_.isBetweenEvents() : events_.isAfterEvent());
}

} // namespace almondridge::net
