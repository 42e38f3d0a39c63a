#include "almondridge/gateway/stageplan.h"

#include <algorithm>
#include <cmath>

namespace almondridge::gateway {
namespace {

/**
 * A request of a conversation: some 2,000 tokens that are not cached, read at 50 a millisecond, and
 * 100 tokens generated at eight milliseconds each, in a slot that is taken meanwhile. Nothing that
 * the list of engines tells is a better ground before the first request: their stages are as the
 * last load left them.
 */
constexpr double TypicalReadMillis = 40;
constexpr double TypicalGenerateMillis = 800;

/** Demand of less engine time than this in a window says nothing of the mix. */
constexpr double LeastDemandSeconds = 0.5;
/**
 * At a start the list of engines fills within their heartbeats; a split worked out on the first
 * few of them orders some engines forth and back.
 */
constexpr Duration SettleTime = millis(1'500);
/** Both stages keep at least this share of the engines, so that a turn of the mix finds some. */
constexpr double LeastStageShare = 0.17;

/**
 * How much of an engine's time can be used before requests wait for each other for longer than a
 * first token may take. Reading is done one prompt after the other; generating engines that run
 * out of memory throw out requests that they had begun.
 */
constexpr double UsablePrefill = 0.5;
constexpr double UsableDecode = 0.3;

/**
 * While there is traffic engines change only for a stage whose prompts wait this long on average:
 * half of the tightest objective. A change takes an engine away for seconds, throws its cached
 * parts away and moves others' homes: 45 changes of 90 engines after a release, for a share that
 * was only off the expected one, cost a sixth of the day (worth 0.593 against 0.766).
 */
constexpr double WaitWorthAnOrder = 150;
/** Waits are smoothed over this time: a burst of a second is over before a change is. */
constexpr double WaitWindowSeconds = 2;

double decay(double lengthSeconds, TimePoint from, TimePoint now)
{
    return std::exp(-toSeconds(now - from) / lengthSeconds);
}

/**
 * Until an engine of the stage has read what it has queued, on average. Of engines that get no
 * work at the moment the queue says nothing: what is stuck there would ask for changes elsewhere.
 */
double meanWaitMillis(const EndpointTable &table, const std::vector<const Endpoint *> &engines,
                      Stage stage)
{
    std::int64_t queued = 0;
    int count = 0;
    for (const Endpoint *engine : engines) {
        if (engine->listed_.stage_ == stage) {
            queued += engine->queued_.all() + engine->foreignQueued_.all();
            ++count;
        }
    }
    return count > 0 ? static_cast<double>(queued) / table.usualRate() / count : 0;
}

int countStage(const std::vector<const Endpoint *> &engines, Stage stage)
{
    return static_cast<int>(
        std::count_if(engines.begin(), engines.end(),
                      [&](const Endpoint *engine) { return engine->listed_.stage_ == stage; }));
}

} // namespace

StagePlan::Window::Window(std::int64_t lengthMillis)
    : lengthSeconds_(toSeconds(millis(lengthMillis)))
{ }

void StagePlan::Window::add(const StageDemand &demand, TimePoint now)
{
    const double kept = at_ == TimePoint {} ? 0 : decay(lengthSeconds_, at_, now);
    sum_.prefillSeconds_ = kept * sum_.prefillSeconds_ + demand.prefillSeconds_;
    sum_.decodeSeconds_ = kept * sum_.decodeSeconds_ + demand.decodeSeconds_;
    at_ = now;
}

double StagePlan::Window::prefillShare(TimePoint now, double otherwise) const
{
    const double prefill = sum_.prefillSeconds_ / UsablePrefill;
    const double whole = prefill + sum_.decodeSeconds_ / UsableDecode;
    if (at_ == TimePoint {} || whole * decay(lengthSeconds_, at_, now) < LeastDemandSeconds) {
        return otherwise;
    }
    return prefill / whole;
}

StagePlan::StagePlan(StagePlanSettings settings)
    : settings_(settings)
    , shortWindow_(settings.shortWindowMillis_)
    , longWindow_(settings.longWindowMillis_)
{ }

void StagePlan::onDemand(const StageDemand &demand, TimePoint now)
{
    shortWindow_.add(demand, now);
    longWindow_.add(demand, now);
}

double typicalPrefillShare(int slots)
{
    const double generate = TypicalGenerateMillis / std::max(1, slots);
    return TypicalReadMillis / (TypicalReadMillis + generate);
}

int StagePlan::wantedPrefill(int count, int slots, TimePoint now) const
{
    const double expected = typicalPrefillShare(slots);
    const double inLong = longWindow_.prefillShare(now, expected);
    const double inShort = shortWindow_.prefillShare(now, inLong);
    // Toward the typical split where the windows disagree: one of them sees a burst.
    const double low = std::min(inLong, inShort);
    const double high = std::max(inLong, inShort);
    const double share = std::clamp(expected, low, high);
    const int least = std::max(1, static_cast<int>(std::lround(LeastStageShare * count)));
    return std::clamp(static_cast<int>(std::lround(share * count)), least,
                      std::max(least, count - least));
}

/** The engine to change: of the domain with most of its stage, and there the least busy one. */
std::optional<EndpointId> StagePlan::pick(const std::vector<const Endpoint *> &engines,
                                          Stage from) const
{
    std::map<DomainId, int> perDomain;
    for (const Endpoint *engine : engines) {
        perDomain[engine->listed_.domain_] += engine->listed_.stage_ == from ? 1 : 0;
    }
    const Endpoint *best = nullptr;
    const auto rank = [&](const Endpoint *engine) {
        return std::make_pair(-perDomain[engine->listed_.domain_],
                              engine->outstanding_ + engine->load_.running_);
    };
    for (const Endpoint *engine : engines) {
        const bool fits = engine->listed_.stage_ == from && !ordered_.contains(engine->listed_.id_);
        if (fits && (best == nullptr || rank(engine) < rank(best))) {
            best = engine;
        }
    }
    return best != nullptr ? std::optional(best->listed_.id_) : std::nullopt;
}

void StagePlan::watchWaits(const EndpointTable &table, const std::vector<const Endpoint *> &engines,
                           TimePoint now)
{
    const double weight =
        watchedAt_ == TimePoint {} ? 1 : 1 - decay(WaitWindowSeconds, watchedAt_, now);
    watchedAt_ = now;
    prefillWait_.add(meanWaitMillis(table, engines, Stage::Prefill), weight);
    decodeWait_.add(meanWaitMillis(table, engines, Stage::Decode), weight);
}

bool StagePlan::settled(int count, TimePoint now)
{
    if (count != lastCount_) {
        lastCount_ = count;
        countedAt_ = now;
    }
    return now - countedAt_ >= SettleTime;
}

std::vector<StageChange> StagePlan::plan(const EndpointTable &table, const ServiceId &service,
                                         TimePoint now)
{
    std::vector<const Endpoint *> engines = table.listed(service);
    std::erase_if(engines,
                  [](const Endpoint *engine) { return engine->listed_.stage_ == Stage::None; });
    std::erase_if(ordered_, [&](const auto &entry) {
        const Endpoint *engine = table.find(entry.first);
        return engine == nullptr || entry.second.until_ <= now
               || engine->listed_.stage_ == entry.second.stage_
               || engine->lifetime_ != entry.second.lifetime_;
    });
    watchWaits(table, table.usable(service, now), now);
    const int count = static_cast<int>(engines.size());
    if (count < 2 || !settled(count, now)) {
        return {};
    }
    int prefill = countStage(engines, Stage::Prefill);
    for (const auto &[id, order] : ordered_) {
        prefill += order.stage_ == Stage::Prefill ? 1 : -1;
    }
    const bool idle = longWindow_.prefillShare(now, -1) < 0;
    const int wanted = wantedPrefill(count, engines.front()->listed_.slots_, now);
    const int least =
        std::max(1, static_cast<int>(std::lround(settings_.leastDifference_ * count)));
    const int difference = std::abs(wanted - prefill);
    if (difference == 0 || (!idle && difference < least && ordered_.empty())) {
        return {};
    }
    const double wait = waitMillis(wanted > prefill ? Stage::Prefill : Stage::Decode);
    const bool stageIsEmpty = prefill == 0 || prefill == count;
    if (!idle && !stageIsEmpty && wait < WaitWorthAnOrder) {
        return {};
    }
    const int room = idle ? count : std::max(1, static_cast<int>(settings_.awayShare_ * count));
    std::vector<StageChange> changes;
    const Stage to = wanted > prefill ? Stage::Prefill : Stage::Decode;
    const Stage from = wanted > prefill ? Stage::Decode : Stage::Prefill;
    while (static_cast<int>(changes.size()) < difference
           && static_cast<int>(ordered_.size()) < room) {
        const auto engine = pick(engines, from);
        if (!engine) {
            break;
        }
        ordered_[*engine] = {to, now + millis(settings_.orderMillis_),
                             table.find(*engine)->lifetime_};
        changes.push_back({*engine, to});
        // Counted where it goes, so that the next pick spreads over the failure domains.
        std::erase_if(engines, [&](const Endpoint *one) { return one->listed_.id_ == *engine; });
    }
    return changes;
}

void StagePlan::onRefused(const EndpointId &engine, TimePoint now)
{
    // Its entry tells soon what it took instead; until then another order would be refused too.
    constexpr Duration UntilNextEntry = millis(1'500);
    const auto found = ordered_.find(engine);
    if (found != ordered_.end()) {
        found->second.until_ = std::min(found->second.until_, now + UntilNextEntry);
    }
}

} // namespace almondridge::gateway
