#include "engine.h"

#include <algorithm>
#include <array>

namespace almondridge::mix {
namespace {

constexpr double DecodeBaseSeconds = 0.012;
constexpr double DecodeStreamSeconds = 0.0002;
constexpr double ChunkBaseSeconds = 0.006;
constexpr double ChunkTokenSeconds = 0.00005;

/** Weight of the newest step in the rates that an engine reports. */
constexpr double RateWeight = 0.05;

/** By role: Prefill, Decode, Mixed. */
constexpr std::array<RoleLimits, 3> Limits {{{4, 2'048}, {64, 64}, {40, 384}}};

template <typename Parts>
std::optional<WorkPart> takeOut(Parts &parts, RequestIndex request)
{
    const auto found = std::find_if(parts.begin(), parts.end(),
                                    [&](const WorkPart &part) { return part.request_ == request; });
    if (found == parts.end()) {
        return std::nullopt;
    }
    const WorkPart part = *found;
    parts.erase(found);
    return part;
}

} // namespace

RoleLimits limitsOf(fleet::EngineRole role)
{
    return Limits[static_cast<std::size_t>(role)];
}

double stepSeconds(int batch, int chunkTokens)
{
    const double decode = batch > 0 ? DecodeBaseSeconds + DecodeStreamSeconds * batch : 0;
    const double chunk = chunkTokens > 0 ? ChunkBaseSeconds + ChunkTokenSeconds * chunkTokens : 0;
    return decode + chunk;
}

planner::RoleRates busyRates(fleet::EngineRole role)
{
    const RoleLimits limits = limitsOf(role);
    // A dedicated engine is busy with its own kind; what little it does of the other is measured
    // beside that.
    if (role == fleet::EngineRole::Prefill) {
        return {limits.chunkTokens_ / stepSeconds(0, limits.chunkTokens_), 0};
    }
    if (role == fleet::EngineRole::Decode) {
        return {0, limits.batch_ / stepSeconds(limits.batch_, 0)};
    }
    const double step = stepSeconds(limits.batch_, limits.chunkTokens_);
    return {limits.chunkTokens_ / step, limits.batch_ / step};
}

void Engine::addPrefill(RequestIndex request, int tokens)
{
    prefill_.push_back({request, tokens, true, false});
    prefillTokens_ += tokens;
}

void Engine::addDecode(RequestIndex request, int tokens)
{
    waitingDecode_.push_back({request, tokens, false, false});
}

std::optional<WorkPart> Engine::remove(RequestIndex request)
{
    if (auto part = takeOut(prefill_, request)) {
        prefillTokens_ -= part->tokens_;
        return part;
    }
    if (auto part = takeOut(waitingDecode_, request)) {
        return part;
    }
    return takeOut(running_, request);
}

std::vector<WorkPart> Engine::drain()
{
    std::vector<WorkPart> all = std::move(running_);
    all.insert(all.end(), waitingDecode_.begin(), waitingDecode_.end());
    all.insert(all.end(), prefill_.begin(), prefill_.end());
    running_.clear();
    waitingDecode_.clear();
    prefill_.clear();
    prefillTokens_ = 0;
    stepping_ = false;
    return all;
}

bool Engine::hasWork() const noexcept
{
    return !prefill_.empty() || !waitingDecode_.empty() || !running_.empty();
}

int Engine::waiting() const noexcept
{
    return static_cast<int>(prefill_.size() + waitingDecode_.size());
}

void Engine::fillBatch()
{
    const auto room = static_cast<std::size_t>(limitsOf(role_).batch_);
    while (running_.size() < room && !waitingDecode_.empty()) {
        running_.push_back(waitingDecode_.front());
        waitingDecode_.pop_front();
    }
}

double Engine::beginStep()
{
    fillBatch();
    stepping_ = true;
    stepChunk_ =
        static_cast<int>(std::min<std::int64_t>(limitsOf(role_).chunkTokens_, prefillTokens_));
    stepSeconds_ = stepSeconds(running(), stepChunk_);
    return stepSeconds_;
}

void Engine::prefillChunk(StepOutcome &outcome)
{
    int left = stepChunk_;
    while (left > 0 && !prefill_.empty()) {
        WorkPart &first = prefill_.front();
        const int taken = std::min(left, first.tokens_);
        first.tokens_ -= taken;
        left -= taken;
        prefillTokens_ -= taken;
        if (first.tokens_ == 0) {
            outcome.prefilled_.push_back(first.request_);
            prefill_.pop_front();
        }
    }
}

void Engine::decodeOnce(StepOutcome &outcome)
{
    for (WorkPart &part : running_) {
        if (!part.started_) {
            part.started_ = true;
            outcome.firstTokens_.push_back(part.request_);
        }
        if (--part.tokens_ <= 0) {
            outcome.finished_.push_back(part.request_);
        }
    }
    std::erase_if(running_, [](const WorkPart &part) { return part.tokens_ <= 0; });
}

StepOutcome Engine::endStep()
{
    StepOutcome outcome;
    outcome.batch_ = running();
    outcome.seconds_ = stepSeconds_;
    measureRates(outcome.batch_);
    decodeOnce(outcome);
    prefillChunk(outcome);
    stepping_ = false;
    return outcome;
}

void Engine::setRole(fleet::EngineRole role)
{
    role_ = role;
    prefillRate_ = 0;
    streamRate_ = 0;
}

void Engine::measureRates(int batch)
{
    const auto average = [](double &rate, double newest) {
        rate = rate > 0 ? rate + RateWeight * (newest - rate) : newest;
    };
    if (stepChunk_ > 0) {
        average(prefillRate_, stepChunk_ / stepSeconds_);
    }
    if (batch > 0) {
        average(streamRate_, 1 / stepSeconds_);
    }
}

EngineReport Engine::report(TimePoint now) const
{
    return {now, running(), waiting(), prefillTokens_, prefillRate_, streamRate_, role_};
}

} // namespace almondridge::mix
