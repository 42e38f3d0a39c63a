#include "almondridge/control/enginetargets.h"

#include <algorithm>

namespace almondridge::control {
namespace {

using Roles = std::map<EndpointId, fleet::EngineRole>;

bool stays(const fleet::Endpoint &endpoint, const DomainId &domain,
           const std::set<EndpointId> &leaving)
{
    return endpoint.kind_ == fleet::EndpointKind::Engine && endpoint.domain_ == domain
           && !endpoint.leaving_ && leaving.count(endpoint.id_) == 0;
}

int outOfBounds(int count, int least, int most)
{
    return std::max({0, least - count, count - most});
}

/** Returns by how many engines the roles violate the domain's role bounds. */
int violation(const fleet::Fleet &fleet, const DomainId &domain, const Roles &roles)
{
    int missing = 0;
    for (const fleet::RoleBounds &bounds : fleet.roleBounds_) {
        if (bounds.domain_ != domain) {
            continue;
        }
        int prefill = 0;
        int decode = 0;
        for (const auto &[engine, role] : roles) {
            const bool ofModel = fleet.endpoints_.at(engine).model_ == bounds.model_;
            prefill += ofModel && role == fleet::EngineRole::Prefill ? 1 : 0;
            decode += ofModel && role == fleet::EngineRole::Decode ? 1 : 0;
        }
        missing += outOfBounds(prefill, bounds.minPrefill_, bounds.maxPrefill_);
        missing += outOfBounds(decode, bounds.minDecode_, bounds.maxDecode_);
    }
    return missing;
}

Roles boundedRoles(const fleet::Fleet &fleet, const DomainId &domain, const Roles &fileRoles,
                   const WantedRoles &wanted)
{
    Roles together = fileRoles;
    for (const auto &[engine, role] : wanted) {
        if (together.count(engine) != 0) {
            together[engine] = role;
        }
    }
    int missing = violation(fleet, domain, fileRoles);
    if (violation(fleet, domain, together) <= missing) {
        return together;
    }
    Roles roles = fileRoles;
    for (const auto &[engine, role] : together) {
        Roles next = roles;
        next[engine] = role;
        const int missingNext = violation(fleet, domain, next);
        if (missingNext <= missing) {
            roles = std::move(next);
            missing = missingNext;
        }
    }
    return roles;
}

EngineTarget targetOf(const fleet::Model &model, fleet::EngineRole role)
{
    EngineTarget target;
    target.model_ = model.id_;
    target.version_ = model.version_;
    for (const fleet::Adapter &adapter : model.adapters_) {
        target.adapters_.push_back(adapter.id_.value() + "@" + adapter.version_);
    }
    std::sort(target.adapters_.begin(), target.adapters_.end());
    target.role_ = role;
    return target;
}

} // namespace

std::map<EndpointId, EngineTarget> wantedTargets(const fleet::Fleet &fleet, const DomainId &domain,
                                                 const WantedRoles &roles,
                                                 const std::set<EndpointId> &leaving)
{
    Roles fileRoles;
    for (const auto &[id, endpoint] : fleet.endpoints_) {
        if (stays(endpoint, domain, leaving)) {
            fileRoles[id] = endpoint.role_;
        }
    }
    std::map<EndpointId, EngineTarget> targets;
    for (const auto &[id, role] : boundedRoles(fleet, domain, fileRoles, roles)) {
        const auto model = fleet.models_.find(fleet.endpoints_.at(id).model_);
        if (model != fleet.models_.end()) {
            targets[id] = targetOf(model->second, role);
        }
    }
    return targets;
}

bool needsLoad(const EngineTarget &from, const EngineTarget &to) noexcept
{
    return from.model_ != to.model_ || from.version_ != to.version_
           || from.adapters_ != to.adapters_;
}

bool differsInAdmitOnly(const EngineTarget &from, const EngineTarget &to)
{
    return from.admit_ != to.admit_ && withAdmit(from, to.admit_) == to;
}

EngineTarget withAdmit(EngineTarget target, bool admit)
{
    target.admit_ = admit;
    return target;
}

std::string describe(const EngineTarget &target)
{
    std::string text = target.model_.value() + "@" + target.version_;
    text += " role=" + std::string(nameOf(fleet::EngineRoleNames, target.role_));
    text += target.admit_ ? " admit=true" : " admit=false";
    for (const std::string &adapter : target.adapters_) {
        text += " adapter=" + adapter;
    }
    return text;
}

} // namespace almondridge::control
