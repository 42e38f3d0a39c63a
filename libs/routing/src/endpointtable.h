/**
 * The endpoints of the current fleet, grouped by model or service and by failure domain.
 */
#pragma once

#include "endpointload.h"
#include "failurebackoff.h"
#include "prefixcachetracker.h"
#include "reportreliability.h"

#include <array>
#include <span>
#include <unordered_map>

namespace almondridge::routing {

using SlotIndex = std::uint32_t;
using GroupIndex = std::uint32_t;

/** A place in the table for one endpoint. Slots are reused. */
struct EndpointSlot
{
    EndpointId id_;
    std::uint32_t generation_ = 1; ///< Incremented when the slot is freed.
    std::uint64_t idHash_ = 0;     ///< For rendezvous hashing; equal in all processes.
    GroupIndex group_ = 0;
    ModelId model_; ///< Empty for services.
    fleet::EndpointKind kind_ = fleet::EndpointKind::Engine;
    fleet::EngineRole configuredRole_ = fleet::EngineRole::Mixed;
    bool inUse_ = false;
    bool leaving_ = false; ///< Being removed from the fleet.
    Reachability reachability_ = Reachability::Open;
    EndpointLoad load_;
    FailureBackoff backoff_;
    CacheHitPrecision cacheHitPrecision_;

    /** The reported role, else the configured one. */
    fleet::EngineRole role() const { return load_.reportedRole().value_or(configuredRole_); }
    /** Whether the endpoint may get new requests, regardless of its back-off. */
    bool available() const
    {
        return inUse_ && !leaving_ && reachability_ == Reachability::Open && load_.admits();
    }
};

/** An endpoint that may get new requests. Has a copy of the hash, so ranking reads one array. */
struct AvailableEndpoint
{
    SlotIndex slot_ = 0;
    std::uint64_t idHash_ = 0;
};

/** The endpoints of one failure domain that serve the same model or service. */
struct EndpointGroup
{
    static constexpr std::size_t Roles = 3;

    DomainId domain_;
    std::vector<SlotIndex> members_;
    /** Services are under Mixed. */
    std::array<std::vector<AvailableEndpoint>, Roles> availableByRole_;
    bool listsOutdated_ = true; ///< availableByRole_ must be rebuilt before use.
    ReportReliability reportReliability_;
    TypicalLoad typical_;
    TimePoint typicalExpiresAt_ {}; ///< When to compute typical_ again.

    const std::vector<AvailableEndpoint> &available(fleet::EngineRole role) const
    {
        return availableByRole_[static_cast<std::size_t>(role)];
    }
};

/** Owns the state of all endpoints. */
class EndpointTable
{
public:
    EndpointTable(DomainId domain, LoadRules rules);

    /** Adds, updates and removes endpoints; keeps the state of those that stay. */
    void setFleet(const fleet::Fleet &fleet);

    /** Null if the endpoint is not in the current fleet. */
    EndpointSlot *find(const EndpointId &id);
    const EndpointSlot *find(const EndpointId &id) const;
    EndpointSlot &at(SlotIndex index) { return slots_[index]; }
    const EndpointSlot &at(SlotIndex index) const { return slots_[index]; }
    /** Null if the endpoint that ref was made for has been removed. */
    EndpointSlot *at(SlotRef ref);
    SlotRef refOf(SlotIndex index) const { return {index, slots_[index].generation_}; }
    SlotRef refOf(const EndpointSlot &slot) const { return refOf(indexOf(slot)); }
    SlotIndex indexOf(const EndpointSlot &slot) const
    {
        return static_cast<SlotIndex>(&slot - slots_.data());
    }
    /** Updates the report reliability of the slot's group. */
    void observeReport(const EndpointSlot &slot, const ReportOutcome &outcome);
    /** Call after any change that may affect the slot's available() or role(). */
    void markListsOutdated(const EndpointSlot &slot) { groups_[slot.group_].listsOutdated_ = true; }

    /** Groups that serve the model or service; the group of the local domain is first. */
    std::span<const GroupIndex> groupsFor(const ModelId &model, const ServiceId &service) const;
    /** Returns the group after updating its lists and typical load. */
    const EndpointGroup &refreshedGroup(GroupIndex index, TimePoint now);
    const EndpointGroup &group(GroupIndex index) const { return groups_[index]; }

    const DomainId &domain() const { return domain_; }
    const LoadRules &rules() const { return rules_; }
    std::size_t size() const { return byId_.size(); }

private:
    void removeMissing(const fleet::Fleet &fleet);
    void dropEmptyGroups();
    SlotIndex slotFor(const EndpointId &id);
    void addEndpoint(const fleet::Endpoint &endpoint);
    GroupIndex groupFor(const fleet::Endpoint &endpoint);
    void rebuildLists(EndpointGroup &group);
    TypicalLoad computeTypicalLoad(const EndpointGroup &group, TimePoint now) const;

    DomainId domain_;
    LoadRules rules_;
    std::vector<EndpointSlot> slots_;
    std::vector<SlotIndex> freeSlots_;
    std::unordered_map<EndpointId, SlotIndex> byId_;
    std::vector<EndpointGroup> groups_;
    std::unordered_map<ModelId, std::vector<GroupIndex>> byModel_;
    std::unordered_map<ServiceId, std::vector<GroupIndex>> byService_;
};

/** Combines two hashes; each bit of the result depends on all bits of both. */
constexpr std::uint64_t mixHashes(std::uint64_t left, std::uint64_t right) noexcept
{
    std::uint64_t mixed = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6U) + (left >> 2U));
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace almondridge::routing
