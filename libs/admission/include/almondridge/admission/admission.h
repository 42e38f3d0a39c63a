/**
 * Admission by tokens: account shares, a bounded queue by deadline, refusal at once when the
 * deadline cannot be met, and a retry budget. Pure: time is passed in.
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

/** Names a queued request. */
using Ticket = std::uint64_t;

struct Offer
{
    AccountId account_;
    ModelId model_;
    std::int64_t tokens_ = 0; ///< Uncached prompt plus expected output.
    int priority_ = 0;
    TimePoint firstTokenDeadline_ {};
    TimePoint deadline_ {};
};

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

struct Decision
{
    Answer answer_ = Answer::Refuse;
    Ticket ticket_ = 0; ///< For Admit and Queue.
    RefusalReason reason_ = RefusalReason::None;
    TimePoint retryAt_ {}; ///< For Refuse: when a new try is worth it.
    std::string details_;       ///< Estimate and rule, as key=value pairs.
};

/** A queued request whose turn has come, or whose deadline can no longer be met. */
struct Release
{
    Ticket ticket_ = 0;
    Decision decision_;
};

class Admission
{
public:
    class Builder;

    void setFleet(std::shared_ptr<const fleet::Fleet> fleet);
    /** The router's estimate for the model: when a first token would come, and tokens a second. */
    void onCapacity(const ModelId &model, Duration firstTokenWait, double tokensPerSecond,
                    double spareShare, TimePoint now);

    Decision offer(const Offer &offer, TimePoint now);
    /** An admitted request got its first token: how the cap on outstanding tokens is learnt. */
    void onFirstToken(Ticket ticket, TimePoint now);
    /** The request is over, admitted or still queued; tokens it really took. */
    void onFinished(Ticket ticket, std::int64_t tokens, TimePoint now);
    /** Queue heads that may go, or must be refused now. To be called after each event and then. */
    std::vector<Release> poll(TimePoint now);
    /** When poll() has something to do next, if nothing else happens; in the past: now. */
    std::optional<TimePoint> nextPoll() const;

    /** Whether one more retry fits the budget; counts it when it does. */
    bool takeRetry(TimePoint now);
    void onFirstAttempt(TimePoint now);

    /** From now on every offer is refused as Stopping; the queue is kept. */
    void stop();

    Admission(Admission &&) noexcept;
    Admission &operator=(Admission &&) noexcept;
    ~Admission();

private:
    struct State;
    explicit Admission(std::unique_ptr<State> state) noexcept;
    std::unique_ptr<State> state_;
};

class Admission::Builder
{
public:
    Builder &maxQueued(std::size_t requests);
    Builder &maxRunning(std::size_t requests);
    Admission build();

private:
    std::size_t maxQueued_ = 1'024;
    std::size_t maxRunning_ = 512;
};

} // namespace almondridge::admission
