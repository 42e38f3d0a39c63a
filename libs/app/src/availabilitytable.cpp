#include "availabilitytable.h"

#include <tuple>

namespace almondridge::app {

using control::Availability;
using control::AvailabilityNames;

nlohmann::json toJson(const Announcement &announcement)
{
    nlohmann::json withheld = nlohmann::json::object();
    for (const auto &[engine, availability] : announcement.withheld_) {
        withheld[engine.value()] = nameOf(AvailabilityNames, availability);
    }
    return {{"fence", announcement.fence_},
            {"version", announcement.version_},
            {"withheld", std::move(withheld)}};
}

Result<Announcement> announcementFromJson(const nlohmann::json &json)
{
    try {
        Announcement announcement;
        announcement.fence_ = json.at("fence").get<Fence>();
        announcement.version_ = json.at("version").get<std::uint64_t>();
        for (const auto &[engine, name] : json.at("withheld").items()) {
            const auto availability = valueOf(AvailabilityNames, name.get<std::string>());
            announcement.withheld_[EndpointId(engine)] =
                availability.value_or(Availability::Unclear);
        }
        return announcement;
    } catch (const nlohmann::json::exception &failure) {
        return fail(ErrorKind::Protocol, std::string("malformed announcement: ") + failure.what(),
                    "run the same version on all instances");
    }
}

bool AvailabilityTable::onAnnouncement(const Announcement &announcement)
{
    const std::lock_guard lock(mutex_);
    if (std::tie(announcement.fence_, announcement.version_)
        <= std::tie(announced_.fence_, announced_.version_)) {
        return false;
    }
    announced_ = announcement;
    return true;
}

Announcement AvailabilityTable::announce(const EndpointId &engine, Availability availability,
                                         Fence fence)
{
    const std::lock_guard lock(mutex_);
    if (fence < announced_.fence_) {
        return announced_;
    }
    announced_.version_ = fence == announced_.fence_ ? announced_.version_ + 1 : 1;
    announced_.fence_ = fence;
    if (availability == Availability::Open) {
        announced_.withheld_.erase(engine);
    } else {
        announced_.withheld_[engine] = availability;
    }
    return announced_;
}

Announcement AvailabilityTable::announcement() const
{
    const std::lock_guard lock(mutex_);
    return announced_;
}

void AvailabilityTable::setListLeaving(std::set<EndpointId> leaving)
{
    const std::lock_guard lock(mutex_);
    listLeaving_ = std::move(leaving);
}

void AvailabilityTable::setFileLeaving(std::set<EndpointId> leaving)
{
    const std::lock_guard lock(mutex_);
    fileLeaving_ = std::move(leaving);
}

Availability AvailabilityTable::availability(const EndpointId &endpoint) const
{
    const std::lock_guard lock(mutex_);
    if (listLeaving_.contains(endpoint) || fileLeaving_.contains(endpoint)) {
        return Availability::Leaving;
    }
    const auto announced = announced_.withheld_.find(endpoint);
    return announced == announced_.withheld_.end() ? Availability::Open : announced->second;
}

std::map<EndpointId, Availability> AvailabilityTable::withheld() const
{
    const std::lock_guard lock(mutex_);
    std::map<EndpointId, Availability> all = announced_.withheld_;
    for (const EndpointId &endpoint : listLeaving_) {
        all[endpoint] = Availability::Leaving;
    }
    for (const EndpointId &endpoint : fileLeaving_) {
        all[endpoint] = Availability::Leaving;
    }
    return all;
}

} // namespace almondridge::app
