#include "almondridge/observe/timeline.h"

#include "almondridge/base/log.h"
#include "almondridge/base/time.h"

#include <algorithm>
#include <tuple>

namespace almondridge::observe {
namespace {

/**
 * How far a peer's timestamp may be ahead of the local wall clock. Otherwise an instance whose
 * clock is a year ahead would shift the events of all other instances there, and later events could
 * no longer be ordered by time.
 */
constexpr std::int64_t MaxAheadMillis = 60'000;

/** Events of requests, thousands a second, would hide the few others at the info level. */
LogLevel levelOf(EventKind kind)
{
    return kind == EventKind::Request ? LogLevel::Debug : LogLevel::Info;
}

void logTimelineEvent(const Event &event)
{
    logEvent(levelOf(event.kind_), event.name_,
             {{"subject", event.subject_},
              {"detail", event.detail_},
              {"duration_ms", event.durationMillis_}});
}

} // namespace

Timeline::Timeline(InstanceId instance, DomainId domain, std::size_t capacity)
    : instance_(std::move(instance))
    , domain_(std::move(domain))
    , capacity_(std::max<std::size_t>(capacity, 1))
{ }

void Timeline::add(EventKind kind, std::string name, std::string subject, std::string detail,
                   std::int64_t durationMillis)
{
    Event event;
    event.instance_ = instance_;
    event.domain_ = domain_;
    event.kind_ = kind;
    event.name_ = std::move(name);
    event.subject_ = std::move(subject);
    event.detail_ = std::move(detail);
    event.durationMillis_ = std::max<std::int64_t>(durationMillis, 0);
    logTimelineEvent(event);

    const std::lock_guard lock(mutex_);
    event.time_ = tickLocked();
    if (events_.size() >= capacity_) {
        events_.pop_front();
        ++dropped_;
    }
    events_.push_back(std::move(event));
}

void Timeline::advanceClock(HybridTime time)
{
    if (time.wallMillis_ > wallMillis() + MaxAheadMillis) {
        return;
    }
    const std::lock_guard lock(mutex_);
    last_ = std::max(last_, time);
}

HybridTime Timeline::now()
{
    const std::lock_guard lock(mutex_);
    return tickLocked();
}

std::vector<Event> Timeline::events() const
{
    const std::lock_guard lock(mutex_);
    return {events_.begin(), events_.end()};
}

std::uint64_t Timeline::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

HybridTime Timeline::tickLocked()
{
    const std::int64_t wall = wallMillis();
    if (wall > last_.wallMillis_) {
        last_ = {wall, 0};
    } else {
        ++last_.counter_;
    }
    return last_;
}

std::vector<Event> mergeEvents(std::vector<std::vector<Event>> perInstance)
{
    std::vector<Event> merged;
    for (std::vector<Event> &events : perInstance) {
        std::move(events.begin(), events.end(), std::back_inserter(merged));
    }
    std::stable_sort(merged.begin(), merged.end(), [](const Event &left, const Event &right) {
        return std::tie(left.time_, left.instance_) < std::tie(right.time_, right.instance_);
    });
    return merged;
}

} // namespace almondridge::observe
