#include "world.h"

namespace almondridge::mix {

std::unique_ptr<World> makeWorld(const Day &day, const std::vector<fleet::EngineRole> &roles)
{
    auto world = std::make_unique<World>();
    world->day_ = &day;
    world->cut_.assign(day.domains_, false);
    for (int index = 0; index < day.engines(); ++index) {
        EngineSlot slot {Engine(roles[index % day.enginesPerDomain_]),
                         index,
                         index / day.enginesPerDomain_,
                         EngineState::Serving,
                         TimePoint {} - std::chrono::hours(1),
                         0,
                         {}};
        world->engines_.push_back(std::move(slot));
    }
    return world;
}

} // namespace almondridge::mix
