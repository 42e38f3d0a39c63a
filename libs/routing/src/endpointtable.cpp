#include "endpointtable.h"

#include <algorithm>

namespace almondridge::routing {
namespace {

/** Caches the medians, which change slowly, since computing them per choice is expensive. */
constexpr Duration TypicalLoadTtl = millis(100);

/** Empty groups are dropped only beyond this number. */
constexpr std::size_t MaxEmptyGroups = 64;

/** FNV-1a instead of std::hash, since all processes must rank endpoints equally. */
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
    dropEmptyGroups();
    for (EndpointGroup &group : groups_) {
        group.members_.clear();
        group.listsOutdated_ = true;
    }
    for (const auto &[id, endpoint] : fleet.endpoints_) {
        addEndpoint(endpoint);
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
    const bool same = ref.index_ < slots_.size() && slots_[ref.index_].inUse_
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
    groups_[slot.group_].reportReliability_.observe(outcome);
}

const EndpointGroup &EndpointTable::refreshedGroup(GroupIndex index, TimePoint now)
{
    EndpointGroup &group = groups_[index];
    if (group.listsOutdated_) {
        rebuildLists(group);
    }
    if (now >= group.typicalExpiresAt_) {
        group.typical_ = computeTypicalLoad(group, now);
        group.typicalExpiresAt_ = now + TypicalLoadTtl;
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

void EndpointTable::dropEmptyGroups()
{
    // Groups keep their state across configuration changes, so groups of removed models would
    // accumulate over months.
    const auto empty = static_cast<std::size_t>(
        std::count_if(groups_.begin(), groups_.end(),
                      [](const EndpointGroup &group) { return group.members_.empty(); }));
    if (empty * 2 > groups_.size() && empty > MaxEmptyGroups) {
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

void EndpointTable::addEndpoint(const fleet::Endpoint &endpoint)
{
    const SlotIndex index = slotFor(endpoint.id_);
    EndpointSlot &slot = slots_[index];
    if (slot.inUse_ && slot.model_ != endpoint.model_) {
        slot.load_.reset();
    }
    slot.model_ = endpoint.model_;
    slot.kind_ = endpoint.kind_;
    slot.configuredRole_ = endpoint.role_;
    slot.leaving_ = endpoint.leaving_;
    slot.inUse_ = true;
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

void EndpointTable::rebuildLists(EndpointGroup &group)
{
    for (std::vector<AvailableEndpoint> &list : group.availableByRole_) {
        list.clear();
    }
    for (const SlotIndex index : group.members_) {
        const EndpointSlot &slot = slots_[index];
        if (slot.available()) {
            group.availableByRole_[static_cast<std::size_t>(slot.role())].push_back(
                {index, slot.idHash_});
        }
    }
    group.listsOutdated_ = false;
}

TypicalLoad EndpointTable::computeTypicalLoad(const EndpointGroup &group, TimePoint now) const
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
        ahead.push_back(load.reportedTokensOfOthers(rules_));
        outstanding.push_back(load.outstanding(now, rules_, {}));
    }
    const double reportWeight = rules_.mechanisms_.has(Mechanism::ReportReliability)
                                    ? group.reportReliability_.weight()
                                    : 1.0;
    const TypicalLoad previous = group.typical_;
    return {median(prefillRates).value_or(previous.prefillTokensPerSecond_),
            median(decodeRates).value_or(previous.decodeTokensPerSecond_),
            median(ahead).value_or(0), median(outstanding).value_or(0), reportWeight};
}

} // namespace almondridge::routing
