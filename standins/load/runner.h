/**
 * Runs a plan as an open loop: requests go out at their times, however slow the answers are.
 */
#pragma once

#include "load/entryclient.h"
#include "load/servicecheck.h"
#include "load/statistics.h"

#include <condition_variable>
#include <deque>
#include <fstream>
#include <thread>

namespace almondridge::standins {

class Runner
{
public:
    explicit Runner(LoadOptions options);
    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;
    ~Runner();

    /** Runs the whole plan and gives the summary. NotFound: the out file cannot be written. */
    Result<Json> run();

private:
    struct Dispatch
    {
        PlannedCall call_;
        TimePoint planned_;
    };

    void dispatchAll();
    /** False when too many are in flight. */
    bool dispatch(Dispatch dispatch);
    void work();
    std::optional<Dispatch> takeDispatch();
    void perform(const Dispatch &dispatch);
    void record(const Dispatch &dispatch, const CallResult &result);
    void printProgress();
    void joinAll();
    Json checkServices();
    double secondsSinceStart() const;

    LoadOptions options_;
    EntryClient client_;
    Plan plan_;
    RunStatistics statistics_;
    TimePoint start_ {};

    std::mutex lock_;
    std::condition_variable queued_; ///< Workers wait on it, and nobody else.
    std::condition_variable ended_;
    std::deque<Dispatch> queue_;
    std::vector<std::thread> workers_;
    int idle_ = 0;
    int inFlight_ = 0;
    bool dispatched_ = false; ///< Nothing more goes into the queue.
    bool over_ = false;
    std::thread progress_;

    std::mutex recordLock_;
    std::ofstream out_;
    std::map<std::string, ServiceClaim> claims_;
};

} // namespace almondridge::standins
