#include "almondridge/gateway/stageplan.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <utility>

namespace almondridge::gateway {
namespace {

/**
 * A request of a conversation: some 2,000 tokens that are not cached, read at 40 a millisecond, and
 * 100 tokens generated at eight milliseconds each, in a slot that is taken meanwhile. Nothing that
 * the list of engines tells is a better ground before the first request: their stages are as the
 * last load left them.
 */
constexpr double TypicalReadMillis = 50;
constexpr double TypicalGenerateMillis = 800;

/** Less than this much of an engine's time says nothing of the mix. */
constexpr double LeastDemand = 0.02;
/**
 * At a start the list of engines fills within their heartbeats; a split worked out on the first
 * few of them orders some engines forth and back.
 */
constexpr Duration SettleTime = millis(1'500);
/**
 * Below this use of the busier stage nobody waits for long, and a change would only take an engine
 * away.
 */
constexpr double UseWorthAnOrder = 0.4;
/**
 * A change has to take this share off the use of the busier stage: demand is an estimate, and an
 * engine that changes is away for seconds and comes back with an empty cache.
 */
constexpr double GainWorthAnOrder = 0.12;
/**
 * The same where it begins to make engines read. Each of them reads the parts that it is a home of
 * from now on for the first time, and others keep them for nobody. Only a split that is far off is
 * mended, and then wholly.
 */
constexpr double GainWorthReading = 0.4;

/**
 * For so long after the first request nothing is changed: while caches are empty each shared part
 * is read for the first time, and reading seems to take twice the engines that it takes later.
 */
constexpr Duration FirstLook = millis(6'000);
/**
 * And for so long no generating engine is made to read: bursts of long answers may not have come
 * yet, and would fill the memory of the engines that are left to generate, which then put back what
 * they have begun; prompts that wait cost less.
 */
constexpr Duration LookForReaders = millis(16'000);

/** How busy the busier one of the two stages is; infinite when it has no engine. */
double busiest(int prefill, int decode, const StageDemand &demand)
{
    const auto use = [](double busy, int engines) {
        return engines > 0 ? busy / engines : std::numeric_limits<double>::infinity();
    };
    return std::max(use(demand.readers_, prefill), use(demand.generators_, decode));
}

/**
 * Under traffic engines change only for a stage whose requests wait so long on average. A change
 * takes an engine away for seconds, throws its cached parts away and moves others' homes: demand
 * alone is no reason. A prompt that waits behind one other one waits 100 ms or 200 anyway; a
 * request that waits for a slot does so only where engines are full.
 */
constexpr double ReadWaitWorthAnOrder = 300;
constexpr double SlotWaitWorthAnOrder = 50;
/** Peaks are remembered for about this long: some swings of the mix. */
constexpr double PeakSeconds = 30;
/** Waits are smoothed over this time: a burst of a second is over before a change is. */
constexpr double WaitWindowSeconds = 2;

/**
 * Until an engine that reads has read what it has queued, on average. Of engines that get no work
 * at the moment the queue says nothing: what is stuck there would ask for changes elsewhere.
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

/** Until a request gets a slot of an engine that generates, on average. */
double meanSlotWait(const std::vector<const Endpoint *> &engines, double slotMillis)
{
    double wait = 0;
    int count = 0;
    for (const Endpoint *engine : engines) {
        if (engine->listed_.stage_ == Stage::Decode) {
            wait += slotWaitMillis(engine->fleetSlotUse().all(), engine->listed_.slots_, slotMillis);
            ++count;
        }
    }
    return count > 0 ? wait / count : 0;
}

/**
 * What each stage keeps: an engine in each failure domain, where there are enough. A domain that is
 * cut off goes on with its own, and a crash of some engines leaves some of both stages. With two
 * that generate of nine, two crashes stopped a day's every answer for two seconds.
 */
int leastOfAStage(const std::vector<const Endpoint *> &engines)
{
    std::set<DomainId> domains;
    for (const Endpoint *engine : engines) {
        domains.insert(engine->listed_.domain_);
    }
    const int count = static_cast<int>(engines.size());
    return std::clamp(static_cast<int>(domains.size()), 1, std::max(1, count / 2));
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

int StagePlan::wantedPrefill(int count, int prefill, int least)
{
    const int kept = std::clamp(prefill, least, count - least);
    int best = kept;
    const double now = busiest(prefill, count - prefill, peak_);
    double lowest = now;
    for (int wanted = least; wanted <= count - least; ++wanted) {
        const double use = busiest(wanted, count - wanted, peak_);
        if (use < lowest) {
            best = wanted;
            lowest = use;
        }
    }
    const double gain = best > prefill && !addsReaders_ ? GainWorthReading : GainWorthAnOrder;
    const bool worthIt = now >= UseWorthAnOrder && lowest <= (1 - gain) * now;
    addsReaders_ = worthIt && best > prefill;
    return worthIt ? best : kept;
}

/** The engine to change: of the domain with most of its stage, and there the least busy one. */
const Endpoint *StagePlan::pick(const std::vector<const Endpoint *> &engines, Stage from) const
{
    std::map<DomainId, int> perDomain;
    for (const Endpoint *engine : engines) {
        perDomain[engine->listed_.domain_] += engine->listed_.stage_ == from ? 1 : 0;
    }
    const Endpoint *best = nullptr;
    const auto rank = [&](const Endpoint *engine) {
        return std::make_pair(-perDomain[engine->listed_.domain_],
                              engine->outstanding() + engine->load_.running_);
    };
    for (const Endpoint *engine : engines) {
        const bool fits = engine->listed_.stage_ == from && !ordered_.contains(engine->listed_.id_);
        if (fits && (best == nullptr || rank(engine) < rank(best))) {
            best = engine;
        }
    }
    return best;
}

void StagePlan::watch(const EndpointTable &table, const ServiceId &service, const StageLoad &load,
                      TimePoint now)
{
    const double passed = watchedAt_ == TimePoint {} ? 0 : toSeconds(now - watchedAt_);
    const double weight =
        watchedAt_ == TimePoint {} ? 1 : 1 - std::exp(-passed / WaitWindowSeconds);
    watchedAt_ = now;
    const std::vector<const Endpoint *> engines = table.usable(service, now);
    prefillWait_.add(meanReadWait(engines, load.millisPerToken_), weight);
    decodeWait_.add(meanSlotWait(engines, load.slotMillis_), weight);
    const double kept = std::exp(-passed / PeakSeconds);
    peak_.readers_ = std::max(kept * peak_.readers_, load.demand_.readers_);
    peak_.generators_ = std::max(kept * peak_.generators_, load.demand_.generators_);
    idle_ = load.demand_.all() < LeastDemand;
    if (!idle_ && !sawDemand_) {
        sawDemand_ = true;
        demandSince_ = now;
    }
}

bool StagePlan::isWorthIt(bool toRead, TimePoint now) const
{
    if (!toRead) {
        return decodeWait_.millis_ >= SlotWaitWorthAnOrder && now - demandSince_ >= FirstLook;
    }
    return prefillWait_.millis_ >= ReadWaitWorthAnOrder && now - demandSince_ >= LookForReaders;
}

bool StagePlan::settled(int count, TimePoint now)
{
    if (count != lastCount_) {
        lastCount_ = count;
        countedAt_ = now;
    }
    return now - countedAt_ >= SettleTime;
}

/** Orders that were carried out, lapsed, or went to an engine that is another one now. */
void StagePlan::forgetOrders(const EndpointTable &table, TimePoint now)
{
    std::erase_if(ordered_, [&](const auto &entry) {
        const auto &[id, order] = entry;
        const Endpoint *engine = table.find(id);
        return engine == nullptr || order.until_ <= now || engine->listed_.stage_ == order.stage_
               || engine->lifetime_ != order.lifetime_;
    });
}

std::vector<StageChange> StagePlan::plan(const EndpointTable &table, const ServiceId &service,
                                         TimePoint now, const EngineFilter &mayLeave)
{
    std::vector<const Endpoint *> engines = table.listed(service);
    std::erase_if(engines,
                  [](const Endpoint *engine) { return engine->listed_.stage_ == Stage::None; });
    const std::size_t listed = engines.size();
    std::erase_if(engines, [&](const Endpoint *engine) { return mayLeave && mayLeave(*engine); });
    forgetOrders(table, now);
    const int count = static_cast<int>(engines.size());
    // Engines that take the place of others come one by one: before the first request each is made
    // to read, or not, as it comes.
    const bool areReplaced = engines.size() < listed;
    const bool isSettled = settled(count, now) || (areReplaced && idle_ && !sawDemand_);
    if (count < 2 || !isSettled) {
        return {};
    }
    if (idle_ && sawDemand_) {
        return {}; // A pause says nothing of the mix that comes after it.
    }
    int prefill = countStage(engines, Stage::Prefill);
    for (const auto &[id, order] : ordered_) {
        prefill += order.stage_ == Stage::Prefill ? 1 : -1;
    }
    const int least = leastOfAStage(engines);
    const int slots = engines.front()->listed_.slots_;
    const int typical = static_cast<int>(std::lround(typicalPrefillShare(slots) * count));
    const int wanted =
        idle_ ? std::clamp(typical, least, count - least) : wantedPrefill(count, prefill, least);
    const bool stageIsEmpty = prefill == 0 || prefill == count;
    if (!idle_ && !stageIsEmpty && !isWorthIt(wanted > prefill, now)) {
        return {};
    }
    const int room = idle_ ? count : std::max(1, static_cast<int>(settings_.awayShare_ * count));
    return order(std::move(engines), wanted - prefill, room, now);
}

/** Orders to read for a difference above zero, to generate below; so many away in all. */
std::vector<StageChange> StagePlan::order(std::vector<const Endpoint *> engines, int difference,
                                          int room, TimePoint now)
{
    const Stage to = difference > 0 ? Stage::Prefill : Stage::Decode;
    const Stage from = difference > 0 ? Stage::Decode : Stage::Prefill;
    std::vector<StageChange> changes;
    while (static_cast<int>(changes.size()) < std::abs(difference)
           && static_cast<int>(ordered_.size()) < room) {
        const Endpoint *engine = pick(engines, from);
        if (engine == nullptr) {
            break;
        }
        ordered_[engine->listed_.id_] = {to, now + millis(settings_.orderMillis_),
                                         engine->lifetime_};
        changes.push_back({engine->listed_.id_, to});
        // Counted where it goes, so that the next pick spreads over the failure domains.
        std::erase(engines, engine);
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
