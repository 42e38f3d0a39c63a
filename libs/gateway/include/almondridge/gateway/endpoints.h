/**
 * This instance's view of the endpoints: the entries that the platform lists, their load reports,
 * this instance's open requests, and their health. No I/O and no clock: events and the current time
 * are inputs.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/gateway/failurerates.h"
#include "almondridge/gateway/promptqueue.h"
#include "almondridge/gateway/requestlimits.h"
#include "almondridge/gateway/sendwindow.h"
#include "almondridge/gateway/slotuse.h"
#include "almondridge/gateway/worktime.h"
#include "almondridge/net/http.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondridge::gateway {

enum class Stage {
    None,    ///< Not an engine, or an engine that prefills and decodes.
    Prefill, ///< Prefills prompts only.
    Decode,  ///< Decodes; also prefills if a prompt is sent to it whole.
};

inline constexpr std::array<EnumName<Stage>, 3> StageNames {{
    {Stage::None, "none"},
    {Stage::Prefill, "prefill"},
    {Stage::Decode, "decode"},
}};

/** Whether both versions are known and the same: one may go on with what the other began. */
inline bool isSameVersion(const SoftwareVersion &left, const SoftwareVersion &right)
{
    return !left.empty() && left == right;
}

/** An endpoint's entry in the platform's list. */
struct ListedEndpoint
{
    EndpointId id_;
    ServiceId service_;
    net::Address address_;
    DomainId domain_;
    SoftwareVersion version_;
    int slots_ = 1;
    bool draining_ = false;
    bool spot_ = false; ///< A spot machine: all of a domain can be revoked at once.
    Stage stage_ = Stage::None;
    /**
     * Start time of its process by its own clock, in milliseconds since the Unix epoch; 0: not
     * reported. A later start under the same id is a restart, which loses all state.
     */
    std::int64_t startedAtMillis_ = 0;

    friend bool operator==(const ListedEndpoint &, const ListedEndpoint &) = default;
};

/**
 * The entry of an endpoint that has restarted as its own answer shows, before its new entry is
 * listed. The version may have changed with it, so it is unknown.
 */
inline ListedEndpoint restartedEntry(ListedEndpoint listed, std::int64_t startedAtMillis)
{
    listed.startedAtMillis_ = startedAtMillis;
    listed.version_ = {};
    return listed;
}

/** Load that an endpoint reports in the headers of its responses. */
struct LoadSample
{
    int running_ = 0;
    int waiting_ = 0;
    int slots_ = 0;
    /** How long work takes now, in percent of the usual time, 1 to 100,000; empty: not reported. */
    std::optional<int> workTimePercent_ = std::nullopt;
};

struct Endpoint
{
    ListedEndpoint listed_;
    std::uint64_t idHash_ = 0;       ///< nameHash() of the id, for rendezvousWeight().
    bool announcedShutdown_ = false; ///< In an answer; its entry may show that later.
    bool isListed_ = true;           ///< False: its entry was removed and it gets no new work.
    std::uint64_t lifetime_ = 0;     ///< Number of restarts that this instance has seen.

    SlotUse slotUse_;         ///< By this instance's unanswered requests to the current lifetime.
    SlotUse peerSlotUse_;     ///< By other instances' requests, as reported for decode engines.
    int openRequests_ = 0;    ///< This instance's, to any lifetime. The entry stays until 0.
    PromptQueue queued_;      ///< Prompt tokens of this instance's requests.
    PromptQueue peerQueued_;  ///< Prompt tokens of other instances' requests, as reported.
    double prefillSpeed_ = 1; ///< Measured speed relative to the expected one.
    LoadSample load_;
    TimePoint loadAt_ {};
    WorkTime workTime_; ///< As reported in answers to this instance.

    int failureScore_ = 0;      ///< Weighted failures since the last success.
    DecayingCount recentSends_; ///< Requests of this instance.
    SendWindow sent_;           ///< Requests of callers and of this instance itself.
    TimePoint limitLoggedAt_ {};
    TimePoint backoffUntil_ {};    ///< It asked this instance to send nothing until then.
    int sentInBackoff_ = 0;        ///< Requests of this instance during the last backoff.
    DecayingCount recentFailures_; ///< Failures among recentSends_.
    double peerFailures_ = 0;      ///< Recent failures at other instances, as reported.
    /** Circuit breaker: no new work until then, and then one trial request; empty: closed. */
    TimePoint circuitOpenUntil_ {};
    TimePoint changingUntil_ {}; ///< It carries out an order until about then and refuses work.
    /** This instance's unanswered requests to the current lifetime. */
    int outstanding() const noexcept { return slotUse_.all(); }
    /** Slots that requests of all instances occupy or wait for, as far as reported. */
    SlotUse fleetSlotUse() const noexcept;
    /** Queued prompt tokens of all instances, of urgency levels 0 to urgency. */
    std::int64_t fleetQueuedTokens(int urgency = UrgencyLevels - 1) const noexcept;
    /** Recent failures of all instances' requests, as far as reported. */
    double fleetFailures(TimePoint now) const { return recentFailures_.at(now) + peerFailures_; }
    /** It is about to shut down, by its entry or by its own answer. */
    bool isDraining() const noexcept { return listed_.draining_ || announcedShutdown_; }
    /** No requests, recent failures, pending probe or order: needs no periodic work. */
    bool isIdle(TimePoint now) const noexcept;
    /** Its version, unless it may have restarted since its entry was written. */
    SoftwareVersion versionAt(TimePoint now) const
    {
        return mayHaveRestartedUntil_ > now ? SoftwareVersion() : listed_.version_;
    }
    /** State for metrics: leaving, draining, changing, unreachable, distrusted or usable. */
    std::string_view stateName(TimePoint now) const noexcept;

    bool trialInFlight_ = false; ///< Half-open: one trial request is in flight.

    /**
     * This instance or a peer could not reach the endpoint. It gets no request until a connection
     * probe succeeds: if requests were the probes, each instance would keep losing one at every
     * engine that a network partition or a crash took away.
     */
    bool awaitsProbe_ = false;
    /**
     * A process may have started anew under this id, and its entry not be here yet. Only where
     * entries name start times, as other endpoints get a new id.
     */
    TimePoint mayHaveRestartedUntil_ {};
    /**
     * The list has to be confirmed as of then before streams may begin or go on at the version of
     * the entry: it was read by an instance that may be younger than the end of its process.
     */
    TimePoint provenAsOf_ {};
    TimePoint probeAt_ {}; ///< When to start the next probe; max() while one is running.
    int failedProbes_ = 0;
    TimePoint probeSucceededAt_ {}; ///< When a probe last succeeded.
    TimePoint unreachableAt_ {};    ///< When a request of this instance last failed to connect or
                                    ///< timed out.
    TimePoint healthyAt_ {};        ///< When a request of this instance last succeeded.
};

/** What a response, or its absence, says about an endpoint's health. */
enum class HealthSignal {
    Healthy,     ///< The endpoint itself sent a complete response.
    Overloaded,  ///< It refused the request because it has no capacity left.
    Declined,    ///< It refused the request despite free capacity: it is changing its stage, or is
                 ///< not the listed endpoint.
    ServerError, ///< The endpoint itself sent a 5xx response.
    Broken,      ///< Connection reset or closed early, or a malformed response.
    Unreachable, ///< The connection failed.
    TimedOut,    ///< No response within the time that a healthy endpoint needs.
};

inline constexpr std::array<EnumName<HealthSignal>, 7> HealthSignalNames {{
    {HealthSignal::Healthy, "sound"},
    {HealthSignal::Overloaded, "overloaded"},
    {HealthSignal::Declined, "unwilling"},
    {HealthSignal::ServerError, "server-error"},
    {HealthSignal::Broken, "broken"},
    {HealthSignal::Unreachable, "unreachable"},
    {HealthSignal::TimedOut, "silent"},
}};

/** Effect of EndpointTable::list(). */
enum class ListingChange {
    Unchanged, ///< The entry is the same, or belongs to an earlier lifetime.
    Changed,   ///< The endpoint is new or its entry has changed.
    Restarted, ///< The endpoint was restarted and has lost its state.
};

class EndpointTable
{
public:
    /**
     * Adds or updates an entry. A restart resets all state of the endpoint. A late entry of an
     * earlier lifetime is ignored.
     */
    ListingChange list(const ListedEndpoint &listed, TimePoint now);
    /**
     * Marks an endpoint whose entry was removed; it is erased once it has no open requests. False
     * if it is not listed.
     */
    bool unlist(const EndpointId &id);

    /** Null if unknown. The non-const overload adds the endpoint to the active ones. */
    Endpoint *find(const EndpointId &id);
    const Endpoint *find(const EndpointId &id) const;
    /** Endpoints of a service that may get a new request, ordered by id. */
    std::vector<const Endpoint *> usable(const ServiceId &service, TimePoint now) const;
    /** Whether the endpoint's own answers allow this instance to send it a request. */
    bool admits(const Endpoint &endpoint, TimePoint now) const;
    /**
     * When an available endpoint of the service next admits a request; nullopt: none is available.
     */
    std::optional<TimePoint> admitsAt(const ServiceId &service, TimePoint now) const;
    /** Number of instances that share these endpoints, assumed to send about the same load. */
    void setInstances(int count)
    {
        instances_ = count;
        limits_.setInstances(count);
    }
    /**
     * When this instance started, in milliseconds since the Unix epoch; 0: not known. What it reads
     * of a process that is older may be out of date, since it remembers no connection to it.
     */
    void setOwnStart(std::int64_t startedAtMillis) { ownStartMillis_ = startedAtMillis; }
    /** Every entry that the store had accepted by asOf is listed. */
    void onListConfirmed(TimePoint asOf) { listedAsOf_ = std::max(listedAsOf_, asOf); }
    /**
     * The version of the streams that an endpoint writes; empty while it is in doubt. What was read
     * there is matched by versionAt(), which this doubt leaves alone: engines in doubt could read
     * no prompts for others.
     */
    SoftwareVersion streamVersionAt(const Endpoint &endpoint, TimePoint now) const;
    /** This process stood still until now: endpoints may have restarted under their ids. */
    void onPause(TimePoint now);
    /** Limits that endpoints name in their answers. */
    RequestLimits &limits() noexcept { return limits_; }
    const RequestLimits &limits() const noexcept { return limits_; }
    /** Endpoints of a service that are listed and not draining, healthy or not. */
    std::vector<const Endpoint *> listed(const ServiceId &service) const;
    /** Whether one of them has this version, which must be known. */
    bool hasVersion(const ServiceId &service, const SoftwareVersion &version) const;
    const std::map<EndpointId, Endpoint> &all() const noexcept { return endpoints_; }
    using Active = std::map<EndpointId, const Endpoint *>;
    /**
     * Endpoints that recently had requests, failures, orders or probes, of any instance. Work that
     * is done many times a second iterates over these only: most endpoints of a large fleet are
     * idle.
     */
    const Active &active() const noexcept { return active_; }
    /** Removes endpoints that have become idle from the active ones. */
    void deactivateIdle(TimePoint now);

    /** The endpoint got an order from this instance or, as reported, from a peer. */
    void onChanging(const EndpointId &id, TimePoint until);
    /** A request of this instance was sent. */
    void onSent(const EndpointId &id, int urgency, std::int64_t promptTokens, TimePoint now);
    /** The prompt of a request has been prefilled and leaves the queue. */
    void onPrefilled(const EndpointId &id, int urgency, std::int64_t promptTokens);
    /**
     * Adds a prefill time, with the time expected of an engine of usual speed; both include the
     * queue.
     */
    void onPrefillTime(const EndpointId &id, double expectedMillis, double milliseconds);
    /** A request of this instance has ended, whatever its result. */
    void onClosed(const EndpointId &id, int urgency);
    /** As onClosed(), for a request that was sent before the endpoint restarted. */
    void onClosedOfEarlierLifetime(const EndpointId &id);
    void onLoad(const EndpointId &id, const LoadSample &load, TimePoint now);
    /** An accepted request has got no data for long: schedules a probe of the endpoint. */
    void onSuspected(const EndpointId &id, TimePoint now);
    /** A peer could not reach it: schedules a probe unless it responded here a moment ago. */
    void onPeerReportedUnreachable(const EndpointId &id, TimePoint now);
    /** Endpoints to probe by a connection now; report each result to onProbed(). */
    std::vector<EndpointId> takeDueProbes(TimePoint now);
    void onProbed(const EndpointId &id, bool reached, TimePoint now);
    /** Whether some endpoint of the service waits for a probe. */
    bool hasUnreachable(const ServiceId &service) const;
    /** Unreachable endpoints are probed at once, as the paths to them may be back. */
    void probeSoon(TimePoint now);
    /** The failures counted so far were this instance's own: it is cut off. Probes go on. */
    void forgetFailures();
    /** Endpoints without new work because they fail far more often than others of their stage. */
    std::vector<const Endpoint *> outliers(TimePoint now) const;
    /** Endpoints at which requests of this instance recently failed to connect or timed out. */
    std::vector<EndpointId> recentlyUnreachable(TimePoint now) const;
    /**
     * A decode engine with free capacity failed to fetch a prefilled prompt from source: counts a
     * failure for both, as either may be at fault.
     */
    void onHandoverRefused(const EndpointId &source, const EndpointId &target, TimePoint now);
    /** True if the signal takes the endpoint out of service or brings it back. */
    bool onHealthSignal(const EndpointId &id, HealthSignal signal, TimePoint now);

private:
    void eraseIfUnused(const EndpointId &id);
    /** Whether the process may have been replaced before its entry was read for the first time. */
    bool mayBeOutdated(const ListedEndpoint &listed) const;
    std::int64_t lastKnownStart(const EndpointId &id) const;
    static void restart(Endpoint &endpoint, TimePoint now);
    static void onConnectFailed(Endpoint &endpoint);
    static void onReachedAgain(Endpoint &endpoint, TimePoint now);
    static void scheduleProbe(Endpoint &endpoint, TimePoint probeAt);
    /** Endpoints that may get new work, each judged by its own health alone. */
    std::vector<const Endpoint *> available(const ServiceId &service, TimePoint now) const;
    TimePoint admitsAt(const Endpoint &endpoint, TimePoint now) const;
    static void cancelProbe(Endpoint &endpoint);
    /** The given endpoints that fail far more often than the others of their stage. */
    std::vector<const Endpoint *> outliersAmong(const std::vector<const Endpoint *> &endpoints,
                                                TimePoint now) const;

    std::map<EndpointId, Endpoint> endpoints_;
    Active active_;
    /** Start times of erased endpoints, so that late entries don't bring them back. */
    std::map<EndpointId, std::int64_t> lastStarts_;
    RequestLimits limits_;
    int instances_ = 1;
    std::int64_t ownStartMillis_ = 0;
    TimePoint listedAsOf_ {};
};

} // namespace almondridge::gateway
