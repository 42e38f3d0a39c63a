#include "almondridge/observe/timeline.h"

#include "almondridge/base/log.h"

#include <array>
#include <ctime>

namespace almondridge::observe {
namespace {

constexpr std::int64_t MillisPerSecond = 1'000;

/** UTC time as in 2026-05-04T07:59:58.120Z. */
std::string timeText(std::int64_t wallMillis)
{
    const std::time_t seconds = wallMillis / MillisPerSecond;
    std::tm parts {};
    if (gmtime_r(&seconds, &parts) == nullptr) {
        return std::to_string(wallMillis);
    }
    std::array<char, 64> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string millis = std::to_string(wallMillis % MillisPerSecond + MillisPerSecond);
    return std::string(text.data()) + "." + millis.substr(1) + "Z";
}

/** Replaces control characters, so that an event can't break its line or control a terminal. */
std::string onOneLine(std::string text)
{
    for (char &letter : text) {
        const auto code = static_cast<unsigned char>(letter);
        if (code < 0x20 || code == 0x7f) {
            letter = ' ';
        }
    }
    return text;
}

std::string lineOf(const Event &event)
{
    std::string line = timeText(event.time_.wallMillis_);
    line += " instance=" + quoteLogValue(event.instance_.value());
    line += " domain=" + quoteLogValue(event.domain_.value());
    line += " event=" + quoteLogValue(event.name_);
    line += " subject=" + quoteLogValue(event.subject_);
    if (event.durationMillis_ != 0) {
        line += " duration_ms=" + std::to_string(event.durationMillis_);
    }
    if (!event.detail_.empty()) {
        line += " " + event.detail_;
    }
    return onOneLine(std::move(line));
}

} // namespace

std::string timelineText(const std::vector<Event> &events)
{
    std::string text;
    for (const Event &event : events) {
        text += lineOf(event) + "\n";
    }
    return text;
}

} // namespace almondridge::observe
