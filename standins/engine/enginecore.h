/**
 * One engine without threads and sockets: batch, prefix cache, streams, orders and counters.
 * Pure: time is passed in, and chance is a function of the settings.
 */
#pragma once

#include "common/loadhistory.h"
#include "engine/batch.h"
#include "engine/cacheevents.h"
#include "engine/enginerecords.h"
#include "engine/enginesettings.h"
#include "engine/generation.h"
#include "engine/kvexports.h"
#include "engine/orderbook.h"
#include "engine/streamtable.h"

#include <map>
#include <variant>

namespace almondridge::standins {

/** A moment by both clocks. */
struct Moment
{
    TimePoint at_;
    std::int64_t wallMillis_ = 0;

    static Moment now();
};

/** Why a request was not started. */
struct Refusal
{
    std::string why_;
};

using SubmitAnswer = std::variant<StreamId, Refusal>;

/** What GET /engine/load says. */
struct LoadReport
{
    BatchLoad load_;
    Role role_ = Role::Mixed;
    bool admits_ = false;
    double prefillTokensPerSecond_ = 0;
    double decodeTokensPerSecond_ = 0; ///< Of one stream at this batch.
};

/** What GET /engine/state says. */
struct EngineState
{
    Target target_;
    Phase phase_ = Phase::Ready;
    int running_ = 0; ///< In work, waiting, or whole but not yet delivered.
    Fence fence_ = 0;
    std::uint64_t sequence_ = 0;
};

/** Weights that a change waits for. */
struct WeightFetch
{
    std::string name_;
    std::string version_;
    std::int64_t bytes_ = 0;
};

struct OrderAnswer
{
    OrderVerdict verdict_ = OrderVerdict::Accepted;
    EngineState state_;
    std::uint64_t change_ = 0;            ///< Names the change that the order began.
    std::vector<WeightFetch> fetches_ {}; ///< To be fetched for it.
};

/** Not thread-safe. */
class EngineCore
{
public:
    explicit EngineCore(EngineSettings settings);

    const EngineSettings &settings() const noexcept { return settings_; }
    /** Sizes of batch and cache stay; everything else takes effect at once. */
    void setSettings(const EngineSettings &settings);

    SubmitAnswer submit(const GenerationRequest &request, const Moment &now);
    /** Counts a request that was refused before it got here. */
    void countRefusal();
    void cancel(const std::string &attempt, const Moment &now);
    /** The stream of an attempt if it can be resumed. */
    std::optional<StreamId> resume(const std::string &attempt);
    /** nullptr when the engine does not have it any more. */
    const Stream *stream(StreamId id) { return streams_.find(id); }
    void addReader(StreamId id) { streams_.addReader(id); }
    void removeReader(StreamId id, const Moment &now);
    std::optional<KvExport> takeKv(const std::string &ticket, const Moment &now);

    OrderAnswer order(const Order &order, const Moment &now);
    /** The weights of a change are there. */
    void weightsLoaded(std::uint64_t change, const Moment &now);
    void crash(bool unclear, const Moment &now);

    std::optional<TimePoint> nextDue() const;
    void advance(const Moment &now);

    LoadReport load(const Moment &now);
    CacheEventPage cacheEvents(std::uint64_t since, const Moment &now) const;
    EngineState state() const;

    const EngineCounters &counters() const noexcept { return counters_; }
    const std::map<std::string, RunRecord> &runs() const noexcept { return runs_; }
    const std::vector<LoggedOrder> &orderLog() const noexcept { return orderLog_; }

private:
    struct Change
    {
        std::uint64_t id_ = 0;
        std::optional<TimePoint> due_; ///< Empty while weights are being fetched.
        bool crashes_ = false;
    };

    std::optional<std::string> whyRefused(const GenerationRequest &request,
                                          const Moment &now) const;
    bool serves(const std::string &model) const;
    std::int64_t producedBy(StreamId id) const;
    void start(StreamId id);
    void finish(StreamId id, StreamStatus status, const Moment &now);
    void abort(StreamId id, StreamStatus status, const Moment &now);
    void abortAll(StreamStatus status, const Moment &now);
    void beginChange(const OrderEffect &effect, OrderAnswer &answer, const Moment &now);
    void advanceChange(const Moment &now);
    void loseState(bool unclear, const Moment &now);
    void publishCacheChanges(const Moment &now);
    void noteLoad(const Moment &now);
    LoadReport currentLoad() const;

    EngineSettings settings_;
    OrderBook orders_;
    PrefixCache cache_;
    Batch batch_;
    StreamTable streams_;
    KvExports exports_;
    CacheEvents events_;
    LoadHistory<LoadReport> history_;
    std::optional<Change> change_;
    std::uint64_t nextChange_ = 1;

    EngineCounters counters_;
    std::map<std::string, RunRecord> runs_;
    std::vector<LoggedOrder> orderLog_;
};

} // namespace almondridge::standins
