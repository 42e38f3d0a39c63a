#include "almondridge/fleet/fleetfile.h"

#include "fleetdraft.h"

#include <algorithm>

namespace almondridge::fleet {
namespace {

/** Turns the list into an object keyed by the elements' names, so that order doesn't matter. */
template <typename NameOf>
Json keyedBy(const Json &list, NameOf nameOfElement)
{
    Json object = Json::object();
    for (const Json &element : list) {
        object[nameOfElement(element)] = element;
    }
    return object;
}

std::string idOf(const Json &element)
{
    return element.at("id").get<std::string>();
}

std::string stringOf(const Json &element)
{
    return element.get<std::string>();
}

std::string routeKey(const Json &route)
{
    return route.at("method").get<std::string>() + " " + route.at("pathPrefix").get<std::string>();
}

std::string boundsKey(const Json &bounds)
{
    return bounds.at("domain").get<std::string>() + "/" + bounds.at("model").get<std::string>();
}

Json toComparableJson(const Fleet &fleet)
{
    Json json = writeDraft(draftOf(fleet));
    for (Json &model : json["models"]) {
        model["adapters"] = keyedBy(model["adapters"], idOf);
    }
    for (Json &service : json["services"]) {
        service["routes"] = keyedBy(service["routes"], routeKey);
    }
    for (const char *list : {"models", "services", "endpoints", "accounts"}) {
        json[list] = keyedBy(json[list], idOf);
    }
    json["domains"] = keyedBy(json["domains"], stringOf);
    json["roleBounds"] = keyedBy(json["roleBounds"], boundsKey);
    return json;
}

std::string textOf(const Json &value)
{
    return value.is_string() ? value.get<std::string>()
                             : value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** The schema bounds the recursion: the deepest path is models.ID.adapters.ID.version. */
// NOLINTNEXTLINE(misc-no-recursion)
void compare(const std::string &path, const Json &before, const Json &after,
             std::vector<FleetChange> &changes)
{
    if (before == after) {
        return;
    }
    if (!before.is_object() || !after.is_object()) {
        changes.push_back({path, textOf(before), textOf(after)});
        return;
    }
    const std::string prefix = path.empty() ? "" : path + ".";
    for (const auto &[key, value] : before.items()) {
        const auto other = after.find(key);
        if (other == after.end()) {
            changes.push_back({prefix + key, textOf(value), ""});
        } else {
            compare(prefix + key, value, *other, changes);
        }
    }
    for (const auto &[key, value] : after.items()) {
        if (!before.contains(key)) {
            changes.push_back({prefix + key, "", textOf(value)});
        }
    }
}

} // namespace

std::vector<FleetChange> diffFleets(const Fleet &before, const Fleet &after)
{
    std::vector<FleetChange> changes;
    compare("", toComparableJson(before), toComparableJson(after), changes);
    std::sort(
        changes.begin(), changes.end(),
        [](const FleetChange &left, const FleetChange &right) { return left.path_ < right.path_; });
    return changes;
}

} // namespace almondridge::fleet
