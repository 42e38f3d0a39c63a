#include "run.h"

namespace almondridge::mix {
namespace {

constexpr double ReportSeconds = 0.25;
constexpr double ControlSeconds = 1;
constexpr double UsualLagSeconds = 0.25;
constexpr double LateLagSeconds = 5;

/** A role change takes an engine away for this long. */
constexpr double AwaySeconds = 5;

/** Moving a stream's KV cache from one engine to another. */
constexpr double TransferBaseSeconds = 0.005;
constexpr double TransferTokenSeconds = 0.000003;

/** A stream that found no place tries again after this. */
constexpr double RetrySeconds = 0.2;

/** An engine with this many waiting refuses more as not run. */
constexpr int MaxWaiting = 128;

} // namespace

Run::Run(RunParts parts)
    : parts_(std::move(parts))
    , world_(*parts_.world_)
{ }

Measures Run::measure()
{
    using Handler = void (Run::*)(const Event &);
    static constexpr std::array<Handler, EventKinds> Handlers {
        &Run::onArrival, &Run::onStepEnd,    &Run::onLanding,     &Run::onDeadline,
        &Run::onBack,    &Run::onReportTick, &Run::onControlTick, &Run::onPhaseStart};
    live_.resize(trace().requests_.size());
    demand_.resize(world_.day_->domains_);
    dayEnd_ = atSeconds(trace().seconds_);
    for (std::size_t phase = 0; phase < trace().phaseStarts_.size(); ++phase) {
        schedule(atSeconds(trace().phaseStarts_[phase]), EventKind::PhaseStart, phase);
    }
    schedule(TimePoint {}, EventKind::ReportTick, 0);
    schedule(atSeconds(ControlSeconds), EventKind::ControlTick, 0);
    schedule(trace().requests_.front().arrival_, EventKind::Arrival, 0);
    while (!events_.empty()) {
        const Event event = events_.top();
        events_.pop();
        now_ = event.at_;
        (this->*Handlers[static_cast<std::size_t>(event.kind_)])(event);
    }
    measures_.seconds_ = trace().seconds_;
    measures_.requests_ = trace().requests_.size();
    return std::move(measures_);
}

void Run::schedule(TimePoint at, EventKind kind, std::uint32_t subject, std::uint32_t generation)
{
    events_.push({at, order_++, kind, subject, generation});
}

void Run::onArrival(const Event &event)
{
    const RequestIndex index = event.subject_;
    const Request &request = trace().requests_[index];
    if (index + 1 < trace().requests_.size()) {
        schedule(trace().requests_[index + 1].arrival_, EventKind::Arrival, index + 1);
    }
    schedule(request.deadline_, EventKind::Deadline, index);
    const Query query = queryOf(index, false);
    planner::RoleRates &demand = demand_[world_.domainOfEntry(request.entry_)];
    demand.prefill_ += query.promptTokens_;
    demand.decode_ += query.outputTokens_;
    TimeSlot &slot = measures_.slotAt(secondsAt(now_));
    slot.prefillWork_ += query.promptTokens_ / busyRates(fleet::EngineRole::Prefill).prefill_;
    slot.decodeWork_ += query.outputTokens_ / busyRates(fleet::EngineRole::Decode).decode_;
    const Admit admit = parts_.dispatcher_->admit(query, now_);
    if (admit == Admit::Now) {
        dispatch(index);
    } else if (admit == Admit::Wait) {
        live_[index].stage_ = Stage::Waiting;
    } else {
        refuse(index);
    }
}

Query Run::queryOf(RequestIndex index, bool prefilled) const
{
    const Request &request = trace().requests_[index];
    return {index, request.entry_, prefilled ? 0 : request.promptTokens_,
            shapeOf(request.class_).outputTokens_, request.deadline_};
}

void Run::dispatch(RequestIndex index)
{
    const Query query = queryOf(index, false);
    const std::optional<Target> target = parts_.dispatcher_->choose(query, now_);
    const int first = target ? target->prefill_.value_or(target->decode_) : -1;
    if (first < 0 || !world_.engines_[first].serving()
        || world_.engines_[first].engine_.waiting() >= MaxWaiting) {
        refuse(index);
        return;
    }
    Live &live = live_[index];
    live.stage_ = Stage::Prefilling;
    live.engine_ = first;
    live.decodeAt_ = target->decode_;
    parts_.dispatcher_->onDispatched(query, *target, now_);
    world_.engines_[first].engine_.addPrefill(index, query.promptTokens_);
    kick(world_.engines_[first]);
}

void Run::refuse(RequestIndex index)
{
    ++measures_.refused_;
    live_[index].stage_ = Stage::Done;
    measures_.wastedTokens_ += live_[index].processed_;
    parts_.dispatcher_->onFinished(index, true, now_);
}

void Run::kick(EngineSlot &slot)
{
    if (slot.serving() && !slot.engine_.stepping() && slot.engine_.hasWork()) {
        const double seconds = slot.engine_.beginStep();
        schedule(now_ + spanOf(seconds), EventKind::StepEnd, slot.index_, slot.generation_);
    }
}

void Run::onStepEnd(const Event &event)
{
    EngineSlot &slot = world_.engines_[event.subject_];
    if (event.generation_ != slot.generation_) {
        return;
    }
    const StepOutcome outcome = slot.engine_.endStep();
    measures_.interToken_.add(outcome.seconds_, outcome.batch_);
    for (const RequestIndex index : outcome.firstTokens_) {
        firstToken(index);
    }
    for (const RequestIndex index : outcome.finished_) {
        live_[index].processed_ += trace().requests_[index].outputTokens_;
        end(index, true);
    }
    for (const RequestIndex index : outcome.prefilled_) {
        const Request &request = trace().requests_[index];
        live_[index].processed_ += request.promptTokens_;
        if (live_[index].decodeAt_ != slot.index_) {
            parts_.dispatcher_->onPrefilled(index, now_);
            travel(index, request.outputTokens_);
            continue;
        }
        firstToken(index);
        live_[index].stage_ = Stage::Decoding;
        slot.engine_.addDecode(index, request.outputTokens_);
    }
    kick(slot);
}

void Run::travel(RequestIndex index, int tokens)
{
    Live &live = live_[index];
    const double context = trace().requests_[index].promptTokens_;
    live.stage_ = Stage::Travelling;
    live.tokensLeft_ = tokens;
    live.leftAt_ = now_;
    schedule(now_ + spanOf(TransferBaseSeconds + TransferTokenSeconds * context),
             EventKind::Landing, index, ++live.generation_);
}

void Run::onLanding(const Event &event)
{
    const RequestIndex index = event.subject_;
    Live &live = live_[index];
    if (live.stage_ != Stage::Travelling || event.generation_ != live.generation_) {
        return;
    }
    if (live.decodeAt_ < 0 || !world_.engines_[live.decodeAt_].serving()) {
        const Query query = queryOf(index, true);
        const auto target = parts_.dispatcher_->choose(query, now_);
        live.decodeAt_ = target ? target->decode_ : -1;
        if (target) {
            parts_.dispatcher_->onDispatched(query, *target, now_);
        }
    }
    if (live.decodeAt_ < 0 || !world_.engines_[live.decodeAt_].serving()) {
        schedule(now_ + spanOf(RetrySeconds), EventKind::Landing, index, live.generation_);
        return;
    }
    if (live.firstToken_) {
        measures_.interToken_.add(toSeconds(now_ - live.leftAt_));
    }
    live.stage_ = Stage::Decoding;
    live.engine_ = live.decodeAt_;
    EngineSlot &slot = world_.engines_[live.engine_];
    slot.engine_.addDecode(index, live.tokensLeft_);
    kick(slot);
}

void Run::firstToken(RequestIndex index)
{
    Live &live = live_[index];
    if (!live.firstToken_) {
        live.firstToken_ = now_;
        measures_.firstToken_.add(toSeconds(now_ - trace().requests_[index].arrival_));
        parts_.dispatcher_->onFirstToken(index, now_);
    }
}

void Run::end(RequestIndex index, bool useful)
{
    live_[index].stage_ = Stage::Done;
    if (useful) {
        ++measures_.useful_;
        measures_.slotAt(secondsAt(now_)).useful_ += 1;
    } else {
        ++measures_.late_;
        measures_.wastedTokens_ += live_[index].processed_;
    }
    parts_.dispatcher_->onFinished(index, useful, now_);
}

void Run::onDeadline(const Event &event)
{
    const RequestIndex index = event.subject_;
    Live &live = live_[index];
    if (live.stage_ == Stage::Done) {
        return;
    }
    if (live.stage_ == Stage::Prefilling || live.stage_ == Stage::Decoding) {
        EngineSlot &slot = world_.engines_[live.engine_];
        const auto part = slot.engine_.remove(index);
        const Request &request = trace().requests_[index];
        const int whole = part && part->prefill_ ? request.promptTokens_ : request.outputTokens_;
        live.processed_ += part ? whole - part->tokens_ : 0;
    }
    end(index, false);
}

void Run::vacate(EngineSlot &slot)
{
    ++slot.generation_;
    for (const WorkPart &part : slot.engine_.drain()) {
        Live &live = live_[part.request_];
        parts_.dispatcher_->onTakenBack(part.request_, now_);
        if (part.prefill_) {
            measures_.wastedTokens_ +=
                trace().requests_[part.request_].promptTokens_ - part.tokens_;
            dispatch(part.request_);
            continue;
        }
        ++measures_.moved_;
        live.decodeAt_ = -1;
        travel(part.request_, part.tokens_);
    }
}

void Run::changeRole(EngineSlot &slot, fleet::EngineRole to, const std::string &reason)
{
    measures_.changes_.push_back({secondsAt(now_), slot.index_, slot.engine_.role(), to, reason});
    slot.engine_.setRole(to);
    slot.state_ = EngineState::Changing;
    slot.lastChange_ = now_;
    parts_.dispatcher_->onServing(slot.index_, false, now_);
    vacate(slot);
    schedule(now_ + spanOf(AwaySeconds), EventKind::Back, slot.index_, slot.generation_);
}

void Run::onBack(const Event &event)
{
    EngineSlot &slot = world_.engines_[event.subject_];
    if (event.generation_ == slot.generation_ && slot.state_ == EngineState::Changing) {
        slot.state_ = EngineState::Serving;
        parts_.dispatcher_->onServing(slot.index_, true, now_);
    }
}

void Run::setWithdrawn(EngineSlot &slot, bool withdrawn)
{
    if (withdrawn == (slot.state_ == EngineState::Withdrawn)) {
        return;
    }
    slot.state_ = withdrawn ? EngineState::Withdrawn : EngineState::Serving;
    parts_.dispatcher_->onServing(slot.index_, !withdrawn, now_);
    if (withdrawn) {
        vacate(slot);
    }
}

void Run::applyFaults()
{
    const Fault fault = parts_.scenario_.fault_;
    if (fault == Fault::Withdrawn) {
        for (EngineSlot &slot : world_.engines_) {
            setWithdrawn(slot, isWithdrawn(slot.index_) && WithdrawnFor.holds(share()));
        }
    }
    world_.cut_[CutDomain] = fault == Fault::DomainCut && CutFor.holds(share());
}

bool Run::frozen(int domain) const
{
    // Without the log no lease is renewed, and without a lease no engine gets an order.
    return world_.cut_[domain]
           || (parts_.scenario_.fault_ == Fault::LogOut && LogOutFor.holds(share()));
}

void Run::onReportTick(const Event &)
{
    applyFaults();
    deliverReports();
    pollWaiting();
    parts_.dispatcher_->onTick(now_);
    if (now_ < dayEnd_) {
        schedule(now_ + spanOf(ReportSeconds), EventKind::ReportTick, 0);
    }
}

void Run::deliverReports()
{
    const bool late = parts_.scenario_.fault_ == Fault::LateReports;
    const TimePoint known = now_ - spanOf(late ? LateLagSeconds : UsualLagSeconds);
    for (EngineSlot &slot : world_.engines_) {
        slot.reports_.push_back(slot.engine_.report(now_));
        while (slot.reports_.size() > 1 && slot.reports_[1].stamp_ <= known) {
            slot.reports_.pop_front();
        }
        if (!slot.serving() || slot.reports_.front().stamp_ > known) {
            continue;
        }
        const int entries = world_.day_->entriesPerDomain_;
        for (int entry = slot.domain_ * entries; entry < (slot.domain_ + 1) * entries; ++entry) {
            parts_.dispatcher_->onReport(entry, slot.index_, slot.reports_.front(), now_);
        }
    }
}

void Run::pollWaiting()
{
    for (const auto &[index, admit] : parts_.dispatcher_->poll(now_)) {
        if (live_[index].stage_ == Stage::Waiting) {
            admit == Admit::Now ? dispatch(index) : refuse(index);
        }
    }
}

void Run::onControlTick(const Event &)
{
    for (int domain = 0; domain < world_.day_->domains_; ++domain) {
        controlDomain(domain);
    }
    markSlot();
    if (now_ < dayEnd_) {
        schedule(now_ + spanOf(ControlSeconds), EventKind::ControlTick, 0);
    }
}

void Run::controlDomain(int domain)
{
    parts_.control_->onDemand(domain, demand_[domain], now_);
    demand_[domain] = {};
    if (frozen(domain)) {
        return;
    }
    std::vector<EngineSight> engines;
    for (const EngineSlot &slot : world_.engines_) {
        if (slot.domain_ == domain) {
            engines.push_back({slot.index_, slot.engine_.role(), slot.serving(), slot.lastChange_,
                               slot.reports_.front()});
        }
    }
    for (const RoleOrder &order : parts_.control_->decide(domain, engines, now_)) {
        changeRole(world_.engines_[order.engine_], order.to_, order.reason_);
    }
}

void Run::onPhaseStart(const Event &event)
{
    const std::vector<fleet::EngineRole> roles = parts_.control_->onPhase(event.subject_);
    if (roles.empty()) {
        return;
    }
    for (EngineSlot &slot : world_.engines_) {
        const fleet::EngineRole to = roles[slot.index_ % world_.day_->enginesPerDomain_];
        if (slot.engine_.role() != to) {
            slot.engine_.setRole(to);
            vacate(slot);
        }
    }
}

void Run::markSlot()
{
    TimeSlot &slot = measures_.slotAt(secondsAt(now_));
    slot.engines_ = {};
    for (const EngineSlot &engine : world_.engines_) {
        if (engine.serving()) {
            slot.engines_[static_cast<std::size_t>(engine.engine_.role())] += 1;
        }
    }
}

} // namespace almondridge::mix
