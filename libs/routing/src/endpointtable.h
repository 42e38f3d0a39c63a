/**
 * All endpoints of the fleet in force, in slots, grouped by what they serve and by failure domain.
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

struct EndpointSlot
{
    EndpointId id_;
    std::uint32_t generation_ = 1; ///< Grows when the slot gets another endpoint.
    std::uint64_t idHash_ = 0;     ///< For rendezvous hashing; the same in all processes.
    GroupIndex group_ = 0;
    ModelId model_; ///< Empty for services.
    fleet::EndpointKind kind_ = fleet::EndpointKind::Engine;
    fleet::EngineRole fileRole_ = fleet::EngineRole::Mixed;
    bool used_ = false;
    bool leaving_ = false;
    Reachability reachability_ = Reachability::Open;
    EndpointLoad load_;
    FailureBackoff backoff_;
    HitTrust trust_;

    fleet::EngineRole role() const { return load_.reportedRole().value_or(fileRole_); }
    /** Whether it may get new work at all, back-off aside. */
    bool open() const
    {
        return used_ && !leaving_ && reachability_ == Reachability::Open && load_.admits();
    }
};

/** An endpoint of a group that may get new work; its hash is here so that ranking reads one array.
 */
struct OpenEndpoint
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
    std::array<std::vector<OpenEndpoint>, Roles> openByRole_; ///< Services count as mixed.
    bool changed_ = true; ///< openByRole_ no longer agrees with the slots.
    ReportReliability worth_;
    TypicalLoad typical_;
    TimePoint typicalUntil_ {}; ///< typical_ is worked out anew from then on.

    const std::vector<OpenEndpoint> &open(fleet::EngineRole role) const
    {
        return openByRole_[static_cast<std::size_t>(role)];
    }
};

class EndpointTable
{
public:
    EndpointTable(DomainId domain, LoadRules rules);

    void setFleet(const fleet::Fleet &fleet);

    /** Null when the fleet in force does not have it. */
    EndpointSlot *find(const EndpointId &id);
    const EndpointSlot *find(const EndpointId &id) const;
    EndpointSlot &at(SlotIndex index) { return slots_[index]; }
    const EndpointSlot &at(SlotIndex index) const { return slots_[index]; }
    /** Null when the slot has gone to another endpoint since. */
    EndpointSlot *at(SlotRef ref);
    SlotRef refOf(SlotIndex index) const { return {index, slots_[index].generation_}; }
    SlotRef refOf(const EndpointSlot &slot) const { return refOf(indexOf(slot)); }
    SlotIndex indexOf(const EndpointSlot &slot) const
    {
        return static_cast<SlotIndex>(&slot - slots_.data());
    }
    /** Learns how far the reports of the slot's group may be believed. */
    void observeReport(const EndpointSlot &slot, const ReportOutcome &outcome);
    /** To be called after whatever may change a slot's open() or role(). */
    void markChanged(const EndpointSlot &slot) { groups_[slot.group_].changed_ = true; }

    /** Groups of the model or service, that of the own domain first. */
    std::span<const GroupIndex> groupsFor(const ModelId &model, const ServiceId &service) const;
    /** The group with its lists and typical load brought up to date. */
    const EndpointGroup &refreshed(GroupIndex index, TimePoint now);
    const EndpointGroup &group(GroupIndex index) const { return groups_[index]; }

    const DomainId &domain() const { return domain_; }
    const LoadRules &rules() const { return rules_; }
    std::size_t size() const { return byId_.size(); }

private:
    void removeMissing(const fleet::Fleet &fleet);
    void forgetEmptyGroups();
    SlotIndex slotFor(const EndpointId &id);
    void place(const fleet::Endpoint &endpoint);
    GroupIndex groupFor(const fleet::Endpoint &endpoint);
    void relist(EndpointGroup &group);
    TypicalLoad typicalOf(const EndpointGroup &group, TimePoint now) const;

    DomainId domain_;
    LoadRules rules_;
    std::vector<EndpointSlot> slots_;
    std::vector<SlotIndex> freeSlots_;
    std::unordered_map<EndpointId, SlotIndex> byId_;
    std::vector<EndpointGroup> groups_;
    std::unordered_map<ModelId, std::vector<GroupIndex>> byModel_;
    std::unordered_map<ServiceId, std::vector<GroupIndex>> byService_;
};

/** Mixes two hashes into one whose bits all depend on both. */
constexpr std::uint64_t mixHashes(std::uint64_t left, std::uint64_t right) noexcept
{
    std::uint64_t mixed = left ^ (right + 0x9e3779b97f4a7c15ULL + (left << 6U) + (left >> 2U));
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace almondridge::routing
