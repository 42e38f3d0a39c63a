/**
 * The datagrams with which instances exchange their request counts, and their encoding in CBOR.
 */
#pragma once

#include "almondridge/usage/window.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::usage {

/**
 * Counts of one window in one lifetime of an instance. They only grow, so lost, late and duplicate
 * datagrams have no effect once a later one has arrived.
 */
struct WindowCounts
{
    Window window_ = 0;
    bool closed_ = false;     ///< The counts are final.
    std::uint64_t total_ = 0; ///< Of all accounts, including those that aren't in counts_.
    AccountCounts counts_;
};

/** Counts that an instance sends, or that a collector forwards for it. */
struct UsageUpdate
{
    InstanceId sender_;
    std::uint64_t lifetime_ = 0;  ///< Start of its process in Unix milliseconds.
    std::uint64_t number_ = 0;    ///< Increases within a lifetime.
    std::int64_t timeMillis_ = 0; ///< The sender's FleetClock when it was sent, Unix time.
    std::int64_t wallMillis_ = 0; ///< The sender's wall clock then; 0 if forwarded.
    std::vector<WindowCounts> parts_;
};

/** Asks for all counts of the windows from one on. */
struct UsageQuery
{
    InstanceId sender_;
    Window from_ = 0;
    bool includesOthers_ = false; ///< Also the counts that the receiver got from others.
};

/** Tells the receiver that its time is wrong. */
struct ClockCorrection
{
    InstanceId sender_;
    std::uint64_t updateNumber_ = 0; ///< Of the update that had the wrong time.
    std::int64_t offsetMillis_ = 0;  ///< To be added to the receiver's time.
};

/** A decoded datagram; exactly one member is set. */
struct UsageMessage
{
    std::optional<UsageUpdate> update_;
    std::optional<UsageQuery> query_;
    std::optional<ClockCorrection> correction_;
};

/** First byte of all usage datagrams; no other kind of datagram begins with it. */
inline constexpr char UsageDatagramTag = 'U';
/** Splits the update into datagrams that each fit into a network packet. */
std::vector<std::string> encodeUpdate(const UsageUpdate &update);
std::string encodeQuery(const UsageQuery &query);
std::string encodeCorrection(const ClockCorrection &correction);
/** nullopt if the datagram is malformed or its values are impossible. */
std::optional<UsageMessage> decodeUsageMessage(std::string_view datagram);

} // namespace almondridge::usage
