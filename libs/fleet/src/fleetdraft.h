/**
 * A fleet before validation, with lists instead of maps so that duplicates can be detected.
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

/** Reads and checks each field on its own, and adds errors to errors. */
FleetDraft readDraft(const Json &json, std::vector<FieldError> &errors);
/** Checks constraints between fields: references to missing objects, duplicates, role bounds. */
void checkDraft(const FleetDraft &draft, std::vector<FieldError> &errors);

/** Reads and validates a fleet. InvalidInput lists all invalid fields. */
Result<Fleet> fleetFromJson(const Json &json);

} // namespace almondridge::fleet
