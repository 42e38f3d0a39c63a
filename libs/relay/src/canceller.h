/**
 * Cancels streams on engines in background threads, so that requests do not wait for it.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/net/http.h"
#include "almondridge/observe/metrics.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace almondridge::relay {

/** Queue of cancel requests with its worker threads. Thread-safe. */
class Canceller
{
public:
    Canceller(observe::Metrics &metrics, Duration timeout);
    /** Sends the queued requests, each with the timeout, and joins the threads. */
    ~Canceller();
    Canceller(const Canceller &) = delete;
    Canceller &operator=(const Canceller &) = delete;

    /** Queues a DELETE of the stream without blocking. Dropped and counted if the queue is full. */
    void cancel(const net::Address &engine, const AttemptId &attempt);

private:
    struct CancelRequest
    {
        net::Address engine_;
        AttemptId attempt_;
        int sendCount_ = 0;
    };

    void runWorker();
    bool send(const CancelRequest &request);

    observe::Metrics &metrics_;
    const Duration timeout_;
    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<CancelRequest> queue_;
    bool stopping_ = false;
    std::vector<std::thread> workers_;
};

} // namespace almondridge::relay
