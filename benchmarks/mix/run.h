/**
 * One run: a trace served under one dispatcher and one role control, in virtual time.
 */
#pragma once

#include "measures.h"
#include "world.h"

#include <queue>

namespace almondridge::mix {

/** What a run is made of. The strategies are the run's own. */
struct RunParts
{
    Scenario scenario_;
    const Trace *trace_ = nullptr;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::unique_ptr<RoleControl> control_;
    World *world_ = nullptr; ///< Set up by makeWorld(); the strategies may know it.
};

class Run
{
public:
    explicit Run(RunParts parts);
    Measures measure();

private:
    enum class EventKind {
        Arrival,
        StepEnd,
        Landing,
        Deadline,
        Back,
        ReportTick,
        ControlTick,
        PhaseStart
    };
    static constexpr std::size_t EventKinds = 8;

    struct Event
    {
        TimePoint at_ {};
        std::uint64_t order_ = 0;
        EventKind kind_ = EventKind::Arrival;
        std::uint32_t subject_ = 0;
        std::uint32_t generation_ = 0;

        friend bool operator>(const Event &left, const Event &right)
        {
            return std::pair(left.at_, left.order_) > std::pair(right.at_, right.order_);
        }
    };

    enum class Stage { New, Waiting, Prefilling, Travelling, Decoding, Done };

    /** A request in work. */
    struct Live
    {
        Stage stage_ = Stage::New;
        int engine_ = -1;
        int decodeAt_ = -1;
        int tokensLeft_ = 0;
        std::uint32_t generation_ = 0;
        std::optional<TimePoint> firstToken_;
        TimePoint leftAt_ {};  ///< When the stream left its last engine.
        double processed_ = 0; ///< Tokens of work put into it.
    };

    void schedule(TimePoint at, EventKind kind, std::uint32_t subject,
                  std::uint32_t generation = 0);
    void onArrival(const Event &event);
    void onStepEnd(const Event &event);
    void onLanding(const Event &event);
    void onDeadline(const Event &event);
    void onBack(const Event &event);
    void onReportTick(const Event &event);
    void onControlTick(const Event &event);
    void onPhaseStart(const Event &event);

    Query queryOf(RequestIndex request, bool prefilled) const;
    void dispatch(RequestIndex request);
    void refuse(RequestIndex request);
    void travel(RequestIndex request, int tokens);
    void firstToken(RequestIndex request);
    void end(RequestIndex request, bool useful);
    void kick(EngineSlot &slot);
    void vacate(EngineSlot &slot);
    void changeRole(EngineSlot &slot, fleet::EngineRole to, const std::string &reason);
    void applyFaults();
    void setWithdrawn(EngineSlot &slot, bool withdrawn);
    void pollWaiting();
    void deliverReports();
    void controlDomain(int domain);
    void markSlot();
    bool frozen(int domain) const;
    double share() const { return toSeconds(now_.time_since_epoch()) / trace().seconds_; }
    const Trace &trace() const { return *parts_.trace_; }

    RunParts parts_;
    World &world_;
    Measures measures_;
    TimePoint now_ {};
    TimePoint dayEnd_ {};
    std::uint64_t order_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
    std::vector<Live> live_;
    std::vector<planner::RoleRates> demand_; ///< By domain, since the last control tick.
};

} // namespace almondridge::mix
