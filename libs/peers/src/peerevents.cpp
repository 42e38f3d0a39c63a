#include "peerevents.h"

#include "almondridge/base/log.h"
#include "proof.h"

#include <charconv>

namespace almondridge::peers {
namespace {

constexpr int RefusalsPerWindow = 8;
constexpr Duration RefusalWindow = std::chrono::seconds(1);

} // namespace

PeerEvents::PeerEvents(observe::Timeline *timeline)
    : timeline_(timeline)
{ }

void PeerEvents::report(std::string_view name, const std::string &subject,
                        const std::string &detail)
{
    if (timeline_ != nullptr) {
        timeline_->add(observe::EventKind::Peer, std::string(name), subject, detail);
    } else {
        logEvent(LogLevel::Info, name, {{"subject", subject}, {"detail", detail}});
    }
}

void PeerEvents::reportRefusal(std::string_view name, const std::string &subject,
                               std::string detail)
{
    {
        const std::lock_guard lock(mutex_);
        const TimePoint now = BootClock::now();
        if (now >= windowDeadline_) {
            windowDeadline_ = now + RefusalWindow;
            inWindow_ = 0;
        }
        if (++inWindow_ > RefusalsPerWindow) {
            ++suppressed_;
            return;
        }
        if (suppressed_ > 0) {
            detail += " left_out=" + std::to_string(suppressed_);
            suppressed_ = 0;
        }
    }
    report(name, subject, detail);
}

std::string PeerEvents::clock()
{
    if (timeline_ == nullptr) {
        return {};
    }
    const observe::HybridTime now = timeline_->now();
    return std::to_string(now.wallMillis_) + "." + std::to_string(now.counter_);
}

void PeerEvents::advanceClock(std::string_view clock)
{
    const std::size_t point = clock.find('.');
    if (timeline_ == nullptr || point == std::string_view::npos) {
        return;
    }
    observe::HybridTime time;
    const char *const begin = clock.data();
    const auto millisRead = std::from_chars(begin, begin + point, time.wallMillis_);
    const auto counterRead =
        std::from_chars(begin + point + 1, begin + clock.size(), time.counter_);
    // Ignore a clock far ahead, which would otherwise advance the clocks of the whole fleet.
    const bool near = time.wallMillis_ <= wallMillis() + toMillis(MaxClockSkew);
    if (millisRead.ec == std::errc() && counterRead.ec == std::errc() && near) {
        timeline_->advanceClock(time);
    }
}

} // namespace almondridge::peers
