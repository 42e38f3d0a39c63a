/**
 * Parsing, validating, writing and comparing fleet files (JSON).
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/fleet/fleet.h"

#include <string_view>

namespace almondridge::fleet {

/**
 * Parses a fleet file. InvalidInput lists all invalid fields: unknown fields, wrong types,
 * references to missing objects, duplicate ids or addresses, role bounds that need more engines
 * than there are.
 */
Result<Fleet> parseFleet(std::string_view text);

/** The fleet as the text of a file, which parseFleet() parses to an equal Fleet. */
std::string writeFleet(const Fleet &fleet);

/** A difference between two fleets, as in "endpoints.e3.role", "decode", "prefill". */
struct FleetChange
{
    std::string path_;
    std::string before_; ///< Empty if the value was added.
    std::string after_;  ///< Empty if the value was removed.
};

/** The differences from one fleet to another, ordered by path. */
std::vector<FleetChange> diffFleets(const Fleet &before, const Fleet &after);

/** The service with the longest path prefix that matches the path; null if there is none. */
const Service *findService(const Fleet &fleet, std::string_view path) noexcept;

/** Whether a request may be repeated: by its route, or else by its method (GET and HEAD). */
Repeatability repeatabilityOf(const Service &service, std::string_view method,
                              std::string_view pathInService) noexcept;

} // namespace almondridge::fleet
