#include "almondridge/admission/admission.h"

#include "modelqueue.h"
#include "retrybudget.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <map>
#include <unordered_map>

namespace almondridge::admission {
namespace {

/** A first token later than this multiple of the target indicates overload. */
constexpr int LateFirstTokenFactor = 2;
/** Bounds of the delay after which a refused client should retry. */
constexpr Duration MinRetryDelay = millis(50);
constexpr Duration MaxRetryDelay = millis(60'000);
/** Used if the token rate is unknown or not the reason of the refusal. */
constexpr Duration DefaultRetryDelay = millis(1'000);
/** Each priority step doubles the account's weight; more steps would starve other accounts. */
constexpr int MaxPrioritySteps = 3;
constexpr double MinShare = 1e-3;

TimePoint noDeadline()
{
    return TimePoint::max();
}

TimePoint orNoDeadline(TimePoint deadline)
{
    return deadline == TimePoint {} ? noDeadline() : deadline;
}

/** A queued or running request. */
struct TrackedRequest
{
    ModelId model_;
    AccountId account_;
    double weight_ = 1;
    std::int64_t tokens_ = 0;
    bool queued_ = false;
    bool firstTokenSeen_ = false;
    TimePoint admittedAt_ {}; ///< While queued: when it was offered.
};

} // namespace

struct Admission::State
{
    std::shared_ptr<const fleet::Fleet> fleet_;
    std::map<ModelId, ModelQueue> models_;
    std::unordered_map<Ticket, TrackedRequest> requests_;
    RetryBudget retries_;
    std::vector<Release> evicted_; ///< Evicted for accounts below their share; returned by poll().
    std::size_t maxQueued_ = 0;
    std::size_t maxRunning_ = 0;
    std::size_t queued_ = 0;
    std::size_t running_ = 0;
    Ticket lastTicket_ = 0;
    Duration lateThreshold_ = millis(640);
    bool stopping_ = false;

    /** Whether the model is configured. Service calls have no model and share one queue. */
    bool serves(const ModelId &model) const
    {
        return model.empty() || fleet_ == nullptr || fleet_->models_.contains(model);
    }
    double weightOf(const Offer &offer) const;
    bool canStart(const ModelQueue &model, std::int64_t tokens) const;
    Decision admit(const Offer &offer, ModelQueue &model, TimePoint now);
    Decision enqueue(const Offer &offer, ModelQueue &model, TimePoint latestFirstToken,
                     TimePoint now);
    Decision refuse(RefusalReason reason, Duration wait, TimePoint now, std::string why) const;
    Decision refuseLate(const ModelQueue &model, Duration wait, TimePoint latestFirstToken,
                        TimePoint now) const;
    std::optional<Decision> makeQueueSpace(const Offer &offer, ModelQueue &model, TimePoint now);
    Ticket addTicket(const Offer &offer, bool queued, TimePoint now);
    void startQueued(ModelQueue &model, std::vector<Release> &releases, TimePoint now);
    void refuseExpired(ModelQueue &model, std::vector<Release> &releases, TimePoint now);
    void removeQueued(ModelQueue &model, Ticket ticket);
};

double Admission::State::weightOf(const Offer &offer) const
{
    double share = 1;
    if (fleet_ != nullptr) {
        const auto account = fleet_->accounts_.find(offer.account_);
        share = account == fleet_->accounts_.end() ? 1.0 : account->second.share_;
    }
    const int steps = std::clamp(offer.priority_, -MaxPrioritySteps, MaxPrioritySteps);
    return std::max(share, MinShare) * std::exp2(steps);
}

bool Admission::State::canStart(const ModelQueue &model, std::int64_t tokens) const
{
    return running_ < maxRunning_ && model.window_.fits(tokens);
}

Decision Admission::State::refuse(RefusalReason reason, Duration wait, TimePoint now,
                                  std::string why) const
{
    const Duration delay = wait == Duration {} ? DefaultRetryDelay : wait;
    const TimePoint retryAt = now + std::clamp(delay, MinRetryDelay, MaxRetryDelay);
    return {Answer::Refuse, 0, reason, retryAt,
            fmt::format("rule={} come_back_ms={} {}", nameOf(RefusalReasonNames, reason),
                        toMillis(retryAt - now), why)};
}

/** Refuses a request that would be served too late, with a retry after the excess wait. */
Decision Admission::State::refuseLate(const ModelQueue &model, Duration wait,
                                      TimePoint latestFirstToken, TimePoint now) const
{
    const Duration excess = std::max(now + wait - std::max(latestFirstToken, now), MinRetryDelay);
    return refuse(RefusalReason::DeadlineCannotBeMet, excess, now,
                  fmt::format("estimate_ms={} budget_ms={} queued_tokens={} outstanding_tokens={}",
                              toMillis(wait), millisUntil(latestFirstToken, now),
                              model.queue_.tokens(), model.window_.outstanding()));
}

/** Evicts a request if the queue is full. Returns a refusal if the account may not queue more. */
std::optional<Decision> Admission::State::makeQueueSpace(const Offer &offer, ModelQueue &model,
                                                         TimePoint now)
{
    const double weight = weightOf(offer);
    const double share = model.queue_.shareOf(offer.account_, weight);
    const auto ownQueued = static_cast<double>(model.queue_.sizeOf(offer.account_));
    const bool exceedsShare = ownQueued >= std::max(share * static_cast<double>(maxQueued_), 1.0);
    if (exceedsShare && model.queue_.hasOtherAccounts(offer.account_)) {
        const Duration drainTime =
            model.timeFor(model.queue_.tokensAhead(offer.account_, weight), now);
        return refuse(RefusalReason::ShareExhausted, drainTime, now,
                      fmt::format("share={:.3f} queued={}", share, ownQueued));
    }
    if (queued_ < maxQueued_) {
        return std::nullopt;
    }
    if (exceedsShare || model.queue_.empty()) {
        return refuse(RefusalReason::QueueFull,
                      model.timeFor(static_cast<double>(model.queue_.tokens()), now), now,
                      fmt::format("queued={}", queued_));
    }
    const Ticket evicted = model.queue_.evictionCandidate();
    const Duration drainTime = model.timeFor(static_cast<double>(model.queue_.tokens()), now);
    removeQueued(model, evicted);
    evicted_.push_back({evicted, refuse(RefusalReason::ShareExhausted, drainTime, now,
                                        "made_way_for=" + offer.account_.value())});
    return std::nullopt;
}

Ticket Admission::State::addTicket(const Offer &offer, bool queued, TimePoint now)
{
    const Ticket ticket = ++lastTicket_;
    requests_[ticket] = {
        offer.model_, offer.account_, weightOf(offer), offer.tokens_, queued, false, now};
    return ticket;
}

Decision Admission::State::admit(const Offer &offer, ModelQueue &model, TimePoint now)
{
    const Ticket ticket = addTicket(offer, false, now);
    model.queue_.charge(offer.account_, weightOf(offer), offer.tokens_);
    model.window_.onAdmitted(offer.tokens_);
    ++running_;
    return {Answer::Admit,
            ticket,
            RefusalReason::None,
            {},
            fmt::format("rule=room outstanding_tokens={} cap_tokens={}",
                        model.window_.outstanding(), model.window_.limit())};
}

Decision Admission::State::enqueue(const Offer &offer, ModelQueue &model,
                                   TimePoint latestFirstToken, TimePoint now)
{
    const Ticket ticket = addTicket(offer, true, now);
    model.queue_.push({ticket, offer.account_, weightOf(offer), offer.tokens_, latestFirstToken});
    ++queued_;
    return {
        Answer::Queue,
        ticket,
        RefusalReason::None,
        {},
        fmt::format("rule=fair-queue queued={} queued_tokens={}", queued_, model.queue_.tokens())};
}

void Admission::State::removeQueued(ModelQueue &model, Ticket ticket)
{
    model.queue_.remove(ticket);
    requests_.erase(ticket);
    --queued_;
}

void Admission::State::refuseExpired(ModelQueue &model, std::vector<Release> &releases,
                                     TimePoint now)
{
    const Duration wait = model.firstTokenWait(now);
    for (const QueuedRequest *next = model.queue_.mostUrgent();
         next != nullptr && next->latestFirstToken_ < now + wait;
         next = model.queue_.mostUrgent()) {
        const Ticket ticket = next->ticket_;
        releases.push_back({ticket, refuseLate(model, wait, next->latestFirstToken_, now)});
        removeQueued(model, ticket);
    }
}

void Admission::State::startQueued(ModelQueue &model, std::vector<Release> &releases, TimePoint now)
{
    for (const QueuedRequest *next = model.queue_.head();
         next != nullptr && canStart(model, next->tokens_); next = model.queue_.head()) {
        const QueuedRequest request = model.queue_.popHead();
        --queued_;
        ++running_;
        model.window_.onAdmitted(request.tokens_);
        TrackedRequest &tracked = requests_[request.ticket_];
        const std::int64_t waited = toMillis(now - tracked.admittedAt_);
        tracked.queued_ = false;
        tracked.admittedAt_ = now;
        releases.push_back({request.ticket_,
                            {Answer::Admit,
                             request.ticket_,
                             RefusalReason::None,
                             {},
                             fmt::format("rule=turn-came waited_ms={}", waited)}});
    }
}

void Admission::setFleet(std::shared_ptr<const fleet::Fleet> fleet)
{
    state_->retries_.setShare(fleet->policy_.retryBudget_);
    state_->lateThreshold_ = millis(fleet->policy_.firstTokenMillis_ * LateFirstTokenFactor);
    state_->fleet_ = std::move(fleet);
    std::erase_if(state_->models_, [&](const auto &entry) {
        const ModelQueue &model = entry.second;
        return !state_->serves(entry.first) && model.queue_.empty()
               && model.window_.outstanding() == 0;
    });
}

void Admission::onCapacity(const ModelId &model, Duration firstTokenWait, double tokensPerSecond,
                           double spareShare, TimePoint now)
{
    state_->models_[model].onCapacity(firstTokenWait, tokensPerSecond, spareShare, now);
}

Decision Admission::offer(const Offer &offer, TimePoint now)
{
    if (state_->stopping_) {
        return state_->refuse(RefusalReason::Stopping, DefaultRetryDelay, now, "");
    }
    if (!state_->serves(offer.model_)) {
        return state_->refuse(RefusalReason::NoCapacity, DefaultRetryDelay, now, "model=unknown");
    }
    ModelQueue &model = state_->models_[offer.model_];
    if (model.hasNoCapacity(now)) {
        return state_->refuse(RefusalReason::NoCapacity, DefaultRetryDelay, now, "");
    }
    const Duration wait = model.firstTokenWait(now);
    const auto tokens = static_cast<double>(offer.tokens_);
    const TimePoint deadline = orNoDeadline(offer.deadline_);
    const TimePoint latestFirstToken =
        std::min(orNoDeadline(offer.firstTokenDeadline_),
                 deadline == noDeadline() ? deadline : deadline - model.timeFor(tokens, now));
    if (latestFirstToken < now + wait) {
        return state_->refuseLate(model, wait, latestFirstToken, now);
    }
    if (model.queue_.empty() && state_->canStart(model, offer.tokens_)) {
        return state_->admit(offer, model, now);
    }
    const double ahead = model.queue_.tokensAhead(offer.account_, state_->weightOf(offer));
    const Duration queueWait = wait + model.timeFor(ahead, now);
    if (latestFirstToken < now + queueWait) {
        return state_->refuseLate(model, queueWait, latestFirstToken, now);
    }
    if (std::optional<Decision> refusal = state_->makeQueueSpace(offer, model, now)) {
        return *refusal;
    }
    return state_->enqueue(offer, model, latestFirstToken, now);
}

void Admission::onFirstToken(Ticket ticket, TimePoint now)
{
    const auto found = state_->requests_.find(ticket);
    if (found == state_->requests_.end() || found->second.queued_
        || found->second.firstTokenSeen_) {
        return;
    }
    TrackedRequest &tracked = found->second;
    tracked.firstTokenSeen_ = true;
    const bool late = now - tracked.admittedAt_ > state_->lateThreshold_;
    state_->models_[tracked.model_].window_.onFirstToken(tracked.tokens_, late, tracked.admittedAt_,
                                                         now);
}

void Admission::onFinished(Ticket ticket, std::int64_t tokens, TimePoint now)
{
    const auto found = state_->requests_.find(ticket);
    if (found == state_->requests_.end()) {
        return;
    }
    const TrackedRequest tracked = found->second;
    ModelQueue &model = state_->models_[tracked.model_];
    if (tracked.queued_) {
        state_->removeQueued(model, ticket);
        return;
    }
    state_->requests_.erase(found);
    --state_->running_;
    model.window_.onFinished(tracked.tokens_);
    model.queue_.adjust(tracked.account_, tracked.weight_, tokens - tracked.tokens_);
    model.onFinished(tokens, now);
}

std::vector<Release> Admission::poll(TimePoint now)
{
    std::vector<Release> releases = std::move(state_->evicted_);
    state_->evicted_.clear();
    for (auto &[id, model] : state_->models_) {
        state_->refuseExpired(model, releases, now);
        state_->startQueued(model, releases, now);
    }
    return releases;
}

std::optional<TimePoint> Admission::nextPoll() const
{
    if (!state_->evicted_.empty()) {
        return TimePoint {};
    }
    std::optional<TimePoint> next;
    for (const auto &[id, model] : state_->models_) {
        const QueuedRequest *urgent = model.queue_.mostUrgent();
        if (urgent == nullptr) {
            continue;
        }
        if (state_->canStart(model, model.queue_.head()->tokens_)) {
            return TimePoint {};
        }
        if (const auto due = model.refusalTime(urgent->latestFirstToken_)) {
            next = next ? std::min(*next, *due) : due;
        }
    }
    return next;
}

bool Admission::takeRetry(TimePoint now)
{
    return state_->retries_.tryTake(now);
}

void Admission::onFirstAttempt(TimePoint now)
{
    state_->retries_.onFirstAttempt(now);
}

void Admission::stop()
{
    state_->stopping_ = true;
}

Admission::Admission(std::unique_ptr<State> state) noexcept
    : state_(std::move(state))
{ }
Admission::Admission(Admission &&) noexcept = default;
Admission &Admission::operator=(Admission &&) noexcept = default;
Admission::~Admission() = default;

Admission::Builder &Admission::Builder::maxQueued(std::size_t requests)
{
    maxQueued_ = requests;
    return *this;
}

Admission::Builder &Admission::Builder::maxRunning(std::size_t requests)
{
    maxRunning_ = requests;
    return *this;
}

Admission Admission::Builder::build()
{
    auto state = std::make_unique<State>();
    state->maxQueued_ = maxQueued_;
    state->maxRunning_ = maxRunning_;
    return Admission(std::move(state));
}

} // namespace almondridge::admission
