/**
 * Admission control by tokens: weighted shares of accounts, a bounded queue with deadlines,
 * immediate refusal of requests whose deadline cannot be met, and a retry budget. Performs no I/O
 * and reads no clock: the current time is passed in.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/fleet/fleet.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondridge::admission {

/** Identifies an admitted or queued request. */
using Ticket = std::uint64_t;

/** A request that asks for admission. */
struct Offer
{
    AccountId account_;
    ModelId model_;                   ///< Empty for a call to a service.
    std::int64_t tokens_ = 0;         ///< Uncached prompt plus expected output.
    int priority_ = 0;                ///< Each step doubles or halves the account's weight.
    TimePoint firstTokenDeadline_ {}; ///< TimePoint {}: none.
    TimePoint deadline_ {};           ///< For the whole response; TimePoint {}: none.
};

/** What happens to an offered request. */
enum class Answer { Admit, Queue, Refuse };

enum class RefusalReason {
    None,
    DeadlineCannotBeMet,
    QueueFull,
    ShareExhausted,
    NoCapacity,
    Stopping
};

inline constexpr std::array<EnumName<RefusalReason>, 6> RefusalReasonNames {{
    {RefusalReason::None, "none"},
    {RefusalReason::DeadlineCannotBeMet, "deadline-cannot-be-met"},
    {RefusalReason::QueueFull, "queue-full"},
    {RefusalReason::ShareExhausted, "share-exhausted"},
    {RefusalReason::NoCapacity, "no-capacity"},
    {RefusalReason::Stopping, "stopping"},
}};

/** The result of an offer, and the reason for it. */
struct Decision
{
    Answer answer_ = Answer::Refuse;
    Ticket ticket_ = 0; ///< Set for Admit and Queue.
    RefusalReason reason_ = RefusalReason::None;
    TimePoint retryAt_ {}; ///< For Refuse: the earliest useful time for a retry.
    std::string details_;  ///< Rule and estimate as key=value pairs.
};

/** A request that left the queue: admitted, or refused because of its deadline or an eviction. */
struct Release
{
    Ticket ticket_ = 0;
    Decision decision_;
};

/** Decides which requests run now, wait or are refused. Not thread-safe. */
class Admission
{
public:
    class Builder;

    /** Takes over models, account shares and policy of the configuration. */
    void setFleet(std::shared_ptr<const fleet::Fleet> fleet);
    /**
     * The router's estimate for the model: time to first token of a request sent now, tokens per
     * second of all engines, and their free share, 0 to 1. Expires after a few seconds.
     */
    void onCapacity(const ModelId &model, Duration firstTokenWait, double tokensPerSecond,
                    double spareShare, TimePoint now);

    /** Admits, queues or refuses a request. poll() reports the outcome of a queued one. */
    Decision offer(const Offer &offer, TimePoint now);
    /** An admitted request got its first token; adapts the limit on outstanding tokens. */
    void onFirstToken(Ticket ticket, TimePoint now);
    /** An admitted or queued request has ended. tokens: the number that it actually used. */
    void onFinished(Ticket ticket, std::int64_t tokens, TimePoint now);
    /** Returns requests that leave the queue now. Call after each event and at nextPoll(). */
    std::vector<Release> poll(TimePoint now);
    /** When to call poll() next if no event occurs before; nullopt: never; in the past: now. */
    std::optional<TimePoint> nextPoll() const;

    /** Takes one retry from the retry budget; false if the budget is used up. */
    bool takeRetry(TimePoint now);
    /** A request starts its first attempt, which adds to the retry budget. */
    void onFirstAttempt(TimePoint now);

    /** Refuses every further offer with RefusalReason::Stopping; the queue is kept. */
    void stop();

    Admission(Admission &&) noexcept;
    Admission &operator=(Admission &&) noexcept;
    ~Admission();

private:
    struct State;
    explicit Admission(std::unique_ptr<State> state) noexcept;
    std::unique_ptr<State> state_;
};

/** Configures and creates an Admission. */
class Admission::Builder
{
public:
    /** Limit on queued requests of all models together. */
    Builder &maxQueued(std::size_t requests);
    /** Limit on admitted, unfinished requests of all models together. */
    Builder &maxRunning(std::size_t requests);
    Admission build();

private:
    std::size_t maxQueued_ = 1'024;
    std::size_t maxRunning_ = 512;
};

} // namespace almondridge::admission
