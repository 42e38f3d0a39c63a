/**
 * Builds a fleet in code, for tools and tests, with the same validation as a fleet file.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/fleet/fleet.h"

#include <memory>
#include <string>

namespace almondridge::fleet {

struct FleetDraft;

class FleetBuilder
{
public:
    FleetBuilder();
    ~FleetBuilder();
    FleetBuilder(const FleetBuilder &other);
    FleetBuilder &operator=(const FleetBuilder &other);

    FleetBuilder &name(std::string name);
    FleetBuilder &domain(DomainId domain);
    FleetBuilder &model(Model model);
    FleetBuilder &service(Service service);
    FleetBuilder &endpoint(Endpoint endpoint);
    FleetBuilder &account(Account account);
    FleetBuilder &roleBounds(RoleBounds bounds);
    FleetBuilder &policy(Policy policy);

    /** Validates and returns the fleet. InvalidInput lists all invalid fields, as in parseFleet().
     */
    Result<Fleet> build() const;

private:
    std::unique_ptr<FleetDraft> draft_;
};

} // namespace almondridge::fleet
