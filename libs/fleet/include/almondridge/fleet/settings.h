/**
 * Settings of an entry instance: its addresses and limits, nothing about the fleet.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/ids.h"
#include "almondridge/base/log.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace almondridge::fleet {

/** Addresses have the form "ip:port". */
struct Settings
{
    InstanceId instance_;
    DomainId domain_;
    std::string listen_;      ///< Address for callers and operators.
    std::string peerListen_;  ///< Address for other entry instances.
    std::string peerKey_;     ///< Shared by all entry instances; at least 16 characters.
    std::string operatorKey_; ///< Bearer token for /admin; empty: all calls are refused.
    std::string logService_;
    std::string instanceList_;
    std::string weightStore_;
    int maxStreams_ = 512; ///< Concurrent requests; more are refused with 503.
    std::int64_t maxBodyBytes_ = 4 << 20;
    std::int64_t bodyMemoryBytes_ = 64 << 20;      ///< Of the bodies of all requests together.
    std::int64_t callerTimeoutMillis_ = 10'000;    ///< For one read from or write to a caller.
    std::int64_t requestDeadlineMillis_ = 120'000; ///< If the caller gives no deadline.
    std::int64_t interTokenTimeoutMillis_ =
        1'000; ///< Pause in a stream until its engine is probed.
    std::int64_t connectTimeoutMillis_ = 1'000;
    std::int64_t leaseTermMillis_ = 6'000;
    std::int64_t leaseMarginMillis_ = 1'000;
    std::int64_t reportIntervalMillis_ = 250; ///< Between two queries of an endpoint's load.
    std::int64_t reportStaleMillis_ = 5'000;  ///< Age from which a load report is ignored.
    std::int64_t heartbeatMillis_ = 500;
    std::int64_t appendsPerSecond_ = 20;   ///< This instance's share of the log's append budget.
    std::int64_t snapshotRecords_ = 2'000; ///< Log records applied between two snapshots.
    std::int64_t shutdownGraceMillis_ = 3'000; ///< After SIGTERM, while new requests are served.
    std::int64_t timelineEvents_ = 20'000;     ///< Capacity of the timeline.
    LogLevel logLevel_ = LogLevel::Info;
};

/** Parses a settings file (JSON). InvalidInput lists all invalid or unknown fields. */
Result<Settings> parseSettings(std::string_view text);

} // namespace almondridge::fleet
