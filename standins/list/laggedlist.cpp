#include "list/laggedlist.h"

namespace almondridge::standins {
namespace {

Result<void> addEntries(const Json &entries, ListEntries &target)
{
    if (!entries.is_array()) {
        return wrongField("instances", entries, "an array of instances");
    }
    for (const Json &entry : entries) {
        if (!entry.is_object() || !entry.contains("id") || !entry["id"].is_string()) {
            return wrongField("instances", entry, "an object with an id");
        }
        target[entry["id"].get<std::string>()] = entry;
    }
    return {};
}

} // namespace

Result<void> LaggedList::replace(const Json &entries, TimePoint now)
{
    ListEntries changed;
    BOOST_LEAF_CHECK(addEntries(entries, changed));
    versions_.push_back({now, std::move(changed)});
    return {};
}

Result<void> LaggedList::update(const Json &set, const Json &remove, TimePoint now)
{
    ListEntries changed = latest();
    BOOST_LEAF_CHECK(addEntries(set, changed));
    for (const Json &id : remove) {
        std::string gone;
        BOOST_LEAF_CHECK(readValue("remove", id, gone));
        changed.erase(gone);
    }
    versions_.push_back({now, std::move(changed)});
    return {};
}

ListEntries LaggedList::shown(TimePoint now)
{
    const TimePoint wanted = now - millis(settings_.lagInMillis_);
    while (versions_.size() > 1 && versions_[1].since_ <= wanted) {
        versions_.pop_front();
    }
    return versions_.front().entries_;
}

} // namespace almondridge::standins
