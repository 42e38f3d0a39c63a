#include "fleetdraft.h"

#include <algorithm>
#include <set>

namespace almondridge::fleet {
namespace {

/** Checks that a referenced object exists. Empty names have been reported when they were read. */
template <typename Id>
void checkReference(const FieldContext &at, const Id &id, const std::set<Id> &known,
                    std::string_view list)
{
    if (!id.empty() && known.count(id) == 0) {
        at.addErrorText('"' + id.value() + '"',
                        "name one of " + std::string(list) + ", or add it there");
    }
}

/** Reports values that occur more than once. */
template <typename Value>
class Uniqueness
{
public:
    void check(const FieldContext &at, const Value &value, const std::string &shown)
    {
        if (!shown.empty() && !seen_.insert(value).second) {
            at.addErrorText('"' + shown + '"',
                            "write it once; it is a duplicate of an earlier entry");
        }
    }

private:
    std::set<Value> seen_;
};

template <typename Value>
auto idsOf(const std::vector<Value> &values)
{
    std::set<decltype(values.front().id_)> ids;
    for (const Value &value : values) {
        ids.insert(value.id_);
    }
    return ids;
}

template <typename Value>
void checkIds(const FieldContext &list, const std::vector<Value> &values)
{
    Uniqueness<decltype(values.front().id_)> unique;
    for (std::size_t index = 0; index < values.size(); ++index) {
        unique.check(list.element(index).member("id"), values[index].id_,
                     values[index].id_.value());
    }
}

void checkDomains(const FieldContext &root, const FleetDraft &draft)
{
    const FieldContext list = root.member("domains");
    if (draft.domains_.empty()) {
        list.addErrorText("(empty)", "name at least one failure domain");
    }
    Uniqueness<DomainId> unique;
    for (std::size_t index = 0; index < draft.domains_.size(); ++index) {
        unique.check(list.element(index), draft.domains_[index], draft.domains_[index].value());
    }
}

void checkModels(const FieldContext &root, const FleetDraft &draft)
{
    const FieldContext list = root.member("models");
    checkIds(list, draft.models_);
    for (std::size_t index = 0; index < draft.models_.size(); ++index) {
        checkIds(list.element(index).member("adapters"), draft.models_[index].adapters_);
    }
}

void checkRoutes(const FieldContext &list, const std::vector<Route> &routes)
{
    Uniqueness<std::string> unique;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        const std::string call = routes[index].method_ + " " + routes[index].pathPrefix_;
        unique.check(list.element(index), call, call);
    }
}

void checkServices(const FieldContext &root, const FleetDraft &draft)
{
    const FieldContext list = root.member("services");
    checkIds(list, draft.services_);
    Uniqueness<std::string> prefixes;
    for (std::size_t index = 0; index < draft.services_.size(); ++index) {
        const Service &service = draft.services_[index];
        prefixes.check(list.element(index).member("pathPrefix"), service.pathPrefix_,
                       service.pathPrefix_);
        checkRoutes(list.element(index).member("routes"), service.routes_);
    }
}

void checkEndpoints(const FieldContext &root, const FleetDraft &draft)
{
    const FieldContext list = root.member("endpoints");
    checkIds(list, draft.endpoints_);
    const std::set<DomainId> domains(draft.domains_.begin(), draft.domains_.end());
    const auto models = idsOf(draft.models_);
    const auto services = idsOf(draft.services_);
    Uniqueness<std::string> addresses;
    for (std::size_t index = 0; index < draft.endpoints_.size(); ++index) {
        const Endpoint &endpoint = draft.endpoints_[index];
        const FieldContext at = list.element(index);
        checkReference(at.member("domain"), endpoint.domain_, domains, "domains");
        checkReference(at.member("model"), endpoint.model_, models, "models");
        checkReference(at.member("service"), endpoint.service_, services, "services");
        addresses.check(at.member("address"), endpoint.address_, endpoint.address_);
    }
}

void checkAccounts(const FieldContext &root, const FleetDraft &draft)
{
    const FieldContext list = root.member("accounts");
    checkIds(list, draft.accounts_);
    Uniqueness<std::string> keys;
    for (std::size_t index = 0; index < draft.accounts_.size(); ++index) {
        const Account &account = draft.accounts_[index];
        keys.check(list.element(index).member("apiKeySha256"), account.apiKeySha256_,
                   account.apiKeySha256_);
    }
}

/** Engines that the planner can assign a role to: those that aren't leaving. */
std::int64_t countEngines(const FleetDraft &draft, const RoleBounds &bounds)
{
    return std::count_if(
        draft.endpoints_.begin(), draft.endpoints_.end(), [&](const Endpoint &endpoint) {
            return endpoint.kind_ == EndpointKind::Engine && endpoint.domain_ == bounds.domain_
                   && endpoint.model_ == bounds.model_ && !endpoint.leaving_;
        });
}

void checkBounds(const FieldContext &at, const RoleBounds &bounds, std::int64_t engines)
{
    if (bounds.minPrefill_ > bounds.maxPrefill_) {
        at.member("minPrefill")
            .addErrorText(std::to_string(bounds.minPrefill_), "write at most maxPrefill");
    }
    if (bounds.minDecode_ > bounds.maxDecode_) {
        at.member("minDecode")
            .addErrorText(std::to_string(bounds.minDecode_), "write at most maxDecode");
    }
    const std::int64_t minEngines = std::int64_t {bounds.minPrefill_} + bounds.minDecode_;
    if (minEngines > engines) {
        at.addErrorText("minPrefill + minDecode = " + std::to_string(minEngines),
                        "ask for at most the " + std::to_string(engines)
                            + " engines of the model in this failure domain that aren't leaving");
    }
}

void checkRoleBounds(const FieldContext &root, const FleetDraft &draft)
{
    const FieldContext list = root.member("roleBounds");
    const std::set<DomainId> domains(draft.domains_.begin(), draft.domains_.end());
    const auto models = idsOf(draft.models_);
    Uniqueness<std::string> unique;
    for (std::size_t index = 0; index < draft.roleBounds_.size(); ++index) {
        const RoleBounds &bounds = draft.roleBounds_[index];
        const FieldContext at = list.element(index);
        checkReference(at.member("domain"), bounds.domain_, domains, "domains");
        checkReference(at.member("model"), bounds.model_, models, "models");
        const std::string pair = bounds.domain_.value() + " " + bounds.model_.value();
        unique.check(at, pair, pair);
        checkBounds(at, bounds, countEngines(draft, bounds));
    }
}

} // namespace

void checkDraft(const FleetDraft &draft, std::vector<FieldError> &errors)
{
    const FieldContext root(errors);
    checkDomains(root, draft);
    checkModels(root, draft);
    checkServices(root, draft);
    checkEndpoints(root, draft);
    checkAccounts(root, draft);
    checkRoleBounds(root, draft);
}

} // namespace almondridge::fleet
