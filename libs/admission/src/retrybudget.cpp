#include "retrybudget.h"

namespace almondridge::admission {
namespace {

/** Allows retries at low traffic, where the share alone permits none; far below a storm. */
constexpr double MinRetries = 3;

std::int64_t secondOf(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

} // namespace

void RetryBudget::onFirstAttempt(TimePoint now)
{
    ++bucketAt(now).firstAttempts_;
}

bool RetryBudget::tryTake(TimePoint now)
{
    Bucket &current = bucketAt(now);
    double firstAttempts = 0;
    double retries = 0;
    for (const Bucket &bucket : buckets_) {
        if (bucket.second_ + static_cast<std::int64_t>(Buckets) > current.second_) {
            firstAttempts += static_cast<double>(bucket.firstAttempts_);
            retries += static_cast<double>(bucket.retries_);
        }
    }
    if (retries + 1 > firstAttempts * share_ + MinRetries) {
        return false;
    }
    ++current.retries_;
    return true;
}

RetryBudget::Bucket &RetryBudget::bucketAt(TimePoint now)
{
    const std::int64_t second = secondOf(now);
    Bucket &bucket = buckets_[static_cast<std::size_t>(second) % Buckets];
    if (bucket.second_ != second) {
        bucket = Bucket {second, 0, 0};
    }
    return bucket;
}

} // namespace almondridge::admission
