/**
 * The orders that an engine takes: the fence check, the target and the phase. Pure.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "common/fieldtable.h"
#include "engine/role.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondridge::standins {

/** The whole state that an engine shall be in. */
struct Target
{
    std::string model_;
    std::string version_;
    std::vector<std::string> adapters_; ///< "id@version", sorted.
    Role role_ = Role::Mixed;
    bool admit_ = true;

    friend bool operator==(const Target &, const Target &) = default;
};

/** InvalidInput when a field is missing or has a wrong type. */
Result<Target> readTarget(const Json &json);
Json toJson(const Target &target);

struct Order
{
    Fence fence_ = 0;
    std::uint64_t sequence_ = 0;
    std::string holder_;
    Target target_;
};

/** InvalidInput when a field is missing or has a wrong type. */
Result<Order> readOrder(const Json &json);

enum class Phase { Ready, Changing, Unclear };

inline constexpr std::array<EnumName<Phase>, 3> PhaseNames {{
    {Phase::Ready, "ready"},
    {Phase::Changing, "changing"},
    {Phase::Unclear, "unclear"},
}};

enum class OrderVerdict { Accepted, StaleFence, Busy };

/** What an accepted order asks for. */
struct OrderEffect
{
    OrderVerdict verdict_ = OrderVerdict::Accepted;
    bool stale_ = false;      ///< Older than the last one taken, whether refused or not.
    bool change_ = false;     ///< The engine goes away for a while.
    bool roleChange_ = false; ///< The change is one of role.
    bool loadModel_ = false;  ///< The change needs the model's weights.
    std::vector<std::string> loadAdapters_ {}; ///< The change needs these adapters.
};

/** Not thread-safe. */
class OrderBook
{
public:
    explicit OrderBook(Target initial);

    /**
     * Takes or refuses an order. An order with the last fence and sequence is a repetition and is
     * taken again when its target is the same; with another target it is stale.
     */
    OrderEffect take(const Order &order, bool checksFence);
    /** The change under way is through. */
    void finishChange();
    /** All is lost, the last fence too; the engine comes up with its initial target. */
    void crash();
    /** All is lost, and the engine does not know what it serves until the next order. */
    void crashUnclear();

    const Target &target() const noexcept { return target_; }
    Phase phase() const noexcept { return phase_; }
    Fence fence() const noexcept { return fence_; }
    std::uint64_t sequence() const noexcept { return sequence_; }

private:
    bool isStale(const Order &order) const;

    Target initial_;
    Target target_;
    Phase phase_ = Phase::Ready;
    Fence fence_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace almondridge::standins
