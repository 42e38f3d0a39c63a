/**
 * Settings of an entry instance that reads its configuration and endpoints from the deployment's
 * store: addresses, time bounds and limits, nothing about the fleet.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/log.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::fleet {

/** Addresses have the form "ip:port". */
struct EntrySettings
{
    InstanceId instance_;
    DomainId domain_;
    std::string ip_;                ///< Of this machine; peers and metrics scrapers connect to it.
    std::string listen_;            ///< Address for callers.
    std::string healthListen_;      ///< Address for health checks.
    int firstPeerPort_ = 0;         ///< First of the ports for messages between instances.
    std::string store_;             ///< Address of the store.
    std::int64_t graceSeconds_ = 8; ///< From the stop signal to the kill.
    std::int64_t leaseTermMillis_ = 3'000; ///< Of the leader lease.
    /** Time after which a draining endpoint must get no new requests. */
    std::int64_t leaveBoundMillis_ = 2'000;
    /** Whether revoked keys must be refused even by an instance that is cut off from the store. */
    bool strictRevocation_ = false;
    std::int64_t revokeBoundMillis_ = 5'000; ///< If so, the time until they are refused.
    /** Receivers of orders refuse fencing numbers lower than the highest that they have seen. */
    bool fencesAreChecked_ = false;
    std::string operationsApi_;     ///< Address that usage is reported to; empty: none.
    double usageWindowSeconds_ = 0; ///< Length of a reporting window; 0: usage isn't reported.
    double usageDueSeconds_ = 10;   ///< Time for the report after a window's end.
    bool ordersEndpoints_ = true;   ///< Whether services are scaled.
    /** The sizes of services follow the demand instead of the numbers found at the start. */
    bool sizesFollowDemand_ = false;
    /** Failure domains that may lose all spot endpoints at once while capacity stays sufficient. */
    int spotLossesBorne_ = 2;
    double secondSendRatio_ = 0.2; ///< Retry budget of a service: retries per request.
    double secondSendSlack_ = 10;  ///< Retries beyond the ratio, of all instances, in each window.
    std::int64_t secondSendWindowSeconds_ = 10;
    /** Time after which an accepted configuration is in force at every instance. */
    std::int64_t configBoundMillis_ = 2'000;
    /** The whole system starts for the first time, with all instances starting at once. */
    bool isFirstStart_ = false;
    double linkMbps_ = 100;      ///< Network bandwidth of this machine in Mbit/s.
    int maxDescriptors_ = 1'024; ///< Limit of open file descriptors.
    double memoryMb_ = 256;      ///< Memory of this machine for the process, in MB of 1,048,576 B.
    /** HMAC key for request keys; the same for all instances of a deployment. */
    std::string requestKeySecret_;
    /** Whether client accounts get shares of a service's capacity while it is scarce. */
    bool sharesCapacity_ = false;
    std::vector<std::string> obligations_; ///< The platform's names of what it requires.
    LogLevel logLevel_ = LogLevel::Info;
};

/** Parses a settings file (JSON). InvalidInput lists all invalid or unknown fields. */
Result<EntrySettings> parseEntrySettings(std::string_view text);

} // namespace almondridge::fleet
