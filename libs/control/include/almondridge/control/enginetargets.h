/**
 * Computes the target state of each engine of a failure domain from the fleet file and the
 * planner's roles.
 */
#pragma once

#include "almondridge/control/records.h"

#include <map>
#include <set>

namespace almondridge::control {

/** The roles wanted by the planner; other engines keep the fleet file's role. */
using WantedRoles = std::map<EndpointId, fleet::EngineRole>;

/**
 * Returns the targets of the domain's engines, except for those that the fleet file or leaving
 * marks as leaving. Wanted roles are used as far as the file's role bounds allow: all of them if
 * together they respect the bounds, otherwise each one that does, in the order of the ids.
 */
std::map<EndpointId, EngineTarget> wantedTargets(const fleet::Fleet &fleet, const DomainId &domain,
                                                 const WantedRoles &roles,
                                                 const std::set<EndpointId> &leaving = {});

/** Whether the engine has to fetch weights to change from one target to the other. */
bool needsLoad(const EngineTarget &from, const EngineTarget &to) noexcept;

/** Whether the targets differ only in admit_, which takes effect immediately. */
bool differsInAdmitOnly(const EngineTarget &from, const EngineTarget &to);

/** Returns the target with admit_ set to admit. */
EngineTarget withAdmit(EngineTarget target, bool admit);

/** A readable form for logs: "model@version role=decode admit=true adapter=a@1". */
std::string describe(const EngineTarget &target);

} // namespace almondridge::control
