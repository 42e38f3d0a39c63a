#include "almondridge/gateway/digeststream.h"

#include <cmath>
#include <cstdlib>

namespace almondridge::gateway {
namespace {

/** A relay tells each endpoint once a second; after three missed times its load is unknown. */
constexpr Duration SilentAfter = millis(3'000);
constexpr Duration ToldAgainAfter = millis(1'000);

/** Tokens that a usual engine reads within what a way between instances takes. */
constexpr std::int64_t TokensWorthTelling = 1'000;
constexpr int UsesWorthTelling = 2;
constexpr double FailuresWorthTelling = 0.9;
/** For loads, of the payload of one packet: the rest is for a digest's lists. */
constexpr std::size_t LoadBytesInDigest = 1'100;

bool isWorthTelling(const EndpointLoad &now, const EndpointLoad &told)
{
    return std::abs(now.queued_.all() - told.queued_.all()) >= TokensWorthTelling
           || std::abs(now.slotUse_.all() - told.slotUse_.all()) >= UsesWorthTelling
           || std::abs(now.failures_ - told.failures_) >= FailuresWorthTelling
           || now.isNone() != told.isNone();
}

} // namespace

void DigestStream::replace(const EndpointId &id, const EndpointLoad &before,
                           const EndpointLoad &after, EndpointTable &table) const
{
    Endpoint *endpoint = inUse_ ? table.find(id) : nullptr;
    if (endpoint == nullptr) {
        return;
    }
    endpoint->peerQueued_.remove(before.queued_);
    endpoint->peerSlotUse_.remove(before.slotUse_);
    // Never below zero: the endpoint may have been listed after it was told of.
    endpoint->peerFailures_ = std::max(0.0, endpoint->peerFailures_ - before.failures_);
    endpoint->peerQueued_.add(after.queued_);
    endpoint->peerSlotUse_.add(after.slotUse_);
    endpoint->peerFailures_ += after.failures_;
}

void DigestStream::clear(EndpointTable &table)
{
    for (const auto &[id, value] : values_) {
        replace(id, value.load_, {}, table);
    }
    values_.clear();
}

void DigestStream::take(const LoadDigest &digest, const LoadTable *counted, EndpointTable &table,
                        TimePoint now)
{
    if (digest.lifetime_ < newest_.lifetime_) {
        return;
    }
    if (digest.lifetime_ > newest_.lifetime_) {
        clear(table);
        newest_ = {};
    }
    heardAt_ = now;
    for (const auto &[id, load] : digest.loads_) {
        Value &value = values_[id];
        if (digest.number_ <= value.number_) {
            continue;
        }
        EndpointLoad foreign = load;
        if (counted != nullptr && counted->contains(id)) {
            foreign.remove(counted->at(id));
        }
        replace(id, value.load_, foreign, table);
        value = {foreign, digest.number_, now};
    }
    if (digest.number_ > newest_.number_) {
        newest_ = digest;
        newest_.loads_.clear();
    }
}

void DigestStream::setInUse(bool inUse, EndpointTable &table)
{
    if (inUse == inUse_) {
        return;
    }
    inUse_ = true; // For replace(), also the one that takes everything out.
    for (const auto &[id, value] : values_) {
        inUse ? replace(id, {}, value.load_, table) : replace(id, value.load_, {}, table);
    }
    inUse_ = inUse;
}

void DigestStream::forgetSilent(EndpointTable &table, TimePoint now)
{
    std::erase_if(values_, [&](const auto &entry) {
        const bool lapsed = entry.second.toldAt_ + SilentAfter < now;
        if (lapsed) {
            replace(entry.first, entry.second.load_, {}, table);
        }
        return lapsed;
    });
}

std::vector<LoadTable> DigestWriter::split(const LoadTable &sums)
{
    std::vector<LoadTable> parts;
    std::size_t bytes = 0;
    for (const auto &[id, load] : sums) {
        const std::size_t size = encodedBytes(id, load);
        if (parts.empty() || bytes + size > LoadBytesInDigest) {
            parts.emplace_back();
            bytes = 0;
        }
        bytes += size;
        parts.back()[id] = load;
    }
    return parts;
}

std::vector<LoadTable> DigestWriter::select(const LoadTable &sums, TimePoint now)
{
    for (const auto &[id, load] : sums) {
        told_.try_emplace(id);
    }
    LoadTable chosen;
    for (auto &[id, told] : told_) {
        const auto found = sums.find(id);
        const EndpointLoad load = found != sums.end() ? found->second : EndpointLoad {};
        if (!load.isNone()) {
            told.noneSince_ = {};
        } else if (told.noneSince_ == TimePoint {}) {
            told.noneSince_ = now;
        }
        if (told.at_ + ToldAgainAfter <= now || isWorthTelling(load, told.load_)) {
            chosen[id] = load;
            told.load_ = load;
            told.at_ = now;
        }
    }
    // Told as none for as long as whoever missed it would remember something else.
    std::erase_if(told_, [&](const auto &entry) {
        return entry.second.noneSince_ != TimePoint {}
               && entry.second.noneSince_ + SilentAfter < now;
    });
    return split(chosen);
}

} // namespace almondridge::gateway
