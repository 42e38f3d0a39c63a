#include "eventsplitter.h"

namespace almondridge::gateway {
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
    return complete;
}

void EventSplitter::discardPartialEvent()
{
    scanner_ = {};
    partialEvent_.clear();
}

} // namespace almondridge::gateway
