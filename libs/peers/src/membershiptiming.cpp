/**
 * Membership: derives deadlines from settings, announced intervals and the byte budget.
 */
#include "membership.h"

#include <algorithm>
#include <cmath>

namespace almondridge::peers {
namespace {

/** Limit of the backoff for dead members and seeds: 2^MaxBackoffShift intervals. */
constexpr unsigned MaxBackoffShift = 4;

} // namespace

Duration Membership::timeoutFor(std::int64_t withinMillis) const noexcept
{
    const double promised = toSeconds(millis(withinMillis));
    const double usual = toSeconds(settings_.interval_) * PassiveHalfIntervals / 2;
    const double factor = std::max(1.0, promised / usual);
    return std::chrono::duration_cast<Duration>(settings_.timeout_ * factor);
}

Duration Membership::backoff(unsigned failures) const noexcept
{
    return settings_.interval_ * (1 << std::min(failures, MaxBackoffShift));
}

TimePoint Membership::nextExchange(const Record &record, TimePoint now) const
{
    const Duration interval = intervalTo(record.member_.domain_);
    const bool starts = settings_.self_.instance_ < record.member_.instance_;
    return now + (starts ? interval : interval * PassiveHalfIntervals / 2);
}

void Membership::setExchangeBytes(double bytes)
{
    // Called after every exchange, so small changes don't recompute the intervals.
    constexpr double MinRelativeChange = 0.02;
    if (std::abs(bytes - exchangeBytes_) > MinRelativeChange * exchangeBytes_) {
        exchangeBytes_ = bytes;
        refreshIntervals();
    }
}

Intervals stretchIntervals(Duration interval, double ownDomainLinks, double crossDomainLinks,
                           double exchangesPerSecond)
{
    const double plain = toSeconds(interval);
    if ((ownDomainLinks + crossDomainLinks) / plain <= exchangesPerSecond) {
        return {interval, interval};
    }
    const auto seconds = [](double count) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
    };
    const double crossDomainRate = exchangesPerSecond - ownDomainLinks / plain;
    if (crossDomainRate > 0
        && crossDomainLinks / crossDomainRate <= CrossDomainIntervalFactor * plain) {
        return {interval, seconds(crossDomainLinks / crossDomainRate)};
    }
    const Duration ownDomainInterval = seconds(
        (ownDomainLinks + crossDomainLinks / CrossDomainIntervalFactor) / exchangesPerSecond);
    return {ownDomainInterval, CrossDomainIntervalFactor * ownDomainInterval};
}

void Membership::refreshIntervals()
{
    intervals_ = {settings_.interval_, settings_.interval_};
    if (settings_.budgetBytesPerSecond_ <= 0 || exchangeBytes_ <= 0) {
        return;
    }
    double ownDomainLinks = 0;
    double crossDomainLinks = 0;
    for (const auto &[instance, record] : records_) {
        if (record.member_.alive_ && (record.linked_ || record.direct_)) {
            (record.member_.domain_ == settings_.self_.domain_ ? ownDomainLinks
                                                               : crossDomainLinks) += 1;
        }
    }
    intervals_ = stretchIntervals(settings_.interval_, ownDomainLinks, crossDomainLinks,
                                  settings_.budgetBytesPerSecond_ / exchangeBytes_);
}

Duration Membership::intervalTo(const DomainId &domain) const
{
    return domain == settings_.self_.domain_ ? intervals_.ownDomain_ : intervals_.crossDomain_;
}

} // namespace almondridge::peers
