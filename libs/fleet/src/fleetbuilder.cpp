#include "almondridge/fleet/fleetbuilder.h"

#include "fleetdraft.h"

namespace almondridge::fleet {

FleetBuilder::FleetBuilder()
    : draft_(std::make_unique<FleetDraft>())
{ }

FleetBuilder::~FleetBuilder() = default;

FleetBuilder::FleetBuilder(const FleetBuilder &other)
    : draft_(std::make_unique<FleetDraft>(*other.draft_))
{ }

FleetBuilder &FleetBuilder::operator=(const FleetBuilder &other)
{
    *draft_ = *other.draft_;
    return *this;
}

FleetBuilder &FleetBuilder::name(std::string name)
{
    draft_->name_ = std::move(name);
    return *this;
}

FleetBuilder &FleetBuilder::domain(DomainId domain)
{
    draft_->domains_.push_back(std::move(domain));
    return *this;
}

FleetBuilder &FleetBuilder::model(Model model)
{
    draft_->models_.push_back(std::move(model));
    return *this;
}

FleetBuilder &FleetBuilder::service(Service service)
{
    draft_->services_.push_back(std::move(service));
    return *this;
}

FleetBuilder &FleetBuilder::endpoint(Endpoint endpoint)
{
    draft_->endpoints_.push_back(std::move(endpoint));
    return *this;
}

FleetBuilder &FleetBuilder::account(Account account)
{
    draft_->accounts_.push_back(std::move(account));
    return *this;
}

FleetBuilder &FleetBuilder::roleBounds(RoleBounds bounds)
{
    draft_->roleBounds_.push_back(std::move(bounds));
    return *this;
}

FleetBuilder &FleetBuilder::policy(Policy policy)
{
    draft_->policy_ = policy;
    return *this;
}

Result<Fleet> FleetBuilder::build() const
{
    // Uses the parser of fleet files, so that both apply the same rules.
    return fleetFromJson(Json(writeDraft(*draft_)));
}

} // namespace almondridge::fleet
