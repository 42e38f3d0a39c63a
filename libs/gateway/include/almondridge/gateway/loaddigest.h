/**
 * A relay's summary of the load that several instances put on endpoints.
 *
 * Values are absolute, so that a lost or duplicated digest does no harm. A digest may contain only
 * some of the endpoints; the load of the others is unchanged since an earlier digest.
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

/** The load that one instance or several instances together put on an endpoint. */
struct EndpointLoad
{
    PromptQueue queued_;  ///< Prompt tokens that the endpoint still has to read.
    SlotUse slotUse_;     ///< Requests at an endpoint that runs the decode stage.
    double failures_ = 0; ///< Recent failed requests; a decaying count.

    void add(const EndpointLoad &other);
    /** Subtracts, but not below zero. */
    void remove(const EndpointLoad &other);
    bool isZero() const noexcept;

    friend bool operator==(const EndpointLoad &, const EndpointLoad &) = default;
};

using LoadTable = std::map<EndpointId, EndpointLoad>;

/** Whose load a digest contains. */
enum class DigestScope : std::uint8_t {
    Domain, ///< The instances of the sender's failure domain; sent to the relays of other domains.
    All,    ///< All instances; sent to the instances of the sender's failure domain.
};

struct LoadDigest
{
    InstanceId sender_;
    DomainId domain_;            ///< The sender's failure domain.
    std::uint64_t lifetime_ = 0; ///< Increases with each restart of the sender.
    std::uint64_t sequence_ = 0; ///< Increases within a lifetime.
    DigestScope scope_ = DigestScope::Domain;
    /**
     * Instances, without the sender, whose demand the digest covers: of the sender's domain, or of
     * all domains if the scope is All.
     */
    int members_ = 0;
    LoadTable loads_ {};
    /** Each digest contains the demand on all services. */
    std::map<ServiceId, StageDemand> demand_ {};
    std::vector<InstanceId> leaders_ {}; ///< Instances that are entitled to give orders.
    /** The highest-ranked instance that could become leader; empty: none. */
    InstanceId candidate_ {};
    /** Engines that are carrying out an order, and about how many milliseconds they still need. */
    std::map<EndpointId, std::int64_t> changingMillis_ {};
    /** Endpoints that an instance recently could not reach. */
    std::vector<EndpointId> unreached_ {};
    /** Keys of shared prompt parts that engines have recently read. */
    std::vector<PromptCacheIndex::Key> readParts_ {};
};

/** Returns the encoded size of an endpoint's load in a digest, in bytes. */
std::size_t encodedBytes(const EndpointId &id, const EndpointLoad &load);

/** Encodes the body of a digest, which is the same for all receivers. */
std::string encodeDigest(const LoadDigest &digest);

/**
 * Returns the prefix of a digest for one receiver. includedReport: sequence number of the
 * receiver's own report that the sums include.
 */
std::string digestPrefix(std::uint64_t includedReport);

/** Whether a datagram starts like a digest; otherwise it may be a load report. */
bool isDigest(std::string_view datagram);

struct ReceivedDigest
{
    LoadDigest digest_;
    /** Sequence number of the receiver's own report that the sums include; 0: none. */
    std::uint64_t includedReport_ = 0;
};

/**
 * Returns nullopt if the datagram is malformed or contains impossible counts. Such a digest is
 * dropped as a whole.
 */
std::optional<ReceivedDigest> decodeDigest(std::string_view datagram);

} // namespace almondridge::gateway
