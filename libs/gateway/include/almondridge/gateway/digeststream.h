/**
 * The endpoint loads from the digests of one relay, which are added to the endpoints' load from
 * other instances while the stream is in use. Pure.
 *
 * Digests are datagrams that may be late, duplicated, reordered or lost. Each value carries the
 * sequence number of its digest, and only a later digest replaces it; a value that is not sent
 * again expires.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/gateway/endpoints.h"
#include "almondridge/gateway/loaddigest.h"

namespace almondridge::gateway {

class DigestStream
{
public:
    /**
     * Applies a digest. ownLoads: this instance's own share of the sums, which is subtracted;
     * nullptr: the sums do not include it.
     */
    void apply(const LoadDigest &digest, const LoadTable *ownLoads, EndpointTable &table,
               TimePoint now);
    /** Sets whether the values are added to the endpoints' load from other instances. */
    void setInUse(bool inUse, EndpointTable &table);
    /** Drops endpoints without a recent digest; all of them if the relay is silent. */
    void removeExpired(EndpointTable &table, TimePoint now);

    /** The newest digest without its loads. */
    const LoadDigest &newest() const noexcept { return newest_; }
    TimePoint lastReceivedAt() const noexcept { return lastReceivedAt_; }
    bool isInUse() const noexcept { return inUse_; }

private:
    struct Value
    {
        EndpointLoad load_;
        std::uint64_t sequence_ = 0; ///< Sequence number of the digest.
        TimePoint receivedAt_ {};
    };

    void replace(const EndpointId &id, const EndpointLoad &before, const EndpointLoad &after,
                 EndpointTable &table) const;
    void clear(EndpointTable &table);

    std::map<EndpointId, Value> values_;
    LoadDigest newest_;
    TimePoint lastReceivedAt_ {};
    bool inUse_ = false;
};

/**
 * Selects what a relay sends next: endpoints with a significant change, and each endpoint at
 * regular intervals to make up for lost digests.
 */
class DigestWriter
{
public:
    /**
     * Returns the loads to send now, one table for each digest, so that each digest fits into one
     * packet.
     */
    std::vector<LoadTable> select(const LoadTable &sums, TimePoint now);
    /** Splits all loads in the same way, for an instance that has received none yet. */
    static std::vector<LoadTable> split(const LoadTable &sums);

private:
    struct SentLoad
    {
        EndpointLoad load_;
        TimePoint sentAt_ {};
        /** Since when the load has been zero; not set while there is load. */
        TimePoint zeroSince_ {};
    };

    std::map<EndpointId, SentLoad> sent_;
};

} // namespace almondridge::gateway
