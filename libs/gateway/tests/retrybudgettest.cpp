#include "almondridge/gateway/retrybudget.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <vector>

using namespace almondridge;
using namespace almondridge::gateway;

namespace {

constexpr std::int64_t TickMillis = 100;
constexpr std::int64_t WindowMillis = 10'000;
constexpr std::ptrdiff_t WindowTicks = WindowMillis / TickMillis;
constexpr double Ratio = 0.2;

/** What an observer of all endpoints of a service counts, by ticks. */
class Arrivals
{
public:
    explicit Arrivals(std::size_t ticks)
        : requests_(ticks)
        , retries_(ticks)
    { }

    void onRequest(std::size_t tick) { ++requests_.at(tick); }
    void onRetry(std::size_t tick) { ++retries_.at(tick); }

    /**
     * By how much the retries of a window exceed what is allowed for the requests of this window,
     * the one before or the one half a window before; the largest of all windows.
     */
    double worstExcess(double slack) const
    {
        double worst = -slack;
        for (std::ptrdiff_t from = 0; from < static_cast<std::ptrdiff_t>(retries_.size()); ++from) {
            const int requests =
                std::max({sum(requests_, from), sum(requests_, from - WindowTicks / 2),
                          sum(requests_, from - WindowTicks)});
            worst = std::max(worst, sum(retries_, from) - Ratio * requests - slack);
        }
        return worst;
    }

    int retries() const { return std::accumulate(retries_.begin(), retries_.end(), 0); }

private:
    static int sum(const std::vector<int> &counts, std::ptrdiff_t from)
    {
        const auto size = static_cast<std::ptrdiff_t>(counts.size());
        const auto begin = counts.begin() + std::clamp<std::ptrdiff_t>(from, 0, size);
        const auto end = counts.begin() + std::clamp<std::ptrdiff_t>(from + WindowTicks, 0, size);
        return std::accumulate(begin, end, 0);
    }

    std::vector<int> requests_;
    std::vector<int> retries_;
};

enum class Restarts {
    None,
    Killed,            ///< The same half of the instances is killed every two seconds.
    KilledAlternately, ///< The one half and the other one in turn.
    Stopped,           ///< As Killed, but the others see that they leave, and that they come back.
    Added,             ///< As many instances again start at one moment.
    Left,              ///< Half of them leave for good, after they have spent their parts.
};

struct FleetSize
{
    int instances_;
    double requestsPerSecond_; ///< At each instance.
    double slack_;
};

/** Instances of three failure domains whose endpoints refuse every request after a while. */
class Fleet
{
public:
    static constexpr std::int64_t Length = 40'000;
    static constexpr std::int64_t RefusedFrom = 15'000;
    static constexpr std::int64_t RestartInterval = 2'000;

    Fleet(const FleetSize &size, Restarts restarts, int retriesWanted)
        : size_(size)
        , restarts_(restarts)
        , retriesWanted_(retriesWanted)
        , arrivals_(Length / TickMillis)
    {
        for (int index = 0; index < size.instances_; ++index) {
            start(0);
        }
    }

    /** Runs the whole time. */
    const Arrivals &run()
    {
        for (std::int64_t now = 0; now < Length; now += TickMillis) {
            if (now >= RefusedFrom && (now - RefusedFrom) % RestartInterval == 0) {
                restart(now);
            }
            for (std::size_t index = 0; index < processes_.size(); ++index) {
                runTick(index, now);
            }
        }
        return arrivals_;
    }

private:
    /** Until then an instance has no complete list of instances, or an old one. */
    static constexpr std::int64_t AllKnownAfter = 500;

    struct Process
    {
        RetryBudget budget_;
        std::int64_t startedAt_;
        double due_ = 0; ///< Requests that have not been sent yet.
    };

    static TimePoint at(std::int64_t millisecond)
    {
        return TimePoint {} + millis(1'000'000 + millisecond);
    }

    Process process(std::int64_t now) const
    {
        // Those that run from the beginning have run before.
        return {
            RetryBudget({Ratio, size_.slack_, WindowMillis}, now > 0 ? at(now) : at(-WindowMillis)),
            now};
    }

    void start(std::int64_t now) { processes_.push_back(process(now)); }

    void restart(std::int64_t now)
    {
        if (restarts_ == Restarts::None) {
            return;
        }
        if (restarts_ == Restarts::Left) {
            if (now == RefusedFrom + RestartInterval) {
                processes_.erase(processes_.begin(),
                                 processes_.begin()
                                     + static_cast<std::ptrdiff_t>(processes_.size() / 2));
            }
            return;
        }
        if (restarts_ == Restarts::Added) {
            for (int index = 0; now == RefusedFrom && index < size_.instances_; ++index) {
                start(now);
            }
            return;
        }
        const std::size_t round = static_cast<std::size_t>(now / RestartInterval);
        const std::size_t half = restarts_ == Restarts::KilledAlternately ? round % 2 : 0;
        for (std::size_t index = half; index < processes_.size(); index += 2) {
            processes_[index] = process(now);
        }
        restartedAt_ = now;
    }

    /** 0: the process has no complete list yet. */
    int knownInstances(const Process &process, std::int64_t now) const
    {
        const int all = static_cast<int>(processes_.size());
        const std::int64_t age = now - process.startedAt_;
        if (process.startedAt_ > 0 && age < AllKnownAfter) {
            return 0;
        }
        const bool hasLeavers = restarts_ == Restarts::Stopped && restartedAt_ > 0
                                && now < restartedAt_ + AllKnownAfter;
        return hasLeavers ? all / 2 : all;
    }

    void runTick(std::size_t index, std::int64_t now)
    {
        constexpr double TicksPerSecond = 1'000.0 / TickMillis;
        Process &process = processes_[index];
        if (const int known = knownInstances(process, now); known > 0) {
            process.budget_.setInstances(std::max(8, known), at(now));
        }
        process.due_ += size_.requestsPerSecond_ / TicksPerSecond;
        for (; process.due_ >= 1; process.due_ -= 1) {
            process.budget_.onRequest(at(now));
            arrivals_.onRequest(static_cast<std::size_t>(now / TickMillis));
            retry(process, now);
        }
        if (now == RefusedFrom) {
            retry(process, now); // A request that was in flight.
        }
    }

    void retry(Process &process, std::int64_t now)
    {
        for (int retry = 0; now >= RefusedFrom && retry < retriesWanted_; ++retry) {
            if (!process.budget_.take(at(now))) {
                return;
            }
            arrivals_.onRetry(static_cast<std::size_t>(now / TickMillis));
        }
    }

    FleetSize size_;
    Restarts restarts_;
    int retriesWanted_;
    Arrivals arrivals_;
    std::vector<Process> processes_;
    std::int64_t restartedAt_ = 0;
};

/** The last one is twice the size to design for. */
const std::vector<FleetSize> Sizes {
    {9, 16, 58}, {88, 2.7, 216}, {985, 11, 2'000}, {2'000, 11, 4'000}};

/** The same with so few requests that the constant is most of the budget. */
const std::vector<FleetSize> QuietSizes {{88, 1, 2'000}, {985, 1, 20'000}, {2'000, 1, 40'000}};

constexpr int MaxRetries = 4;
/** Enough to use up the constant. */
constexpr int ManyRetries = 30;

void expectWithinBudget(const FleetSize &size, Restarts restarts, int retriesWanted = MaxRetries)
{
    const double excess = Fleet(size, restarts, retriesWanted).run().worstExcess(size.slack_);
    BOOST_TEST(excess <= 0, size.instances_ << " instances: " << excess << " retries too many");
}

} // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgets)

/**
 * Guards against overload by retries when many instances restart: each new process would spend
 * again what the one before it has spent.
 */
BOOST_AUTO_TEST_CASE(instancesThatRestartKeepToTheCommonBudget)
{
    for (const FleetSize &size : Sizes) {
        for (const Restarts restarts : {Restarts::Killed, Restarts::KilledAlternately}) {
            expectWithinBudget(size, restarts);
        }
    }
}

/** Guards against instances that take over the parts of those that leave and soon come back. */
BOOST_AUTO_TEST_CASE(instancesThatLeaveKeepToTheCommonBudget)
{
    for (const FleetSize &size : Sizes) {
        expectWithinBudget(size, Restarts::Stopped);
    }
    for (const FleetSize &size : QuietSizes) {
        expectWithinBudget(size, Restarts::Left, ManyRetries);
    }
}

/** Guards against new instances that spend more than the others, which don't know them yet, leave.
 */
BOOST_AUTO_TEST_CASE(instancesThatAreAddedKeepToTheCommonBudget)
{
    for (const FleetSize &size : Sizes) {
        expectWithinBudget(size, Restarts::Added);
    }
}

/** Guards against a budget that is kept by giving callers nothing while the fleet is calm. */
BOOST_AUTO_TEST_CASE(calmInstancesUseTheirWholePart)
{
    for (const FleetSize &size : Sizes) {
        Fleet fleet(size, Restarts::None, MaxRetries);
        const Arrivals &arrivals = fleet.run();
        BOOST_TEST(arrivals.worstExcess(size.slack_) <= 0, size.instances_ << " instances");
        constexpr double RefusedSeconds = (Fleet::Length - Fleet::RefusedFrom) / 1'000.0;
        const double requests = size.instances_ * size.requestsPerSecond_ * RefusedSeconds;
        BOOST_TEST(arrivals.retries() >= 0.7 * Ratio * requests, size.instances_ << " instances");
    }
}

BOOST_AUTO_TEST_SUITE_END()
