#include "log/logstore.h"

#include <algorithm>

namespace almondridge::standins {
namespace {

/** How far a burst may run ahead of the rate. */
constexpr Duration RateBurst = std::chrono::milliseconds(250);

} // namespace

AppendAnswer LogStore::append(std::vector<std::string> bodies, TimePoint now)
{
    applyLate(now);
    if (settings_.outage_) {
        ++counters_.refused_;
        return {AppendStatus::Outage, 0};
    }
    if (!takeRate(now)) {
        ++counters_.refused_;
        return {AppendStatus::OverRate, 0};
    }
    if (settings_.lateAppendInMillis_ > 0) {
        const TimePoint due = now + millis(settings_.lateAppendInMillis_);
        const auto after = std::upper_bound(
            late_.begin(), late_.end(), due,
            [](TimePoint wanted, const LateAppend &append) { return wanted < append.due_; });
        late_.insert(after, {due, std::move(bodies)});
        return {AppendStatus::Unanswered, 0};
    }
    const LogOffset first = store(std::move(bodies));
    if (settings_.loseAck_ > 0) {
        --settings_.loseAck_;
        return {AppendStatus::Unanswered, first};
    }
    return {AppendStatus::Done, first};
}

bool LogStore::applyLate(TimePoint now)
{
    bool any = false;
    while (!late_.empty() && late_.front().due_ <= now) {
        store(std::move(late_.front().bodies_));
        late_.pop_front();
        any = true;
    }
    return any;
}

std::optional<TimePoint> LogStore::nextLate() const
{
    if (late_.empty()) {
        return std::nullopt;
    }
    return late_.front().due_;
}

std::vector<StoredRecord> LogStore::read(LogOffset from, std::size_t limit) const
{
    std::vector<StoredRecord> found;
    if (from < first()) {
        return found;
    }
    for (LogOffset offset = from; offset < next_ && found.size() < limit; ++offset) {
        found.push_back({offset, records_[offset - first()]});
    }
    return found;
}

void LogStore::setSettings(const LogSettings &settings)
{
    settings_ = settings;
    trim();
}

bool LogStore::takeRate(TimePoint now)
{
    if (settings_.appendsPerSecond_ <= 0) {
        return true;
    }
    const Duration share = Duration(std::chrono::seconds(1)) / settings_.appendsPerSecond_;
    const TimePoint start = std::max(rateFull_, now);
    if (start + share > now + std::max(RateBurst, share)) {
        return false;
    }
    rateFull_ = start + share;
    return true;
}

LogOffset LogStore::store(std::vector<std::string> bodies)
{
    const LogOffset first = next_;
    for (std::string &body : bodies) {
        records_.push_back(std::move(body));
        ++next_;
        ++counters_.records_;
    }
    ++counters_.appends_;
    trim();
    return first;
}

void LogStore::trim()
{
    if (settings_.keepRecords_ <= 0) {
        return;
    }
    while (records_.size() > static_cast<std::size_t>(settings_.keepRecords_)) {
        records_.pop_front();
    }
}

} // namespace almondridge::standins
