/**
 * A fleet in force with indexes for requests: client accounts by API key, and models by name or
 * adapter name.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/fleet/fleet.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondridge::relay {

/** Immutable, hence thread-safe. */
class FleetView
{
public:
    explicit FleetView(std::shared_ptr<const fleet::Fleet> fleet);

    const fleet::Fleet &fleet() const noexcept { return *fleet_; }
    const std::shared_ptr<const fleet::Fleet> &shared() const noexcept { return fleet_; }

    /**
     * The client account of an Authorization header; an unnamed one when the fleet has no accounts.
     * Unauthorized when the key is missing or belongs to no account.
     */
    Result<fleet::Account> accountOf(std::string_view authorization) const;
    /** Finds a model by its name or by the name of one of its adapters. */
    std::optional<ModelId> findModel(const std::string &name) const;
    /** Number of engines for the model in the failure domain. */
    int engineCount(const ModelId &model, const DomainId &domain) const;
    /** All names that findModel() finds, sorted. */
    std::vector<std::string> modelNames() const;

private:
    std::shared_ptr<const fleet::Fleet> fleet_;
    std::unordered_map<std::string, AccountId> accountsByKey_;
    std::map<std::string, ModelId> modelsByName_;
    std::map<std::pair<ModelId, DomainId>, int> engineCounts_;
};

} // namespace almondridge::relay
