#include "ssereader.h"

#include <utility>

namespace almondridge::relay {
namespace {

constexpr std::string_view DataField = "data:";

} // namespace

SseReader::SseReader(std::size_t maxEventBytes)
    : maxEventBytes_(maxEventBytes)
{ }

bool SseReader::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        line_ += bytes.substr(0, end);
        if (line_.size() + data_.size() > maxEventBytes_) {
            return false;
        }
        if (end == std::string_view::npos) {
            return true;
        }
        endLine();
        bytes.remove_prefix(end + 1);
    }
    return true;
}

std::string SseReader::takeEvent()
{
    std::string event = std::move(events_.front());
    events_.pop_front();
    return event;
}

void SseReader::endLine()
{
    std::string_view line = line_;
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty() && hasData_) {
        events_.push_back(std::exchange(data_, {}));
        hasData_ = false;
    } else if (line.starts_with(DataField)) {
        line.remove_prefix(DataField.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        data_ += hasData_ ? "\n" : "";
        data_ += line;
        hasData_ = true;
    }
    line_.clear();
}

} // namespace almondridge::relay
