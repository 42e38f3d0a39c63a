/**
 * What a relay tells of the load that several instances put on endpoints, summed up.
 *
 * Values are absolute, so that a lost or repeated digest does no harm; a digest may have only some
 * of the endpoints, and what it leaves out is as it was told before.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/ids.h"
#include "almondridge/gateway/demandmeter.h"
#include "almondridge/gateway/promptcacheindex.h"
#include "almondridge/gateway/promptqueue.h"
#include "almondridge/gateway/slotuse.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::gateway {

/** The load that one instance, or several together, put on an endpoint. */
struct EndpointLoad
{
    PromptQueue queued_;  ///< Prompt tokens to be read there.
    SlotUse slotUse_;     ///< Requests, where it generates.
    double failures_ = 0; ///< Requests that came to nothing lately, a count that fades.

    void add(const EndpointLoad &other);
    /** Never below zero. */
    void remove(const EndpointLoad &other);
    bool isNone() const noexcept;

    friend bool operator==(const EndpointLoad &, const EndpointLoad &) = default;
};

using LoadTable = std::map<EndpointId, EndpointLoad>;

/** Whose load a digest sums up. */
enum class DigestScope : std::uint8_t {
    Domain, ///< The instances of the sender's failure domain; for relays of other domains.
    All,    ///< All instances; for the instances of its own domain.
};

struct LoadDigest
{
    InstanceId sender_;
    DomainId domain_;            ///< The sender's.
    std::uint64_t lifetime_ = 0; ///< Rises with each restart of the sender.
    std::uint64_t number_ = 0;   ///< Rises within a lifetime.
    DigestScope scope_ = DigestScope::Domain;
    int members_ = 0; ///< Instances of the sender's domain that it has heard of lately.
    LoadTable loads_ {};
    std::map<ServiceId, StageDemand> demand_ {}; ///< All of it, in each digest.
    std::vector<InstanceId> leaders_ {};         ///< They have the right to give orders.
    InstanceId candidate_ {}; ///< First in the order of those that could have it; empty: none.
    std::map<EndpointId, std::int64_t> changingMillis_ {};
    std::vector<EndpointId> unreached_ {};
    std::vector<PromptCacheIndex::Key> readParts_ {};
};

/** Bytes that an endpoint's load takes in a digest. */
std::size_t encodedBytes(const EndpointId &id, const EndpointLoad &load);

/** A digest's body as bytes: the same for all that it is sent to. */
std::string encodeDigest(const LoadDigest &digest);

/** What goes ahead of the body for one receiver: the number of its own note that the sums count. */
std::string digestPrefix(std::uint64_t countedNote);

/** Whether a datagram begins like a digest; else it may be a note. */
bool isDigest(std::string_view datagram);

struct ReceivedDigest
{
    LoadDigest digest_;
    std::uint64_t countedNote_ = 0; ///< The receiver's own note in the sums; 0: none.
};

/** nullopt: it cannot be read, or tells counts that cannot be. Nothing of it is taken then. */
std::optional<ReceivedDigest> decodeDigest(std::string_view datagram);

} // namespace almondridge::gateway
