/**
 * Runs a LeaseKeeper: a thread that appends its claims and renewals to the control log.
 */
#pragma once

#include "almondridge/control/controllog.h"
#include "almondridge/control/leasekeeper.h"

#include <condition_variable>
#include <mutex>
#include <random>
#include <thread>

namespace almondridge::control {

/** The lease that this instance holds. */
struct HeldLease
{
    Fence fence_ = 0;
    TimePoint until_ {}; ///< No order may be sent under the fence after this.
    TimePoint firstUnfencedOrder_ {};
};

struct LeaseSettings
{
    InstanceId instance_;
    DomainId domain_;
    std::int64_t termMillis_ = 6'000;
    std::int64_t marginMillis_ = 1'000;
};

class LeaseLoop
{
public:
    LeaseLoop(LeaseSettings settings, ControlLog &log, observe::Timeline *timeline);
    ~LeaseLoop();
    LeaseLoop(const LeaseLoop &) = delete;
    LeaseLoop &operator=(const LeaseLoop &) = delete;

    void start();
    /** Ends the thread; a held lease is no longer renewed. */
    void stop();
    /**
     * Releases the lease if a successor may send orders at once. The caller makes sure that no
     * order is in progress. No lease is claimed before claimFrom.
     */
    void release(TimePoint deadline, TimePoint claimFrom);

    std::optional<HeldLease> held() const;
    /** Called by the control log's listener. */
    void onFolded(const FoldStep &step);

private:
    void run();
    void advance();
    LeaseStep nextRecord(Record &record);
    void append(const Record &record);
    void logLeaseChange();
    Duration drawBackoff();
    void addTimelineEvent(std::string name, std::string detail);

    const LeaseSettings settings_;
    ControlLog &log_;
    observe::Timeline *const timeline_;
    std::thread thread_;
    std::mt19937_64 random_;           ///< Used by the thread only.
    std::optional<Fence> loggedFence_; ///< Used by the thread only: the fence last logged as held.

    mutable std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    TimePoint claimFrom_ {};
    LeaseKeeper keeper_;
};

} // namespace almondridge::control
