/**
 * The product's own dispatch: a Router and an Admission for each entry instance.
 */
#pragma once

#include "almondridge/routing/router.h"
#include "world.h"

namespace almondridge::mix {

struct RoutedSetup
{
    std::vector<routing::Mechanism> without_ {};
    int randomCandidates_ = 0; ///< 0: the router's own number.
    bool spillOver_ = true;    ///< Goes to another domain when the router says so.
};

std::unique_ptr<Dispatcher> makeRouted(const World &world, const RoutedSetup &setup);

} // namespace almondridge::mix
