/**
 * What one relay has told of endpoints' load, kept in order and, while it is in use, counted in the
 * endpoints' foreign load. Pure.
 *
 * Digests are datagrams: they come late, twice, in another order, or not at all. Each value carries
 * the number of its digest, and only a later one replaces it; what is not told again is forgotten.
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
     * Takes a digest over. counted: this instance's own part of the sums, which is no foreign load;
     * nullptr: none.
     */
    void take(const LoadDigest &digest, const LoadTable *counted, EndpointTable &table,
              TimePoint now);
    /** Whether its values are counted in the endpoints' foreign load. */
    void setInUse(bool inUse, EndpointTable &table);
    /** Forgets endpoints that were not told of lately, and all when the relay is silent. */
    void forgetSilent(EndpointTable &table, TimePoint now);

    /** The newest digest, but for its loads. */
    const LoadDigest &newest() const noexcept { return newest_; }
    TimePoint heardAt() const noexcept { return heardAt_; }
    bool isInUse() const noexcept { return inUse_; }

private:
    struct Value
    {
        EndpointLoad load_;
        std::uint64_t number_ = 0; ///< Of the digest that told it.
        TimePoint toldAt_ {};
    };

    void replace(const EndpointId &id, const EndpointLoad &before, const EndpointLoad &after,
                 EndpointTable &table) const;
    void clear(EndpointTable &table);

    std::map<EndpointId, Value> values_;
    LoadDigest newest_;
    TimePoint heardAt_ {};
    bool inUse_ = false;
};

/**
 * Chooses what a relay tells next: what has changed by more than little, and each endpoint once in
 * a while, so that a lost digest is made good.
 */
class DigestWriter
{
public:
    /** Loads to tell now, a table for each digest, so that each fits into one packet. */
    std::vector<LoadTable> select(const LoadTable &sums, TimePoint now);
    /** All of them, for an instance that was told nothing yet. */
    static std::vector<LoadTable> split(const LoadTable &sums);

private:
    struct Told
    {
        EndpointLoad load_;
        TimePoint at_ {};
        TimePoint noneSince_ {}; ///< Nothing is there since; none while there is something.
    };

    std::map<EndpointId, Told> told_;
};

} // namespace almondridge::gateway
