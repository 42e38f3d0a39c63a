/**
 * Tracks which endpoints are withheld from new work, per source.
 */
#pragma once

#include "almondridge/control/reconciler.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>

namespace almondridge::app {

/** Engine availability of a domain, published by the lease holder; unlisted engines are open. */
struct Announcement
{
    Fence fence_ = 0;
    std::uint64_t version_ = 0; ///< Increases with each change under the same fence.
    std::map<EndpointId, control::Availability> withheld_;
};

nlohmann::json toJson(const Announcement &announcement);
/** Fails with Protocol if json is malformed. */
Result<Announcement> announcementFromJson(const nlohmann::json &json);

/**
 * Merges the lease holder's announcement with the leaving endpoints of the instance list and of
 * the fleet file. An endpoint is open unless one of these sources withholds it. Thread-safe.
 */
class AvailabilityTable
{
public:
    /**
     * Replaces the stored announcement and returns true. Returns false and changes nothing unless
     * its (fence, version) is newer, so that a holder with an expired lease cannot reopen engines
     * that its successor has withheld.
     */
    bool onAnnouncement(const Announcement &announcement);
    /** Records a change made by this instance as lease holder; returns the announcement to send. */
    Announcement announce(const EndpointId &engine, control::Availability availability,
                          Fence fence);
    Announcement announcement() const;

    void setListLeaving(std::set<EndpointId> leaving);
    void setFileLeaving(std::set<EndpointId> leaving);

    control::Availability availability(const EndpointId &endpoint) const;
    /** All endpoints that are not open. */
    std::map<EndpointId, control::Availability> withheld() const;

private:
    mutable std::mutex mutex_;
    Announcement announced_;
    std::set<EndpointId> listLeaving_;
    std::set<EndpointId> fileLeaving_;
};

} // namespace almondridge::app
