#include "engine/enginecore.h"

#include <algorithm>
#include <utility>

namespace almondridge::standins {
namespace {

/** How long a load history goes back beyond the lag. */
constexpr Duration HistoryMargin = std::chrono::milliseconds(100);

std::uint64_t hashOf(const std::string &text)
{
    TextHash hash;
    hash.addWord(text);
    return hash.value();
}

/** "id@version" in its two parts. */
std::pair<std::string, std::string> splitAdapter(const std::string &adapter)
{
    const std::size_t at = adapter.find('@');
    if (at == std::string::npos) {
        return {adapter, "1"};
    }
    return {adapter.substr(0, at), adapter.substr(at + 1)};
}

} // namespace

Moment Moment::now()
{
    return {BootClock::now(), almondridge::wallMillis()};
}

EngineCore::EngineCore(EngineSettings settings)
    : settings_(std::move(settings))
    , orders_(settings_.initial_)
    , cache_(settings_.cacheTokens_)
    , batch_(settings_.batchRates(settings_.initial_.role_), cache_)
    , events_(hashOf(settings_.id_))
{
    history_.add(currentLoad(), TimePoint {});
}

void EngineCore::setSettings(const EngineSettings &settings)
{
    settings_ = settings;
    batch_.setRates(settings_.batchRates(orders_.target().role_));
}

SubmitAnswer EngineCore::submit(const GenerationRequest &request, const Moment &now)
{
    ++counters_.asked_;
    if (const auto why = whyRefused(request, now)) {
        ++counters_.refused_;
        return Refusal {*why};
    }
    Stream stream;
    stream.attempt_ =
        request.attempt_.empty() ? "unnamed-" + std::to_string(counters_.asked_) : request.attempt_;
    stream.shape_ = request.shape_;
    stream.prompt_ = request.prompt_.hash_;
    stream.maxTokens_ = request.maxTokens_;
    stream.exportsKv_ = request.exportsKv_;
    const StreamId id = streams_.add(std::move(stream));
    Job job;
    job.id_ = id;
    job.priority_ = request.priority_;
    job.promptTokens_ = static_cast<std::int64_t>(request.prompt_.hash_.words());
    job.maxTokens_ = request.maxTokens_;
    job.prefixHashes_ = request.prompt_.prefixHashes_;
    if (request.deadlineWallMillis_) {
        job.deadline_ = now.at_ + millis(*request.deadlineWallMillis_ - now.wallMillis_);
    }
    job.kvImported_ = request.kvImported_;
    if (request.kvImported_) {
        const double seconds = static_cast<double>(job.promptTokens_)
                               / (settings_.kvTransferTokensPerSecond_ * settings_.timeScale_);
        job.readyAt_ =
            now.at_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        ++counters_.kvImports_;
    } else if (request.kvSource_) {
        ++counters_.kvFallbacks_;
    }
    batch_.add(std::move(job));
    advance(now);
    return id;
}

std::optional<std::string> EngineCore::whyRefused(const GenerationRequest &request,
                                                  const Moment &now) const
{
    if (orders_.phase() != Phase::Ready) {
        return "the engine is " + std::string(nameOf(PhaseNames, orders_.phase()));
    }
    if (!orders_.target().admit_) {
        return "the engine admits no new work";
    }
    if (!serves(request.shape_.model_)) {
        return "the engine does not serve '" + request.shape_.model_ + "'";
    }
    if (request.deadlineWallMillis_ && *request.deadlineWallMillis_ <= now.wallMillis_) {
        return "the deadline has passed";
    }
    if (batch_.load().waiting_ >= settings_.maxWaiting_) {
        return "the queue is full";
    }
    return std::nullopt;
}

bool EngineCore::serves(const std::string &model) const
{
    const Target &target = orders_.target();
    if (model.empty() || model == target.model_) {
        return true;
    }
    return std::any_of(target.adapters_.begin(), target.adapters_.end(), [&](const auto &adapter) {
        return adapter == model || splitAdapter(adapter).first == model;
    });
}

void EngineCore::countRefusal()
{
    ++counters_.asked_;
    ++counters_.refused_;
}

void EngineCore::cancel(const std::string &attempt, const Moment &now)
{
    const std::optional<StreamId> id = streams_.findAttempt(attempt);
    if (id && !isOver(streams_.find(*id)->status_)) {
        abort(*id, StreamStatus::Cancelled, now);
        noteLoad(now);
    }
}

std::optional<StreamId> EngineCore::resume(const std::string &attempt)
{
    const std::optional<StreamId> id = streams_.findAttempt(attempt);
    if (!id) {
        return std::nullopt;
    }
    const StreamStatus status = streams_.find(*id)->status_;
    if (isOver(status) && status != StreamStatus::Done) {
        return std::nullopt;
    }
    ++counters_.resumes_;
    return id;
}

void EngineCore::removeReader(StreamId id, const Moment &now)
{
    streams_.removeReader(id, now.at_ + settings_.scaled(settings_.orphanInMillis_));
}

std::optional<KvExport> EngineCore::takeKv(const std::string &ticket, const Moment &now)
{
    std::optional<KvExport> taken = exports_.take(ticket, now.at_);
    noteLoad(now);
    return taken;
}

OrderAnswer EngineCore::order(const Order &order, const Moment &now)
{
    ++counters_.orders_;
    const OrderEffect effect = orders_.take(order, settings_.checksFence_);
    counters_.staleOrders_ += effect.stale_ ? 1 : 0;
    counters_.busyOrders_ += effect.verdict_ == OrderVerdict::Busy ? 1 : 0;
    orderLog_.push_back({order, now.wallMillis_, effect.verdict_, effect.stale_});
    OrderAnswer answer;
    answer.verdict_ = effect.verdict_;
    if (effect.verdict_ == OrderVerdict::Accepted && effect.change_) {
        beginChange(effect, answer, now);
    }
    noteLoad(now);
    answer.state_ = state();
    return answer;
}

void EngineCore::beginChange(const OrderEffect &effect, OrderAnswer &answer, const Moment &now)
{
    ++counters_.changes_;
    counters_.roleChanges_ += effect.roleChange_ ? 1 : 0;
    abortAll(StreamStatus::Cut, now);
    const Target &target = orders_.target();
    if (effect.loadModel_ && !target.model_.empty()) {
        answer.fetches_.push_back({target.model_, target.version_, settings_.weightBytes_});
    }
    for (const std::string &adapter : effect.loadAdapters_) {
        const auto [name, version] = splitAdapter(adapter);
        answer.fetches_.push_back({name, version, settings_.adapterBytes_});
    }
    // The caches belong to the weights; a change of role alone restarts the engine as well.
    cache_.clear();
    exports_.clear();
    events_.reset();
    batch_.setRates(settings_.batchRates(target.role_));
    answer.change_ = nextChange_++;
    change_ = Change {answer.change_, std::nullopt, std::exchange(settings_.crashInChange_, false)};
    if (change_->crashes_) {
        change_->due_ = now.at_ + settings_.scaled(settings_.changeInMillis_ / 2);
    } else if (answer.fetches_.empty()) {
        change_->due_ = now.at_ + settings_.scaled(settings_.changeInMillis_);
    }
}

void EngineCore::weightsLoaded(std::uint64_t change, const Moment &now)
{
    if (change_ && change_->id_ == change && !change_->due_) {
        change_->due_ = now.at_ + settings_.scaled(settings_.changeInMillis_);
    }
}

void EngineCore::advanceChange(const Moment &now)
{
    if (!change_ || !change_->due_ || *change_->due_ > now.at_) {
        return;
    }
    if (change_->crashes_) {
        loseState(true, now);
        return;
    }
    change_.reset();
    orders_.finishChange();
}

void EngineCore::crash(bool unclear, const Moment &now)
{
    loseState(unclear, now);
    noteLoad(now);
}

void EngineCore::loseState(bool unclear, const Moment &now)
{
    ++counters_.crashes_;
    abortAll(StreamStatus::Lost, now);
    streams_.clear();
    change_.reset();
    cache_.clear();
    exports_.clear();
    events_.reset();
    history_.clear();
    if (unclear) {
        orders_.crashUnclear();
    } else {
        orders_.crash();
    }
    batch_.setRates(settings_.batchRates(orders_.target().role_));
}

std::optional<TimePoint> EngineCore::nextDue() const
{
    std::optional<TimePoint> due = batch_.nextDue();
    if (change_ && change_->due_) {
        due = std::min(due.value_or(*change_->due_), *change_->due_);
    }
    return due;
}

void EngineCore::advance(const Moment &now)
{
    advanceChange(now);
    for (const StreamId id : streams_.takeOrphans(now.at_)) {
        abort(id, StreamStatus::Cancelled, now);
    }
    streams_.expire(now.at_);
    exports_.expire(now.at_);
    const StepOutcome outcome = batch_.advance(now.at_);
    counters_.prefillTokens_ += outcome.prefillTokens_;
    for (const StreamId id : outcome.tokens_) {
        ++streams_.find(id)->produced_;
    }
    counters_.producedTokens_ += static_cast<std::int64_t>(outcome.tokens_.size());
    for (const StreamId id : outcome.finished_) {
        finish(id, StreamStatus::Done, now);
    }
    for (const StreamId id : outcome.dropped_) {
        finish(id, StreamStatus::Dropped, now);
    }
    for (const StreamId id : outcome.started_) {
        start(id);
    }
    publishCacheChanges(now);
    noteLoad(now);
}

void EngineCore::start(StreamId id)
{
    Stream *const stream = streams_.find(id);
    stream->status_ = StreamStatus::Running;
    ++runs_[stream->attempt_].runs_;
    if (const auto progress = batch_.progress(id)) {
        stream->cachedTokens_ = progress->cachedTokens_;
        counters_.cachedTokens_ += progress->cachedTokens_;
    }
}

void EngineCore::finish(StreamId id, StreamStatus status, const Moment &now)
{
    Stream *const stream = streams_.find(id);
    const bool neverRan = stream->status_ == StreamStatus::Waiting;
    if (status == StreamStatus::Dropped) {
        ++counters_.droppedLate_;
    }
    if (!neverRan) {
        RunRecord &run = runs_[stream->attempt_];
        run.producedTokens_ += stream->produced_;
        if (status != StreamStatus::Done) {
            run.wastedTokens_ += stream->produced_;
            counters_.wastedTokens_ += stream->produced_;
        }
    }
    if (status == StreamStatus::Done && stream->exportsKv_) {
        const auto tokens = static_cast<std::int64_t>(stream->prompt_.words());
        stream->kvTicket_ =
            exports_.add({stream->prompt_.value(), tokens,
                          now.at_ + settings_.scaled(settings_.keepStreamsInMillis_)});
        ++counters_.kvExports_;
    }
    // A crash leaves nobody to say that a waiting request did not run.
    const bool notRun = neverRan && status != StreamStatus::Lost;
    streams_.finish(id, notRun ? StreamStatus::NotRun : status,
                    now.at_ + settings_.scaled(settings_.keepStreamsInMillis_));
}

void EngineCore::abort(StreamId id, StreamStatus status, const Moment &now)
{
    batch_.remove(id);
    counters_.cancelled_ += status == StreamStatus::Cancelled ? 1 : 0;
    counters_.cutByChange_ += status == StreamStatus::Cut ? 1 : 0;
    counters_.lostInCrash_ += status == StreamStatus::Lost ? 1 : 0;
    finish(id, status, now);
}

void EngineCore::abortAll(StreamStatus status, const Moment &now)
{
    for (const StreamId id : streams_.unfinished()) {
        abort(id, status, now);
    }
    batch_.clear();
}

void EngineCore::publishCacheChanges(const Moment &now)
{
    for (const CacheChange &change : cache_.takeChanges()) {
        events_.add(change, settings_.eventLoss_, now.at_, now.wallMillis_);
    }
}

LoadReport EngineCore::currentLoad() const
{
    LoadReport report;
    report.load_ = batch_.load();
    report.load_.kvUsedTokens_ += exports_.heldTokens();
    report.role_ = orders_.target().role_;
    report.admits_ = orders_.phase() == Phase::Ready && orders_.target().admit_;
    report.prefillTokensPerSecond_ = batch_.rates().prefillTokensPerSecond_;
    const int decoding = std::max(report.load_.running_, 1);
    report.decodeTokensPerSecond_ = 1 / toSeconds(batch_.stepTime(0, decoding));
    return report;
}

void EngineCore::noteLoad(const Moment &now)
{
    history_.add(currentLoad(), now.at_);
    history_.forgetBefore(now.at_ - settings_.scaled(settings_.reportLagInMillis_) - HistoryMargin);
}

LoadReport EngineCore::load(const Moment &now)
{
    if (settings_.reportLagInMillis_ <= 0) {
        return currentLoad();
    }
    return history_.at(now.at_ - settings_.scaled(settings_.reportLagInMillis_));
}

CacheEventPage EngineCore::cacheEvents(std::uint64_t since, const Moment &now) const
{
    return events_.read(since, now.at_ - settings_.scaled(settings_.eventLagInMillis_));
}

EngineState EngineCore::state() const
{
    EngineState state;
    state.target_ = orders_.target();
    state.phase_ = orders_.phase();
    const BatchLoad load = batch_.load();
    state.running_ = load.running_ + load.waiting_ + streams_.beingDelivered();
    state.fence_ = orders_.fence();
    state.sequence_ = orders_.sequence();
    return state;
}

} // namespace almondridge::standins
