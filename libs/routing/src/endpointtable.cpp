#include "endpointtable.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

/** Medians move slowly against single queues, and sorting a group for each choice would not. */
constexpr Duration TypicalLife = millis(100);

constexpr std::size_t EmptyGroupsKept = 64;

/** FNV-1a rather than std::hash: every process must rank the endpoints alike. */
std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char letter : text) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001b3ULL;
    }
    return hash;
}

std::optional<double> median(std::vector<double> &values)
{
    if (values.empty()) {
        return std::nullopt;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

EndpointTable::EndpointTable(DomainId domain, LoadRules rules)
    : domain_(std::move(domain))
    , rules_(rules)
{ }

void EndpointTable::setFleet(const fleet::Fleet &fleet)
{
    removeMissing(fleet);
    forgetEmptyGroups();
    for (EndpointGroup &group : groups_) {
        group.members_.clear();
        group.changed_ = true;
    }
    for (const auto &[id, endpoint] : fleet.endpoints_) {
        place(endpoint);
    }
}

EndpointSlot *EndpointTable::find(const EndpointId &id)
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : &slots_[found->second];
}

const EndpointSlot *EndpointTable::find(const EndpointId &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : &slots_[found->second];
}

EndpointSlot *EndpointTable::at(SlotRef ref)
{
    const bool same = ref.index_ < slots_.size() && slots_[ref.index_].used_
                      && slots_[ref.index_].generation_ == ref.generation_;
    return same ? &slots_[ref.index_] : nullptr;
}

std::span<const GroupIndex> EndpointTable::groupsFor(const ModelId &model,
                                                     const ServiceId &service) const
{
    if (!model.empty()) {
        const auto found = byModel_.find(model);
        return found == byModel_.end() ? std::span<const GroupIndex>() : found->second;
    }
    const auto found = byService_.find(service);
    return found == byService_.end() ? std::span<const GroupIndex>() : found->second;
}

void EndpointTable::observeReport(const EndpointSlot &slot, const ReportOutcome &outcome)
{
    groups_[slot.group_].worth_.observe(outcome);
}

const EndpointGroup &EndpointTable::refreshed(GroupIndex index, TimePoint now)
{
    EndpointGroup &group = groups_[index];
    if (group.changed_) {
        relist(group);
    }
    if (now >= group.typicalUntil_) {
        group.typical_ = typicalOf(group, now);
        group.typicalUntil_ = now + TypicalLife;
    }
    return group;
}

void EndpointTable::removeMissing(const fleet::Fleet &fleet)
{
    std::erase_if(byId_, [&](const auto &entry) {
        if (fleet.endpoints_.contains(entry.first)) {
            return false;
        }
        const std::uint32_t generation = slots_[entry.second].generation_;
        slots_[entry.second] = EndpointSlot {};
        slots_[entry.second].generation_ = generation + 1;
        freeSlots_.push_back(entry.second);
        return true;
    });
}

void EndpointTable::forgetEmptyGroups()
{
    // Groups keep what they learnt from one file to the next, so those of models that are gone
    // would pile up over the months.
    const auto empty = static_cast<std::size_t>(
        std::count_if(groups_.begin(), groups_.end(),
                      [](const EndpointGroup &group) { return group.members_.empty(); }));
    if (empty * 2 > groups_.size() && empty > EmptyGroupsKept) {
        groups_.clear();
        byModel_.clear();
        byService_.clear();
    }
}

SlotIndex EndpointTable::slotFor(const EndpointId &id)
{
    const auto found = byId_.find(id);
    if (found != byId_.end()) {
        return found->second;
    }
    auto index = static_cast<SlotIndex>(slots_.size());
    if (freeSlots_.empty()) {
        slots_.emplace_back();
    } else {
        index = freeSlots_.back();
        freeSlots_.pop_back();
    }
    byId_[id] = index;
    slots_[index].id_ = id;
    slots_[index].idHash_ = stableHash(id.value());
    return index;
}

void EndpointTable::place(const fleet::Endpoint &endpoint)
{
    const SlotIndex index = slotFor(endpoint.id_);
    EndpointSlot &slot = slots_[index];
    if (slot.used_ && slot.model_ != endpoint.model_) {
        slot.load_.reset();
    }
    slot.model_ = endpoint.model_;
    slot.kind_ = endpoint.kind_;
    slot.fileRole_ = endpoint.role_;
    slot.leaving_ = endpoint.leaving_;
    slot.used_ = true;
    slot.group_ = groupFor(endpoint);
    groups_[slot.group_].members_.push_back(index);
}

GroupIndex EndpointTable::groupFor(const fleet::Endpoint &endpoint)
{
    std::vector<GroupIndex> &groups = endpoint.kind_ == fleet::EndpointKind::Engine
                                          ? byModel_[endpoint.model_]
                                          : byService_[endpoint.service_];
    const auto same = std::find_if(groups.begin(), groups.end(), [&](GroupIndex index) {
        return groups_[index].domain_ == endpoint.domain_;
    });
    if (same != groups.end()) {
        return *same;
    }
    const auto index = static_cast<GroupIndex>(groups_.size());
    groups_.emplace_back();
    groups_.back().domain_ = endpoint.domain_;
    groups.insert(endpoint.domain_ == domain_ ? groups.begin() : groups.end(), index);
    return index;
}

void EndpointTable::relist(EndpointGroup &group)
{
    for (std::vector<OpenEndpoint> &list : group.openByRole_) {
        list.clear();
    }
    for (const SlotIndex index : group.members_) {
        const EndpointSlot &slot = slots_[index];
        if (slot.open()) {
            group.openByRole_[static_cast<std::size_t>(slot.role())].push_back(
                {index, slot.idHash_});
        }
    }
    group.changed_ = false;
}

TypicalLoad EndpointTable::typicalOf(const EndpointGroup &group, TimePoint now) const
{
    std::vector<double> prefillRates;
    std::vector<double> decodeRates;
    std::vector<double> ahead;
    std::vector<double> outstanding;
    for (const SlotIndex index : group.members_) {
        const EndpointLoad &load = slots_[index].load_;
        if (!load.reportIsFresh(now, rules_)) {
            continue;
        }
        prefillRates.push_back(load.prefillRate({}));
        decodeRates.push_back(load.decodeRate({}));
        ahead.push_back(load.reportedByOthers(rules_));
        outstanding.push_back(load.outstanding(now, rules_, {}));
    }
    const double worth =
        rules_.mechanisms_.has(Mechanism::ReportReliability) ? group.worth_.share() : 1.0;
    const TypicalLoad before = group.typical_;
    return {median(prefillRates).value_or(before.prefillTokensPerSecond_),
            median(decodeRates).value_or(before.decodeTokensPerSecond_), median(ahead).value_or(0),
            median(outstanding).value_or(0), worth};
}

} // namespace almondridge::routing
