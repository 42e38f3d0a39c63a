#include "engine/batch.h"

#include <algorithm>

namespace almondridge::standins {
namespace {

/** The part of a full batch's step that does not depend on the number of jobs. */
constexpr double FixedShareOfStep = 0.5;
/** A step that ended longer ago than this was not seen in time: the engine was paused. */
constexpr Duration LongestCatchUp = std::chrono::milliseconds(100);

template <typename Container, typename Predicate>
auto findWhere(Container &container, Predicate &&predicate)
{
    return std::find_if(container.begin(), container.end(), predicate);
}

} // namespace

Batch::Batch(const BatchRates &rates, PrefixCache &cache)
    : rates_(rates)
    , cache_(cache)
{ }

void Batch::add(Job job)
{
    const auto behind =
        findWhere(waiting_, [&](const Job &waiting) { return waiting.priority_ < job.priority_; });
    waiting_.insert(behind, std::move(job));
}

std::optional<JobProgress> Batch::remove(JobId job)
{
    const std::optional<JobProgress> found = progress(job);
    std::erase_if(waiting_, [&](const Job &waiting) { return waiting.id_ == job; });
    std::erase_if(active_, [&](const ActiveJob &active) { return active.job_.id_ == job; });
    return found;
}

void Batch::clear()
{
    waiting_.clear();
    active_.clear();
    stepEnd_.reset();
}

std::optional<JobProgress> Batch::progress(JobId job) const
{
    const auto active =
        findWhere(active_, [&](const auto &entry) { return entry.job_.id_ == job; });
    if (active != active_.end()) {
        return JobProgress {true, active->cachedTokens_, active->produced_};
    }
    const auto waiting = findWhere(waiting_, [&](const Job &entry) { return entry.id_ == job; });
    if (waiting != waiting_.end()) {
        return JobProgress {};
    }
    return std::nullopt;
}

BatchLoad Batch::load() const
{
    BatchLoad load;
    load.running_ = static_cast<int>(active_.size());
    load.waiting_ = static_cast<int>(waiting_.size());
    for (const Job &waiting : waiting_) {
        load.prefillTokensWaiting_ += waiting.kvImported_ ? 0 : waiting.promptTokens_;
    }
    for (const ActiveJob &active : active_) {
        load.prefillTokensWaiting_ += active.prefillLeft_;
        load.kvUsedTokens_ += active.job_.promptTokens_ - active.prefillLeft_ + active.produced_;
    }
    return load;
}

std::optional<TimePoint> Batch::nextDue() const
{
    if (stepEnd_) {
        return stepEnd_;
    }
    if (!active_.empty()) {
        return TimePoint {};
    }
    std::optional<TimePoint> due;
    for (const Job &waiting : waiting_) {
        due = std::min(due.value_or(waiting.readyAt_), waiting.readyAt_);
    }
    return due;
}

StepOutcome Batch::advance(TimePoint now)
{
    StepOutcome outcome;
    TimePoint start = now;
    if (stepEnd_) {
        if (*stepEnd_ > now) {
            return outcome;
        }
        // From the end of the step and not from now, so that waking late costs no speed.
        start = now - *stepEnd_ > LongestCatchUp ? now : *stepEnd_;
        stepEnd_.reset();
        endStep(outcome);
    }
    dropLate(now, outcome);
    admitWaiting(now, outcome);
    beginStep(start);
    return outcome;
}

Duration Batch::stepTime(std::int64_t prefillTokens, int decoding) const
{
    double seconds = static_cast<double>(prefillTokens) / rates_.prefillTokensPerSecond_;
    if (decoding > 0) {
        const double full = rates_.maxBatch_ / rates_.decodeTokensPerSecond_;
        const double filled = static_cast<double>(decoding) / rates_.maxBatch_;
        seconds += full * (FixedShareOfStep + (1 - FixedShareOfStep) * filled);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void Batch::endStep(StepOutcome &outcome)
{
    for (ActiveJob &active : active_) {
        if (active.prefillInStep_ > 0) {
            outcome.prefillTokens_ += active.prefillInStep_;
            active.prefillLeft_ -= active.prefillInStep_;
            if (active.prefillLeft_ == 0) {
                // The step that reads the last of the prompt gives the first token.
                cache_.insert(active.job_.prefixHashes_);
                giveToken(active, outcome);
            }
        } else if (active.decodesInStep_) {
            giveToken(active, outcome);
        }
    }
    std::erase_if(active_, [](const ActiveJob &active) {
        return active.produced_ >= active.job_.maxTokens_;
    });
}

void Batch::giveToken(ActiveJob &active, StepOutcome &outcome)
{
    ++active.produced_;
    outcome.tokens_.push_back(active.job_.id_);
    if (active.produced_ >= active.job_.maxTokens_) {
        outcome.finished_.push_back(active.job_.id_);
    }
}

void Batch::beginStep(TimePoint start)
{
    std::int64_t budget = rates_.chunkTokens_;
    std::int64_t prefill = 0;
    int decoding = 0;
    for (ActiveJob &active : active_) {
        active.prefillInStep_ = std::min(budget, active.prefillLeft_);
        active.decodesInStep_ = active.prefillLeft_ == 0;
        budget -= active.prefillInStep_;
        prefill += active.prefillInStep_;
        decoding += active.decodesInStep_ ? 1 : 0;
    }
    if (prefill > 0 || decoding > 0) {
        stepEnd_ = start + stepTime(prefill, decoding);
    }
}

void Batch::dropLate(TimePoint now, StepOutcome &outcome)
{
    const auto late = [&](const Job &job) {
        if (!job.deadline_ || *job.deadline_ > now) {
            return false;
        }
        outcome.dropped_.push_back(job.id_);
        return true;
    };
    std::erase_if(waiting_, late);
    std::erase_if(active_, [&](const ActiveJob &active) { return late(active.job_); });
}

void Batch::admitWaiting(TimePoint now, StepOutcome &outcome)
{
    std::int64_t free = rates_.kvCapacityTokens_ - reservedTokens();
    for (auto next = waiting_.begin(); next != waiting_.end();) {
        const std::int64_t needed = next->promptTokens_ + next->maxTokens_;
        if (active_.size() >= static_cast<std::size_t>(rates_.maxBatch_)) {
            return;
        }
        if (next->readyAt_ > now) {
            ++next;
            continue;
        }
        // A job larger than the whole memory runs alone rather than never.
        if (needed > free && !active_.empty()) {
            return;
        }
        free -= needed;
        outcome.started_.push_back(next->id_);
        activate(std::move(*next));
        next = waiting_.erase(next);
    }
}

void Batch::activate(Job job)
{
    ActiveJob active;
    if (!job.kvImported_) {
        // The last token of a prompt is always read: the first answer token comes from it.
        active.cachedTokens_ = std::clamp<std::int64_t>(
            cache_.lookUp(job.prefixHashes_), 0, std::max<std::int64_t>(job.promptTokens_ - 1, 0));
        active.prefillLeft_ = std::max<std::int64_t>(job.promptTokens_ - active.cachedTokens_, 1);
    }
    active.job_ = std::move(job);
    active_.push_back(std::move(active));
}

std::int64_t Batch::reservedTokens() const
{
    std::int64_t reserved = 0;
    for (const ActiveJob &active : active_) {
        reserved += active.reservedTokens();
    }
    return reserved;
}

} // namespace almondridge::standins
