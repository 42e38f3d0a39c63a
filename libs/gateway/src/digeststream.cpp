#include "almondridge/gateway/digeststream.h"

#include <cmath>
#include <cstdlib>

namespace almondridge::gateway {
namespace {

/** A relay sends each endpoint once a second; after three missed times the load is unknown. */
constexpr Duration ExpireAfter = millis(3'000);
constexpr Duration ResendInterval = millis(1'000);

/** Tokens that a typical engine reads while a datagram travels between instances. */
constexpr std::int64_t MinTokenChange = 1'000;
constexpr int MinSlotUseChange = 2;
constexpr double MinFailureChange = 0.9;
/** Share of one packet's payload for loads; the rest is for the lists of a digest. */
constexpr std::size_t MaxLoadBytesPerDigest = 1'100;

bool hasChangedEnough(const EndpointLoad &now, const EndpointLoad &sent)
{
    return std::abs(now.queued_.all() - sent.queued_.all()) >= MinTokenChange
           || std::abs(now.slotUse_.all() - sent.slotUse_.all()) >= MinSlotUseChange
           || std::abs(now.failures_ - sent.failures_) >= MinFailureChange
           || now.isZero() != sent.isZero();
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
    // Stops at zero: the endpoint may have been listed after the digest came.
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

void DigestStream::apply(const LoadDigest &digest, const LoadTable *ownLoads, EndpointTable &table,
                         TimePoint now)
{
    if (digest.lifetime_ < newest_.lifetime_) {
        return;
    }
    if (digest.lifetime_ > newest_.lifetime_) {
        clear(table);
        newest_ = {};
    }
    lastReceivedAt_ = now;
    for (const auto &[id, load] : digest.loads_) {
        Value &value = values_[id];
        if (digest.sequence_ <= value.sequence_) {
            continue;
        }
        EndpointLoad remote = load;
        if (ownLoads != nullptr && ownLoads->contains(id)) {
            remote.remove(ownLoads->at(id));
        }
        replace(id, value.load_, remote, table);
        value = {remote, digest.sequence_, now};
    }
    if (digest.sequence_ > newest_.sequence_) {
        newest_ = digest;
        newest_.loads_.clear();
    }
}

void DigestStream::setInUse(bool inUse, EndpointTable &table)
{
    if (inUse == inUse_) {
        return;
    }
    // replace() changes the table only while this is set, also when it removes the values.
    inUse_ = true;
    for (const auto &[id, value] : values_) {
        inUse ? replace(id, {}, value.load_, table) : replace(id, value.load_, {}, table);
    }
    inUse_ = inUse;
}

void DigestStream::removeExpired(EndpointTable &table, TimePoint now)
{
    std::erase_if(values_, [&](const auto &entry) {
        const bool isExpired = entry.second.receivedAt_ + ExpireAfter < now;
        if (isExpired) {
            replace(entry.first, entry.second.load_, {}, table);
        }
        return isExpired;
    });
}

std::vector<LoadTable> DigestWriter::split(const LoadTable &sums)
{
    std::vector<LoadTable> parts;
    std::size_t bytes = 0;
    for (const auto &[id, load] : sums) {
        const std::size_t size = encodedBytes(id, load);
        if (parts.empty() || bytes + size > MaxLoadBytesPerDigest) {
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
        sent_.try_emplace(id);
    }
    LoadTable chosen;
    for (auto &[id, sent] : sent_) {
        const auto found = sums.find(id);
        const EndpointLoad load = found != sums.end() ? found->second : EndpointLoad {};
        if (!load.isZero()) {
            sent.zeroSince_ = {};
        } else if (sent.zeroSince_ == TimePoint {}) {
            sent.zeroSince_ = now;
        }
        if (sent.sentAt_ + ResendInterval <= now || hasChangedEnough(load, sent.load_)) {
            chosen[id] = load;
            sent.load_ = load;
            sent.sentAt_ = now;
        }
    }
    // A load of zero is sent until receivers that missed it have dropped the previous value.
    std::erase_if(sent_, [&](const auto &entry) {
        return entry.second.zeroSince_ != TimePoint {}
               && entry.second.zeroSince_ + ExpireAfter < now;
    });
    return split(chosen);
}

} // namespace almondridge::gateway
