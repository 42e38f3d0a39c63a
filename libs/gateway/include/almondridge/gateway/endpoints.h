/**
 * The endpoints as this instance believes them to be: what the platform's list says, the load
 * they told, what was sent to them and not answered yet, and whether they can be trusted.
 * Pure: events and the time go in.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/gateway/failurerates.h"
#include "almondridge/gateway/promptqueue.h"
#include "almondridge/gateway/slotuse.h"
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
    None,    ///< No engine, or one that does both.
    Prefill, ///< Reads prompts.
    Decode,  ///< Generates.
};

inline constexpr std::array<EnumName<Stage>, 3> StageNames {{
    {Stage::None, "none"},
    {Stage::Prefill, "prefill"},
    {Stage::Decode, "decode"},
}};

/** An endpoint's entry in the platform's list. */
struct ListedEndpoint
{
    EndpointId id_;
    ServiceId service_;
    net::Address address_;
    DomainId domain_;
    int slots_ = 1;
    bool draining_ = false;
    bool spot_ = false; ///< Cheap, and taken away with all others of its domain at once.
    Stage stage_ = Stage::None;
    /**
     * When its process started, by its own clock, since the Unix epoch; 0: it does not say. A
     * later one under the same id is a restart that holds nothing of before.
     */
    std::int64_t startedAtMillis_ = 0;

    friend bool operator==(const ListedEndpoint &, const ListedEndpoint &) = default;
};

/** An endpoint's word on its load, as answers carry it. */
struct LoadSample
{
    int running_ = 0;
    int waiting_ = 0;
    int slots_ = 0;
};

struct Endpoint
{
    ListedEndpoint listed_;
    std::uint64_t idHash_ = 0;   ///< For its place in orders of endpoints.
    bool isListed_ = true;      ///< False: its entry is gone and it gets no new work.
    std::uint64_t lifetime_ = 0; ///< Counts the restarts that this instance has seen.

    SlotUse slotUse_;           ///< By requests of ours without a whole answer, of this lifetime.
    SlotUse peerSlotUse_;    ///< By the other instances'; told of engines that generate.
    int openRequests_ = 0;         ///< Ours of all lifetimes: the entry is needed until they end.
    PromptQueue queued_;        ///< Of this instance's requests.
    PromptQueue peerQueued_; ///< Of the other instances', as they told.
    double prefillSpeed_ = 1;   ///< Against what is expected of a usual engine.
    LoadSample load_;
    TimePoint loadAt_ {};

    int failures_ = 0;           ///< In a row.
    RecentCount recentSends_;    ///< Requests of ours.
    RecentCount recentFailures_; ///< Of these, those that came to nothing.
    double peerFailures_ = 0;    ///< The other instances' recent ones, as they told.
    TimePoint circuitOpenUntil_ {};
    TimePoint changingUntil_ {}; ///< It carries out an order until about then, and refuses work.
    /** Requests of ours without a whole answer, of this lifetime. */
    int outstanding() const noexcept { return slotUse_.all(); }
    /** Slots that requests of all instances take or wait for, as far as is known. */
    SlotUse fleetSlotUse() const noexcept;
    /** Prompt tokens of all instances that it has still to read, up to an urgency. */
    std::int64_t fleetQueuedTokens(int urgency = UrgencyLevels - 1) const noexcept;
    /** Recent failures of all instances' requests, as far as is known. */
    double fleetFailures(TimePoint now) const { return recentFailures_.at(now) + peerFailures_; }
    /** Nothing is known of it that fades or ends, and nobody has a request there. */
    bool isIdle(TimePoint now) const noexcept;
    /** In a word, for metrics. */
    std::string_view stateName(TimePoint now) const noexcept;

    bool trialInFlight_ = false; ///< The one request that tests it again is on its way.

    /**
     * It could not be reached, or a peer said so. It gets no request until a connection to it
     * stands: with requests as tests, each instance loses one at each of the engines that a cut
     * or a crash took away, again and again.
     */
    bool awaitsProbe_ = false;
    TimePoint probeAt_ {}; ///< When a connection is tried; far away while one is.
    int failedProbes_ = 0;
    TimePoint probeSucceededAt_ {};   ///< When a test last reached it.
    TimePoint unreachableAt_ {}; ///< When a request of ours last found it away or silent.
    TimePoint healthyAt_ {};     ///< When it last answered one.
};

/** What an answer, or its absence, says of an endpoint. */
enum class HealthSignal {
    Healthy,       ///< A whole answer of its own.
    Overloaded,  ///< It refused for want of room.
    Declined,   ///< It refused though it has room: it changes, or is another one than listed.
    ServerError, ///< An answer 5xx of its own.
    Broken,      ///< Connection reset or cut, or bytes that are no answer.
    Unreachable, ///< No connection could be made.
    TimedOut,      ///< No answer in the time that any sound endpoint needs.
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

/** What a new word of an endpoint came to. */
enum class ListingChange {
    Unchanged,      ///< Nothing new, or the word of an earlier lifetime.
    Changed,   ///< It changes what may be sent there.
    Restarted, ///< It has started again and holds nothing of before.
};

class EndpointTable
{
public:
    /**
     * Adds or changes an entry. After a restart all that was known of the endpoint is forgotten;
     * an entry of an earlier lifetime, which may come late, changes nothing.
     */
    ListingChange list(const ListedEndpoint &listed, TimePoint now);
    /** Its entry is gone. It is forgotten once nothing is outstanding. */
    bool unlist(const EndpointId &id);

    /** To change it: it is among the active ones from then on. */
    Endpoint *find(const EndpointId &id);
    const Endpoint *find(const EndpointId &id) const;
    /** Those of a service that may get new work, in the order of their ids. */
    std::vector<const Endpoint *> usable(const ServiceId &service, TimePoint now) const;
    /** How many instances send to these endpoints, about as much each. */
    void setInstances(int count) { instances_ = count; }
    /** Those of a service that are listed and not draining, trusted or not. */
    std::vector<const Endpoint *> listed(const ServiceId &service) const;
    const std::map<EndpointId, Endpoint> &all() const noexcept { return endpoints_; }
    using Active = std::map<EndpointId, const Endpoint *>;
    /**
     * Those with requests, failures, orders or tests of late, by whoever. What is done many times a
     * second goes through these alone: most endpoints of a large fleet are idle.
     */
    const Active &active() const noexcept { return active_; }
    /** Takes those out of the active ones that are idle by now. */
    void deactivateIdle(TimePoint now);

    /** An order was given to it, or a peer said so. */
    void onChanging(const EndpointId &id, TimePoint until);
    void onSent(const EndpointId &id, int urgency, std::int64_t promptTokens, TimePoint now);
    void onPrefilled(const EndpointId &id, int urgency, std::int64_t promptTokens);
    /** A prompt that a usual engine reads in the expected time, its queue included, took this. */
    void onPrefillTime(const EndpointId &id, double expectedMillis, double milliseconds);
    void onClosed(const EndpointId &id, int urgency);
    /** The same for a request that was sent before the endpoint restarted. */
    void onClosedOfEarlierLifetime(const EndpointId &id);
    void onLoad(const EndpointId &id, const LoadSample &load, TimePoint now);
    /** A request that it took has heard nothing for long: a connection tells whether it is gone. */
    void onSuspected(const EndpointId &id, TimePoint now);
    /** A peer could not reach it: it is tested, unless it has answered us a moment ago. */
    void onPeerReportedUnreachable(const EndpointId &id, TimePoint now);
    /** Endpoints to try a connection to now. The result of each is told by onProbed(). */
    std::vector<EndpointId> takeDueProbes(TimePoint now);
    void onProbed(const EndpointId &id, bool reached, TimePoint now);
    /** Those that get no work, as they fail far more often than the others of their stage. */
    std::vector<const Endpoint *> outliers(TimePoint now) const;
    /** Endpoints that requests of this instance found away or silent a moment ago. */
    std::vector<EndpointId> recentlyUnreachable(TimePoint now) const;
    /** An engine with room could not fetch what another had read: either may be to blame. */
    void onHandoverRefused(const EndpointId &source, const EndpointId &target, TimePoint now);
    /** True when it was trusted and is not any more, or the other way round. */
    bool onHealthSignal(const EndpointId &id, HealthSignal signal, TimePoint now);

private:
    void forgetIfDone(const EndpointId &id);
    std::int64_t lastKnownStart(const EndpointId &id) const;
    static void restart(Endpoint &endpoint, TimePoint now);
    static void scheduleProbe(Endpoint &endpoint, TimePoint probeAt);
    /** Those that may get new work by all that is known of each alone. */
    std::vector<const Endpoint *> available(const ServiceId &service, TimePoint now) const;
    static void cancelProbe(Endpoint &endpoint);
    /** Those of endpoints that fail far more often than the others of their stage. */
    std::vector<const Endpoint *> outliersAmong(const std::vector<const Endpoint *> &endpoints,
                                          TimePoint now) const;

    std::map<EndpointId, Endpoint> endpoints_;
    Active active_;
    /** Of endpoints that are forgotten: an entry of before must not bring them back. */
    std::map<EndpointId, std::int64_t> lastStarts_;
    int instances_ = 1;
};

} // namespace almondridge::gateway
