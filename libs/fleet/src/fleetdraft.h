/**
 * A fleet before it is checked: lists, so that duplicates are still seen.
 */
#pragma once

#include "fieldcontext.h"

#include "almondridge/fleet/fleet.h"

namespace almondridge::fleet {

struct FleetDraft
{
    std::string name_;
    std::vector<DomainId> domains_;
    std::vector<Model> models_;
    std::vector<Service> services_;
    std::vector<Endpoint> endpoints_;
    std::vector<Account> accounts_;
    std::vector<RoleBounds> roleBounds_;
    Policy policy_;
};

FleetDraft draftOf(const Fleet &fleet);
OrderedJson writeDraft(const FleetDraft &draft);

/** Reads the fields one by one; errors go to errors. */
FleetDraft readDraft(const Json &json, std::vector<FieldError> &errors);
/** Checks what fields say about each other: names that dangle, duplicates, bounds. */
void checkDraft(const FleetDraft &draft, std::vector<FieldError> &errors);

/** Reads and checks. InvalidInput lists every wrong field at once. */
Result<Fleet> fleetFromJson(const Json &json);

} // namespace almondridge::fleet
