#include "leaseloop.h"

namespace almondridge::control {
namespace {

/** How often the keeper is polled when nothing wakes the thread. */
constexpr std::chrono::milliseconds PollInterval {50};
/** Timeout of one append as a fraction of the term, so that a renewal can be retried. */
constexpr int AppendsPerTerm = 3;
/** Instances spread their claims of a free lease over this fraction of the term. */
constexpr int ClaimSpreadPerTerm = 4;
/** Retries of a renewal are spread over this fraction of the term. */
constexpr int RenewalSpreadPerTerm = 24;

} // namespace

LeaseLoop::LeaseLoop(LeaseSettings settings, ControlLog &log, observe::Timeline *timeline)
    : settings_(std::move(settings))
    , log_(log)
    , timeline_(timeline)
    , random_(std::random_device {}())
    , keeper_(settings_.instance_, settings_.domain_, settings_.termMillis_,
              settings_.marginMillis_)
{ }

LeaseLoop::~LeaseLoop()
{
    stop();
}

void LeaseLoop::start()
{
    thread_ = std::thread([this] { run(); });
}

void LeaseLoop::stop()
{
    {
        const std::scoped_lock lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void LeaseLoop::release(TimePoint deadline, TimePoint claimFrom)
{
    std::optional<LeaseRenewRecord> record;
    {
        const std::scoped_lock lock(mutex_);
        claimFrom_ = claimFrom;
        record = keeper_.release(BootClock::now());
        if (!record) {
            return;
        }
        keeper_.onAppending(*record, BootClock::now());
    }
    const auto verdict =
        capture([&] { return log_.append(*record, deadline, OutagePolicy::Fail); });
    const Error *error = std::get_if<Error>(&verdict);
    addTimelineEvent(error == nullptr ? "lease.released" : "lease.left-to-lapse",
                     "fence=" + std::to_string(record->fence_)
                         + (error != nullptr ? " why=\"" + describe(*error) + "\"" : ""));
}

std::optional<HeldLease> LeaseLoop::held() const
{
    const std::scoped_lock lock(mutex_);
    const auto fence = keeper_.heldFence(BootClock::now());
    if (!fence) {
        return std::nullopt;
    }
    return HeldLease {*fence, keeper_.orderDeadline(), keeper_.firstUnfencedOrder()};
}

void LeaseLoop::onFolded(const FoldStep &step)
{
    const bool ofLease = std::holds_alternative<LeaseClaimRecord>(step.record_)
                         || std::holds_alternative<LeaseRenewRecord>(step.record_);
    if (!ofLease) {
        return;
    }
    {
        const std::scoped_lock lock(mutex_);
        keeper_.onFolded(step);
    }
    wake_.notify_all();
}

void LeaseLoop::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        advance();
        lock.lock();
        if (!stopping_) {
            wake_.wait_for(lock, PollInterval);
        }
    }
}

void LeaseLoop::advance()
{
    logLeaseChange();
    Record record;
    if (nextRecord(record) != LeaseStep::Wait) {
        append(record);
        logLeaseChange();
    }
}

LeaseStep LeaseLoop::nextRecord(Record &record)
{
    return log_.read([&](const Fold &fold) {
        const std::scoped_lock lock(mutex_);
        const TimePoint now = BootClock::now();
        keeper_.setBackoff(drawBackoff());
        const LeaseStep step = keeper_.next(fold, now, record);
        if (step == LeaseStep::Wait || (step == LeaseStep::Claim && now < claimFrom_)) {
            return LeaseStep::Wait;
        }
        keeper_.onAppending(record, now);
        return step;
    });
}

void LeaseLoop::append(const Record &record)
{
    const TimePoint deadline = BootClock::now() + millis(settings_.termMillis_ / AppendsPerTerm);
    const auto answer = capture([&] { return log_.append(record, deadline, OutagePolicy::Fail); });
    if (const auto *verdict = std::get_if<AppendVerdict>(&answer)) {
        const std::scoped_lock lock(mutex_);
        keeper_.onVerdict(verdict->verdict_, verdict->offset_, BootClock::now());
    }
}

void LeaseLoop::logLeaseChange()
{
    const auto now = held();
    const std::optional<Fence> fence = now ? std::optional(now->fence_) : std::nullopt;
    if (fence == loggedFence_) {
        return;
    }
    if (loggedFence_) {
        addTimelineEvent("lease.lost",
                         "fence=" + std::to_string(*loggedFence_)
                             + " why=\"not renewed in time, or another holder claimed it\"");
    }
    if (now) {
        const auto wait = millisUntil(now->firstUnfencedOrder_, BootClock::now());
        addTimelineEvent("lease.claimed",
                         "fence=" + std::to_string(now->fence_)
                             + " first-order-to-ignoring-in-ms=" + std::to_string(wait));
    }
    loggedFence_ = fence;
}

Duration LeaseLoop::drawBackoff()
{
    const bool renews = keeper_.heldFence(BootClock::now()).has_value();
    const int parts = renews ? RenewalSpreadPerTerm : ClaimSpreadPerTerm;
    std::uniform_int_distribution<std::int64_t> spread(0, settings_.termMillis_ / parts);
    return millis(spread(random_));
}

void LeaseLoop::addTimelineEvent(std::string name, std::string detail)
{
    if (timeline_ != nullptr) {
        timeline_->add(observe::EventKind::Lease, std::move(name), settings_.domain_.value(),
                       std::move(detail));
    }
}

} // namespace almondridge::control
