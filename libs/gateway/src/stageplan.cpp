#include "almondridge/gateway/stageplan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace almondridge::gateway {
namespace {

/**
 * A typical request of a conversation: about 2,000 uncached prompt tokens, read at 40 tokens per
 * millisecond, and 100 generated tokens at 8 ms each, during which a slot is occupied. Before the
 * first request there is no better estimate; the stages in the list of engines only reflect the
 * previous load.
 */
constexpr double TypicalReadMillis = 50;
constexpr double TypicalGenerateMillis = 800;

/** Below this demand, in busy engines, the mix of requests is unknown. */
constexpr double MinDemand = 0.02;
/**
 * After a start, engines join the list within their heartbeat interval. A split computed from the
 * first few of them would make some engines change back and forth.
 */
constexpr Duration SettleTime = millis(1'500);
/**
 * Below this utilization of the busier stage requests hardly wait, and a change would only take an
 * engine out of service.
 */
constexpr double MinUtilization = 0.4;
/**
 * A change has to reduce the utilization of the busier stage by at least this share. Demand is an
 * estimate, and an engine that changes is out of service for seconds and returns with an empty
 * cache.
 */
constexpr double MinGain = 0.12;
/**
 * The same threshold for starting to add prefill engines. Each new one first has to read the prompt
 * parts that are now assigned to it, while other engines keep copies that are no longer used. Only
 * a split that is far off is corrected, and then completely.
 */
constexpr double MinGainToAddPrefill = 0.4;

/**
 * No changes are made for this time after the first request: while caches are empty, each shared
 * prompt part is read for the first time, and prefill seems to need twice the engines that it needs
 * later.
 */
constexpr Duration MinObservation = millis(6'000);
/**
 * No decode engine is made a prefill engine for this time after the first request. Bursts of long
 * answers may not have come yet; they would fill the memory of the remaining decode engines, which
 * then preempt requests that they have begun. Prompts that wait cost less.
 */
constexpr Duration MinObservationToAddPrefill = millis(16'000);

/** Returns the utilization of the busier stage, or infinity if a stage has no engine. */
double busiestUtilization(int prefill, int decode, const StageDemand &demand)
{
    const auto use = [](double busy, int engines) {
        return engines > 0 ? busy / engines : std::numeric_limits<double>::infinity();
    };
    return std::max(use(demand.prefill_, prefill), use(demand.decode_, decode));
}

/**
 * Mean wait, in milliseconds, from which a stage gets more engines under traffic. A change takes an
 * engine out of service for seconds, discards its cached parts and moves the parts of other
 * engines, so demand alone does not justify one. A prompt that is queued behind one other prompt
 * waits 100 to 200 ms in any case; a request waits for a slot only if the engines are full.
 */
constexpr double MinReadWaitMillis = 300;
constexpr double MinSlotWaitMillis = 50;
/** Time constant of the decay of peaks; it covers several swings of the mix. */
constexpr double PeakDecaySeconds = 30;
/**
 * Time constant of the smoothing of waits: a burst of one second ends sooner than a stage change.
 */
constexpr double WaitSmoothingSeconds = 2;

/**
 * Returns the mean time, in milliseconds, until a prefill engine has read its queue. The caller
 * passes only engines that may get new work: prompts that are stuck in the queue of another engine
 * would cause changes elsewhere.
 */
double meanReadWait(const std::vector<const Endpoint *> &engines, double millisPerToken)
{
    std::int64_t queued = 0;
    int count = 0;
    for (const Endpoint *engine : engines) {
        if (engine->listed_.stage_ == Stage::Prefill) {
            queued += engine->fleetQueuedTokens();
            ++count;
        }
    }
    return count > 0 ? millisPerToken * static_cast<double>(queued) / count : 0;
}

/** Returns the mean time, in milliseconds, until a new request gets a slot of a decode engine. */
double meanSlotWait(const std::vector<const Endpoint *> &engines, double slotMillis)
{
    double wait = 0;
    int count = 0;
    for (const Endpoint *engine : engines) {
        if (engine->listed_.stage_ == Stage::Decode) {
            wait +=
                slotWaitMillis(engine->fleetSlotUse().all(), engine->listed_.slots_, slotMillis);
            ++count;
        }
    }
    return count > 0 ? wait / count : 0;
}

/** When one of them fails, the other one takes its streams up. */
constexpr int MinDecodeEnginesOfVersion = 2;

/**
 * Returns the minimum number of engines in each stage: one per failure domain if there are enough
 * engines. An isolated failure domain can then continue on its own, and both stages survive the
 * crash of some engines. With two decode engines out of nine, two crashes once interrupted all
 * answers for two seconds.
 */
int minEnginesPerStage(const std::vector<const Endpoint *> &engines)
{
    std::set<DomainId> domains;
    for (const Endpoint *engine : engines) {
        domains.insert(engine->listed_.domain_);
    }
    const int count = static_cast<int>(engines.size());
    return std::clamp(static_cast<int>(domains.size()), 1, std::max(1, count / 2));
}

int countVersions(const std::vector<const Endpoint *> &engines)
{
    std::set<SoftwareVersion> versions;
    for (const Endpoint *engine : engines) {
        versions.insert(engine->listed_.version_);
    }
    return static_cast<int>(versions.size());
}

int countStage(const std::vector<const Endpoint *> &engines, Stage stage)
{
    return static_cast<int>(
        std::count_if(engines.begin(), engines.end(),
                      [&](const Endpoint *engine) { return engine->listed_.stage_ == stage; }));
}

} // namespace

StagePlan::StagePlan(StagePlanSettings settings)
    : settings_(settings)
{ }

double typicalPrefillShare(int slots)
{
    const double generate = TypicalGenerateMillis / std::max(1, slots);
    return TypicalReadMillis / (TypicalReadMillis + generate);
}

int StagePlan::targetPrefill(int count, int prefill, int minPerStage)
{
    const int unchanged = std::clamp(prefill, minPerStage, count - minPerStage);
    int best = unchanged;
    const double now = busiestUtilization(prefill, count - prefill, peak_);
    double lowest = now;
    for (int wanted = minPerStage; wanted <= count - minPerStage; ++wanted) {
        const double use = busiestUtilization(wanted, count - wanted, peak_);
        if (use < lowest) {
            best = wanted;
            lowest = use;
        }
    }
    const double gain = best > prefill && !addingPrefill_ ? MinGainToAddPrefill : MinGain;
    const bool isWorthwhile = now >= MinUtilization && lowest <= (1 - gain) * now;
    addingPrefill_ = isWorthwhile && best > prefill;
    return isWorthwhile ? best : unchanged;
}

/** Whether its version keeps decode engines enough to go on with its streams without this one. */
bool StagePlan::canSpare(const std::vector<const Endpoint *> &engines, const Endpoint &engine) const
{
    const auto decodesSame = [&](const Endpoint *one) {
        return one->listed_.stage_ == Stage::Decode && !pendingOrders_.contains(one->listed_.id_)
               && one->listed_.version_ == engine.listed_.version_;
    };
    return engine.listed_.stage_ != Stage::Decode
           || std::count_if(engines.begin(), engines.end(), decodesSame)
                  > MinDecodeEnginesOfVersion;
}

/** Prefers the failure domain with the most engines of the stage, then the least busy engine. */
const Endpoint *StagePlan::pickEngine(const std::vector<const Endpoint *> &engines,
                                      Stage from) const
{
    std::map<DomainId, int> enginesInDomain;
    for (const Endpoint *engine : engines) {
        enginesInDomain[engine->listed_.domain_] += engine->listed_.stage_ == from ? 1 : 0;
    }
    // Before the first request no version has streams.
    const bool protectsVersions = hasSeenDemand_ && countVersions(engines) > 1;
    const Endpoint *best = nullptr;
    const auto rank = [&](const Endpoint *engine) {
        return std::make_pair(-enginesInDomain[engine->listed_.domain_],
                              engine->outstanding() + engine->load_.running_);
    };
    for (const Endpoint *engine : engines) {
        const bool fits =
            engine->listed_.stage_ == from && !pendingOrders_.contains(engine->listed_.id_);
        if (fits && (best == nullptr || rank(engine) < rank(best))
            && (!protectsVersions || canSpare(engines, *engine))) {
            best = engine;
        }
    }
    return best;
}

void StagePlan::observe(const EndpointTable &table, const ServiceId &service, const StageLoad &load,
                        TimePoint now)
{
    const double passed = observedAt_ == TimePoint {} ? 0 : toSeconds(now - observedAt_);
    const double weight =
        observedAt_ == TimePoint {} ? 1 : 1 - std::exp(-passed / WaitSmoothingSeconds);
    observedAt_ = now;
    const std::vector<const Endpoint *> engines = table.usable(service, now);
    prefillWait_.add(meanReadWait(engines, load.millisPerToken_), weight);
    decodeWait_.add(meanSlotWait(engines, load.slotMillis_), weight);
    const double decay = std::exp(-passed / PeakDecaySeconds);
    peak_.prefill_ = std::max(decay * peak_.prefill_, load.demand_.prefill_);
    peak_.decode_ = std::max(decay * peak_.decode_, load.demand_.decode_);
    idle_ = load.demand_.all() < MinDemand;
    if (!idle_ && !hasSeenDemand_) {
        hasSeenDemand_ = true;
        firstDemandAt_ = now;
    }
}

bool StagePlan::isWaitLongEnough(bool towardPrefill, TimePoint now) const
{
    if (!towardPrefill) {
        return decodeWait_.millis_ >= MinSlotWaitMillis && now - firstDemandAt_ >= MinObservation;
    }
    return prefillWait_.millis_ >= MinReadWaitMillis
           && now - firstDemandAt_ >= MinObservationToAddPrefill;
}

bool StagePlan::isCountStable(int count, TimePoint now)
{
    if (count != lastCount_) {
        lastCount_ = count;
        countChangedAt_ = now;
    }
    return now - countChangedAt_ >= SettleTime;
}

/** Removes orders that were carried out or expired, and those whose engine left or restarted. */
void StagePlan::removeFinishedOrders(const EndpointTable &table, TimePoint now)
{
    std::erase_if(pendingOrders_, [&](const auto &entry) {
        const auto &[id, order] = entry;
        const Endpoint *engine = table.find(id);
        return engine == nullptr || order.expiresAt_ <= now
               || engine->listed_.stage_ == order.stage_ || engine->lifetime_ != order.lifetime_;
    });
}

std::vector<StageChange> StagePlan::plan(const EndpointTable &table, const ServiceId &service,
                                         TimePoint now, const EngineFilter &mayBeReleased)
{
    std::vector<const Endpoint *> engines = table.listed(service);
    std::erase_if(engines,
                  [](const Endpoint *engine) { return engine->listed_.stage_ == Stage::None; });
    const std::size_t listed = engines.size();
    std::erase_if(engines,
                  [&](const Endpoint *engine) { return mayBeReleased && mayBeReleased(*engine); });
    removeFinishedOrders(table, now);
    const int count = static_cast<int>(engines.size());
    // Engines that replace released ones arrive one at a time. Before the first request, each one
    // gets its stage as it arrives.
    const bool someBeingReleased = engines.size() < listed;
    const bool isStable =
        isCountStable(count, now) || (someBeingReleased && idle_ && !hasSeenDemand_);
    if (count < 2 || !isStable) {
        return {};
    }
    if (idle_ && hasSeenDemand_) {
        return {}; // An idle period tells nothing about the mix of requests after it.
    }
    int prefill = countStage(engines, Stage::Prefill);
    for (const auto &[id, order] : pendingOrders_) {
        prefill += order.stage_ == Stage::Prefill ? 1 : -1;
    }
    const int minPerStage = minEnginesPerStage(engines);
    const int slots = engines.front()->listed_.slots_;
    const int typical = static_cast<int>(std::lround(typicalPrefillShare(slots) * count));
    const int wanted = idle_ ? std::clamp(typical, minPerStage, count - minPerStage)
                             : targetPrefill(count, prefill, minPerStage);
    const bool stageIsEmpty = prefill == 0 || prefill == count;
    if (!idle_ && !stageIsEmpty && !isWaitLongEnough(wanted > prefill, now)) {
        return {};
    }
    const int maxChanging =
        idle_ ? count : std::max(1, static_cast<int>(settings_.maxChangingShare_ * count));
    return makeOrders(std::move(engines), wanted - prefill, maxChanging, now);
}

/**
 * Orders changes to prefill if the difference is positive, to decode if it is negative. At most
 * maxChanging engines may have a pending order.
 */
std::vector<StageChange> StagePlan::makeOrders(std::vector<const Endpoint *> engines,
                                               int difference, int maxChanging, TimePoint now)
{
    const Stage to = difference > 0 ? Stage::Prefill : Stage::Decode;
    const Stage from = difference > 0 ? Stage::Decode : Stage::Prefill;
    std::vector<StageChange> changes;
    while (static_cast<int>(changes.size()) < std::abs(difference)
           && static_cast<int>(pendingOrders_.size()) < maxChanging) {
        const Endpoint *engine = pickEngine(engines, from);
        if (engine == nullptr) {
            break;
        }
        pendingOrders_[engine->listed_.id_] = {to, now + millis(settings_.orderTimeoutMillis_),
                                               engine->lifetime_};
        changes.push_back({engine->listed_.id_, to});
        // Counted for its new stage, so that the next choices are spread over the failure domains.
        std::erase(engines, engine);
    }
    return changes;
}

void StagePlan::onRefused(const EndpointId &engine, TimePoint now)
{
    // The engine's list entry will soon show its current stage. Until then it would refuse another
    // order as well.
    constexpr Duration UntilNextEntry = millis(1'500);
    const auto found = pendingOrders_.find(engine);
    if (found != pendingOrders_.end()) {
        found->second.expiresAt_ = std::min(found->second.expiresAt_, now + UntilNextEntry);
    }
}

} // namespace almondridge::gateway
