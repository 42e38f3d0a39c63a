/**
 * The only code that sends orders to engines. Each order has its own connection, which the lease
 * guard shuts down when the lease expires, even while the process is paused.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/control/records.h"

#include <memory>

namespace almondridge::control {

enum class EnginePhase { Ready, Changing, Unclear };

inline constexpr std::array<EnumName<EnginePhase>, 3> EnginePhaseNames {{
    {EnginePhase::Ready, "ready"},
    {EnginePhase::Changing, "changing"},
    {EnginePhase::Unclear, "unclear"},
}};

/** The state reported by an engine (GET /engine/state). */
struct EngineState
{
    EngineTarget target_;
    EnginePhase phase_ = EnginePhase::Unclear;
    int running_ = 0;            ///< Requests running or queued at the engine.
    Fence fence_ = 0;            ///< Fence of the last accepted order.
    std::uint64_t sequence_ = 0; ///< Sequence number of the last accepted order.
};

/** An order: the complete target state, with the fence of the lease of its accepted intent. */
struct EngineOrder
{
    Fence fence_ = 0;
    std::uint64_t sequence_ = 0;
    InstanceId holder_;
    EngineTarget target_;
};

/** The engine's control calls: over HTTP in production, a fake in tests. */
class EngineOrders
{
public:
    virtual ~EngineOrders() = default;
    virtual Result<EngineState> readState(const fleet::Endpoint &engine, TimePoint deadline) = 0;
    /**
     * Sends one order and returns the engine's new state. Must not send a byte after sendUntil.
     * Errors: StaleFence, the engine has accepted an order of a later lease; Overloaded, the
     * engine is carrying out another change; Interrupted, the order may have taken effect or may
     * do so until OrderNetworkBoundMillis from now. After any other error the order has no effect.
     */
    virtual Result<EngineState> send(const fleet::Endpoint &engine, const EngineOrder &order,
                                     TimePoint sendUntil, TimePoint deadline) = 0;
};

/** Sends orders over HTTP, each on a new guarded connection. */
std::unique_ptr<EngineOrders> makeHttpEngineOrders();

} // namespace almondridge::control
