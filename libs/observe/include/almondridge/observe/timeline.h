/**
 * The timeline: a bounded buffer of events in each process, merged over all processes on demand.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::observe {

enum class EventKind {
    Instance, ///< Start, readiness, stop of an instance.
    Peer,     ///< A peer was discovered, lost or refused.
    Apply,    ///< An apply was accepted, rejected or put in force.
    Lease,    ///< A lease was claimed, renewed, lost or released.
    Order,    ///< The intent, sending or result of an order to an engine.
    Endpoint, ///< The availability of an endpoint changed.
    Request,  ///< A request was accepted, refused, sent, resumed or finished.
    Plan,     ///< A role change was decided or declined.
    Platform, ///< The log, instance list or weight store was lost or is back.
};

inline constexpr std::array<EnumName<EventKind>, 9> EventKindNames {{
    {EventKind::Instance, "instance"},
    {EventKind::Peer, "peer"},
    {EventKind::Apply, "apply"},
    {EventKind::Lease, "lease"},
    {EventKind::Order, "order"},
    {EventKind::Endpoint, "endpoint"},
    {EventKind::Request, "request"},
    {EventKind::Plan, "plan"},
    {EventKind::Platform, "platform"},
}};

/** A timestamp of a hybrid logical clock: wall clock, and a counter within a millisecond. */
struct HybridTime
{
    std::int64_t wallMillis_ = 0;
    std::uint32_t counter_ = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive in the generated comparison.
    friend auto operator<=>(const HybridTime &, const HybridTime &) = default;
};

struct Event
{
    HybridTime time_;
    InstanceId instance_;
    DomainId domain_;
    EventKind kind_ = EventKind::Instance;
    std::string name_;                ///< As in "lease.claimed".
    std::string subject_;             ///< The request, endpoint, revision or peer concerned.
    std::string detail_;              ///< The reason (estimate, rule or lease), as key=value pairs.
    std::int64_t durationMillis_ = 0; ///< Of what the event ends; 0: none.
};

/** The events of one process. Thread-safe; when full, the oldest event is dropped. */
class Timeline
{
public:
    Timeline(InstanceId instance, DomainId domain, std::size_t capacity);

    /** Adds an event at the current time and logs it; events of requests at debug level. */
    void add(EventKind kind, std::string name, std::string subject, std::string detail = {},
             std::int64_t durationMillis = 0);

    /**
     * Advances the clock to the timestamp of a peer's message, unless that is too far ahead of the
     * wall clock.
     */
    void advanceClock(HybridTime time);
    /** A timestamp after all previous ones. */
    HybridTime now();

    std::vector<Event> events() const;
    /** Number of events dropped for newer ones. */
    std::uint64_t dropped() const;

private:
    HybridTime tickLocked();

    const InstanceId instance_;
    const DomainId domain_;
    const std::size_t capacity_;
    mutable std::mutex mutex_;
    std::deque<Event> events_;
    HybridTime last_;
    std::uint64_t dropped_ = 0;
};

/** Events of several processes in the order of their timestamps. */
std::vector<Event> mergeEvents(std::vector<std::vector<Event>> perInstance);

/** JSON array for transport between processes. */
std::string eventsToJson(const std::vector<Event> &events);
/** Parses the output of eventsToJson(). Skips entries that aren't events; never fails. */
std::vector<Event> eventsFromJson(std::string_view text);

/** Text with one line for each event. */
std::string timelineText(const std::vector<Event> &events);
/** Chrome's trace format: one process for each instance, one row for each kind. */
std::string timelineChromeTrace(const std::vector<Event> &events);
/** A self-contained HTML page with a chart of all instances. */
std::string timelineHtml(const std::vector<Event> &events);

} // namespace almondridge::observe
