#include "fleetview.h"

#include "digest.h"

#include <algorithm>

namespace almondridge::relay {
namespace {

constexpr std::string_view Scheme = "bearer ";

char lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

/** The key of "Bearer KEY", with the scheme in any case; empty for anything else. */
std::string_view bearerKey(std::string_view authorization)
{
    const bool bearer =
        authorization.size() > Scheme.size()
        && std::equal(Scheme.begin(), Scheme.end(), authorization.begin(),
                      [](char wanted, char given) { return wanted == lower(given); });
    return bearer ? authorization.substr(Scheme.size()) : std::string_view();
}

} // namespace

FleetView::FleetView(std::shared_ptr<const fleet::Fleet> fleet)
    : fleet_(std::move(fleet))
{
    for (const auto &[id, account] : fleet_->accounts_) {
        accountsByKey_.emplace(account.apiKeySha256_, id);
    }
    for (const auto &[id, endpoint] : fleet_->endpoints_) {
        engineCounts_[{endpoint.model_, endpoint.domain_}] += 1;
    }
    for (const auto &[id, model] : fleet_->models_) {
        modelsByName_.insert_or_assign(id.value(), id);
        for (const fleet::Adapter &adapter : model.adapters_) {
            modelsByName_.emplace(adapter.id_.value(), id);
        }
    }
}

int FleetView::engineCount(const ModelId &model, const DomainId &domain) const
{
    const auto found = engineCounts_.find({model, domain});
    return found == engineCounts_.end() ? 0 : found->second;
}

Result<fleet::Account> FleetView::accountOf(std::string_view authorization) const
{
    if (fleet_->accounts_.empty()) {
        return fleet::Account();
    }
    const std::string_view key = bearerKey(authorization);
    if (key.empty()) {
        return fail(ErrorKind::Unauthorized, "the API key is missing",
                    "send Authorization: Bearer KEY");
    }
    const auto found = accountsByKey_.find(sha256Hex(key));
    if (found == accountsByKey_.end()) {
        return fail(ErrorKind::Unauthorized, "the API key is of no account",
                    "use a key that the operators gave out and did not withdraw");
    }
    return fleet_->accounts_.at(found->second);
}

std::optional<ModelId> FleetView::findModel(const std::string &name) const
{
    const auto found = modelsByName_.find(name);
    return found == modelsByName_.end() ? std::nullopt : std::optional(found->second);
}

std::vector<std::string> FleetView::modelNames() const
{
    std::vector<std::string> names;
    names.reserve(modelsByName_.size());
    for (const auto &[name, model] : modelsByName_) {
        names.push_back(name);
    }
    return names;
}

} // namespace almondridge::relay
