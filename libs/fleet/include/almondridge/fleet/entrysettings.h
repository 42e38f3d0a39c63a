/**
 * Settings of an entry instance that gets its configuration and its endpoints from a store of the
 * deployment: addresses, bounds and limits, nothing about the fleet.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/log.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace almondridge::fleet {

/** Addresses are "ip:port". */
struct EntrySettings
{
    InstanceId instance_;
    DomainId domain_;
    std::string ip_;           ///< Of this machine, for peers and metrics.
    std::string listen_;       ///< For callers.
    std::string healthListen_; ///< For whoever asks whether callers may come.
    int firstPeerPort_ = 0;    ///< Ports from this one on are free for messages between instances.
    std::string store_;
    std::int64_t graceSeconds_ = 8; ///< Between the signal to stop and the kill.
    std::int64_t leaseTermMillis_ = 3'000;
    /** After it was told to leave, an endpoint must get no new work for longer than this. */
    std::int64_t leaveBoundMillis_ = 2'000;
    /** Whether a key that was taken away must stop to work also at an instance that is cut off. */
    bool strictRevocation_ = false;
    std::int64_t revokeBoundMillis_ = 5'000; ///< Until then, if so.
    /** Whoever takes orders refuses lower fencing numbers than it has seen. */
    bool fencesAreChecked_ = false;
    std::string operationsApi_;     ///< Where usage is reported; empty: nowhere.
    double usageWindowSeconds_ = 0; ///< In which requests are counted; 0: usage is not reported.
    double usageDueSeconds_ = 10;   ///< After a window's end.
    bool ordersEndpoints_ = true;   ///< False: the sizes of services are left as they are.
    /** Failure domains whose spot endpoints may all be gone at once without others being missing.
     */
    int spotLossesBorne_ = 2;
    double secondSendRatio_ = 0.2; ///< Second sends for each request of a service.
    double secondSendSlack_ = 10;  ///< Beside these, all instances together, in each window.
    std::int64_t secondSendWindowSeconds_ = 10;
    /** Until a configuration that was accepted is in force everywhere. */
    std::int64_t configBoundMillis_ = 2'000;
    /** The whole system starts for the first time: others start at the same moment. */
    bool isFirstStart_ = false;
    double linkMbps_ = 100; ///< Of this machine.
    int maxDescriptors_ = 1'024;
    /** Of the keys that stand for requests; the same for all instances of a deployment. */
    std::string requestKeySecret_;
    LogLevel logLevel_ = LogLevel::Info;
};

/** Reads a settings file (JSON). InvalidInput lists every wrong or unknown field at once. */
Result<EntrySettings> parseEntrySettings(std::string_view text);

} // namespace almondridge::fleet
