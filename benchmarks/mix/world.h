/**
 * The engines of a run as they really are, and the two kinds of strategy that act on them.
 */
#pragma once

#include "day.h"
#include "engine.h"
#include "scenario.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondridge::mix {

enum class EngineState { Serving, Changing, Withdrawn };

struct EngineSlot
{
    Engine engine_;
    int index_ = 0;
    int domain_ = 0;
    EngineState state_ = EngineState::Serving;
    TimePoint lastChange_ {};
    std::uint32_t generation_ = 0;     ///< Counts what makes a step's end void.
    std::deque<EngineReport> reports_; ///< Oldest first, back to the report lag.

    bool serving() const noexcept { return state_ == EngineState::Serving; }
};

struct World
{
    const Day *day_ = nullptr;
    std::vector<EngineSlot> engines_;
    std::vector<bool> cut_; ///< By domain.

    int domainOfEntry(int entry) const { return entry / day_->entriesPerDomain_; }
    bool reachable(int fromDomain, int toDomain) const
    {
        return fromDomain == toDomain || (!cut_[fromDomain] && !cut_[toDomain]);
    }
};

/** roles: by engine of a domain; all domains start alike. */
std::unique_ptr<World> makeWorld(const Day &day, const std::vector<fleet::EngineRole> &roles);

/** A request as an entry instance asks for a place for it. */
struct Query
{
    RequestIndex request_ = 0;
    int entry_ = 0;
    int promptTokens_ = 0; ///< 0: prefilled already, wants a place to decode.
    int outputTokens_ = 0; ///< Expected.
    TimePoint deadline_ {};
};

/** Where a request goes. Without prefill_ the decoding engine prefills too. */
struct Target
{
    std::optional<int> prefill_;
    int decode_ = 0; ///< -1: chosen when the prefill is done.
};

enum class Admit { Now, Wait, Never };

/** How entry instances choose engines. */
class Dispatcher
{
public:
    virtual ~Dispatcher() = default;
    virtual Admit admit(const Query &, TimePoint) { return Admit::Now; }
    /** Requests that were told to wait and may go now, or never. */
    virtual std::vector<std::pair<RequestIndex, Admit>> poll(TimePoint) { return {}; }
    virtual std::optional<Target> choose(const Query &query, TimePoint now) = 0;
    virtual void onReport(int /*entry*/, int /*engine*/, const EngineReport &, TimePoint) { }
    virtual void onServing(int /*engine*/, bool /*serving*/, TimePoint) { }
    virtual void onDispatched(const Query &, const Target &, TimePoint) { }
    /** The reading engine of a split request has done its part. */
    virtual void onPrefilled(RequestIndex, TimePoint) { }
    virtual void onFirstToken(RequestIndex, TimePoint) { }
    /** The request left its engine for a planned change and needs another place. */
    virtual void onTakenBack(RequestIndex, TimePoint) { }
    virtual void onFinished(RequestIndex, bool /*succeeded*/, TimePoint) { }
    virtual void onTick(TimePoint) { }
};

/** An engine as the control loop of its domain sees it: its last report is late. */
struct EngineSight
{
    int index_ = 0;
    fleet::EngineRole role_ = fleet::EngineRole::Mixed;
    bool available_ = true;
    TimePoint lastChange_ {};
    EngineReport report_;
};

struct RoleOrder
{
    int engine_ = 0;
    fleet::EngineRole to_ = fleet::EngineRole::Mixed;
    std::string reason_;
};

/** How a domain's control loop sets roles. */
class RoleControl
{
public:
    virtual ~RoleControl() = default;
    virtual void onDemand(int /*domain*/, planner::RoleRates /*tokens*/, TimePoint) { }
    virtual std::vector<RoleOrder> decide(int domain, const std::vector<EngineSight> &engines,
                                          TimePoint now) = 0;
    /** Roles to take on at once and for free when a phase begins; only the best known has any. */
    virtual std::vector<fleet::EngineRole> onPhase(std::size_t /*phase*/) { return {}; }
};

} // namespace almondridge::mix
