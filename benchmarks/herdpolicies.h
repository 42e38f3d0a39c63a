/**
 * The ways of choosing an engine that the herd benchmark compares.
 */
#pragma once

#include "almondridge/routing/router.h"
#include "herdmodel.h"

#include <functional>

namespace almondridge::herd {

/** Each entry takes the engines in turn. */
std::unique_ptr<Policy> makeRoundRobin(const Scenario &scenario);
/** Believes the last report of so many random engines. */
std::unique_ptr<Policy> makeByReport(const Scenario &scenario, std::size_t candidates);
/** One routing::Router for each entry, built after change. */
std::unique_ptr<Policy> makeRouters(const Scenario &scenario,
                                    const std::function<void(routing::Router::Builder &)> &change);

} // namespace almondridge::herd
