#include "endpointload.h"

#include <algorithm>
#include <cmath>

namespace almondridge::routing {
namespace {

/**
 * A dispatch this close before a report's stamp counts as not included in the report, since it may
 * still have been in transit, and clocks differ a little. Counting a request twice for one report
 * interval costs less than not counting it at all.
 */
constexpr Duration ReportCoverageMargin = millis(20);

/** Streams that fill an engine that does not report its KV capacity. */
constexpr double AssumedStreams = 64;

/** Factor applied to earlier observations for each new one. */
constexpr double ObservationDecay = 0.97;
/** Half-life of observations over time. */
constexpr double ObservationHalfLifeSeconds = 20;
/** Pulls the ratio towards 1 for few observations, and limits the effect of tiny estimates. */
constexpr double ObservationPriorSeconds = 0.02;
constexpr double MinRatio = 0.5;
constexpr double MaxRatio = 20;

} // namespace

bool EndpointLoad::onReport(const LoadReport &report, TimePoint now)
{
    // A stamp in the future would make every later report with a correct stamp look old.
    const TimePoint stamp = std::min(report.stamp_, now);
    if (reported_ && stamp < stamp_) {
        return false;
    }
    stamp_ = stamp;
    prefillTokensWaiting_ = report.prefillTokensWaiting_;
    kvUsedTokens_ = report.kvUsedTokens_;
    kvCapacityTokens_ = report.kvCapacityTokens_;
    prefillTokensPerSecond_ = report.prefillTokensPerSecond_;
    decodeTokensPerSecond_ = report.decodeTokensPerSecond_;
    running_ = report.running_;
    waiting_ = report.waiting_;
    role_ = report.role_;
    admits_ = report.admits_;
    reported_ = true;
    return true;
}

void EndpointLoad::reset()
{
    reported_ = false;
    prefillTokensPerSecond_ = 0;
    decodeTokensPerSecond_ = 0;
    firstTokenStats_ = {};
}

void EndpointLoad::onDispatched(std::uint64_t attempt, const RequestCost &cost, double rawSeconds,
                                TimePoint now, const LoadRules &rules, const TypicalLoad &typical)
{
    OwnDispatch dispatch;
    dispatch.attempt_ = attempt;
    dispatch.sentAt_ = now;
    dispatch.prefillTokens_ = cost.uncachedTokens_;
    dispatch.kvTokens_ = cost.kvTokens_;
    dispatch.estimatedSeconds_ = rawSeconds;
    dispatch.hadFreshReport_ = reportIsFresh(now, rules);
    if (dispatch.hadFreshReport_) {
        const double excessTokens = reportedTokensOfOthers(rules) - typical.prefillTokensAhead_;
        dispatch.reportedExcessSeconds_ = excessTokens / prefillRate(typical);
        dispatch.typicalSeconds_ =
            rawSeconds - dispatch.reportedExcessSeconds_ * typical.reportWeight_;
    }
    ownDispatches_.push_back(dispatch);
}

std::optional<ReportOutcome> EndpointLoad::onFirstToken(std::uint64_t attempt, TimePoint now)
{
    const auto dispatch = findDispatch(attempt);
    if (dispatch == ownDispatches_.end() || dispatch->firstTokenAt_ != TimePoint::max()) {
        return std::nullopt;
    }
    dispatch->firstTokenAt_ = now;
    const double seconds = toSeconds(now - dispatch->sentAt_);
    observe(seconds, dispatch->estimatedSeconds_, now);
    if (!dispatch->hadFreshReport_) {
        return std::nullopt;
    }
    return ReportOutcome {dispatch->reportedExcessSeconds_, seconds - dispatch->typicalSeconds_};
}

void EndpointLoad::onFinished(std::uint64_t attempt)
{
    const auto dispatch = findDispatch(attempt);
    if (dispatch != ownDispatches_.end()) {
        ownDispatches_.erase(dispatch);
    }
}

bool EndpointLoad::reportIsFresh(TimePoint now, const LoadRules &rules) const
{
    return reported_
           && (now - stamp_ <= rules.staleAfter_ || !rules.mechanisms_.has(Mechanism::Staleness));
}

double EndpointLoad::prefillTokensAhead(TimePoint now, const LoadRules &rules,
                                        const TypicalLoad &typical) const
{
    double tokens = typical.prefillTokensAhead_;
    if (reportIsFresh(now, rules)) {
        tokens += (reportedTokensOfOthers(rules) - tokens) * typical.reportWeight_;
    }
    if (!rules.mechanisms_.has(Mechanism::OwnDispatches)) {
        return tokens;
    }
    for (const OwnDispatch &dispatch : ownDispatches_) {
        if (dispatch.firstTokenAt_ == TimePoint::max()) {
            tokens += static_cast<double>(dispatch.prefillTokens_);
        }
    }
    return tokens;
}

double EndpointLoad::reportedTokensOfOthers(const LoadRules &rules) const
{
    auto tokens = static_cast<double>(prefillTokensWaiting_);
    if (!rules.mechanisms_.has(Mechanism::OwnDispatches)) {
        return tokens;
    }
    for (const OwnDispatch &dispatch : ownDispatches_) {
        const bool reported =
            dispatch.sentAt_ + ReportCoverageMargin < stamp_ && dispatch.firstTokenAt_ > stamp_;
        if (reported) {
            tokens -= static_cast<double>(dispatch.prefillTokens_);
        }
    }
    return std::max(tokens, 0.0);
}

double EndpointLoad::outstanding(TimePoint now, const LoadRules &rules,
                                 const TypicalLoad &typical) const
{
    const bool fresh = reportIsFresh(now, rules);
    const double others = fresh ? running_ + waiting_ : typical.outstanding_;
    if (!rules.mechanisms_.has(Mechanism::OwnDispatches)) {
        return others;
    }
    const auto notInReport =
        std::count_if(ownDispatches_.begin(), ownDispatches_.end(), [&](const OwnDispatch &own) {
            return !fresh || own.sentAt_ + ReportCoverageMargin >= stamp_;
        });
    return others + static_cast<double>(notInReport);
}

double EndpointLoad::kvUtilization(TimePoint now, const LoadRules &rules,
                                   const TypicalLoad &typical) const
{
    if (kvCapacityTokens_ <= 0 || !reportIsFresh(now, rules)) {
        return outstanding(now, rules, typical) / AssumedStreams;
    }
    double used = static_cast<double>(kvUsedTokens_);
    for (const OwnDispatch &dispatch : ownDispatches_) {
        used += dispatch.sentAt_ + ReportCoverageMargin < stamp_
                    ? 0.0
                    : static_cast<double>(dispatch.kvTokens_);
    }
    return used / static_cast<double>(kvCapacityTokens_);
}

double EndpointLoad::rawSeconds(const RequestCost &cost, TimePoint now, const LoadRules &rules,
                                const TypicalLoad &typical) const
{
    const double tokens =
        prefillTokensAhead(now, rules, typical) + static_cast<double>(cost.uncachedTokens_);
    return tokens / prefillRate(typical) + kvWaitSeconds(cost, now, rules, typical);
}

double EndpointLoad::kvWaitSeconds(const RequestCost &cost, TimePoint now, const LoadRules &rules,
                                   const TypicalLoad &typical) const
{
    if (kvCapacityTokens_ <= 0 || running_ <= 0 || !reportIsFresh(now, rules)) {
        return 0;
    }
    double used = static_cast<double>(kvUsedTokens_ + cost.kvTokens_);
    for (const OwnDispatch &dispatch : ownDispatches_) {
        used += dispatch.sentAt_ + ReportCoverageMargin < stamp_
                    ? 0.0
                    : static_cast<double>(dispatch.kvTokens_);
    }
    const double excess = used - static_cast<double>(kvCapacityTokens_);
    if (excess <= 0 || kvUsedTokens_ <= 0) {
        return 0;
    }
    // Streams are assumed to end at a steady rate, so all used KV space is freed within the
    // duration of one stream.
    const double streamSeconds =
        static_cast<double>(std::max<std::int64_t>(cost.outputTokens_, 1)) / decodeRate(typical);
    return streamSeconds * excess / static_cast<double>(kvUsedTokens_);
}

double EndpointLoad::correctedSeconds(double rawSeconds, TimePoint now,
                                      const LoadRules &rules) const
{
    double ratio = 1;
    if (rules.mechanisms_.has(Mechanism::Observations)) {
        const double weight = decay(now);
        ratio = (firstTokenStats_.observedSeconds_ * weight + ObservationPriorSeconds)
                / (firstTokenStats_.estimatedSeconds_ * weight + ObservationPriorSeconds);
    }
    if (rules.mechanisms_.has(Mechanism::Overdue)) {
        ratio = std::max(ratio, overdueRatio(now));
    }
    return rawSeconds * std::clamp(ratio, MinRatio, MaxRatio);
}

double EndpointLoad::overdueRatio(TimePoint now) const
{
    const auto oldest =
        std::find_if(ownDispatches_.begin(), ownDispatches_.end(), [](const OwnDispatch &dispatch) {
            return dispatch.firstTokenAt_ == TimePoint::max();
        });
    if (oldest == ownDispatches_.end()) {
        return 0;
    }
    return (toSeconds(now - oldest->sentAt_) + ObservationPriorSeconds)
           / (oldest->estimatedSeconds_ + ObservationPriorSeconds);
}

double EndpointLoad::prefillRate(const TypicalLoad &typical) const
{
    return prefillTokensPerSecond_ > 0 ? prefillTokensPerSecond_ : typical.prefillTokensPerSecond_;
}

double EndpointLoad::decodeRate(const TypicalLoad &typical) const
{
    return decodeTokensPerSecond_ > 0 ? decodeTokensPerSecond_ : typical.decodeTokensPerSecond_;
}

std::optional<fleet::EngineRole> EndpointLoad::reportedRole() const
{
    return reported_ ? std::optional(role_) : std::nullopt;
}

std::vector<EndpointLoad::OwnDispatch>::iterator EndpointLoad::findDispatch(std::uint64_t attempt)
{
    return std::find_if(ownDispatches_.begin(), ownDispatches_.end(),
                        [&](const OwnDispatch &dispatch) { return dispatch.attempt_ == attempt; });
}

void EndpointLoad::observe(double observedSeconds, double estimatedSeconds, TimePoint now)
{
    const double weight = decay(now) * ObservationDecay;
    firstTokenStats_.observedSeconds_ =
        firstTokenStats_.observedSeconds_ * weight + observedSeconds;
    firstTokenStats_.estimatedSeconds_ =
        firstTokenStats_.estimatedSeconds_ * weight + estimatedSeconds;
    firstTokenStats_.updatedAt_ = now;
}

double EndpointLoad::decay(TimePoint now) const
{
    return std::exp2(-toSeconds(now - firstTokenStats_.updatedAt_) / ObservationHalfLifeSeconds);
}

} // namespace almondridge::routing
