/**
 * What instances tell each other of the requests that they have counted, as datagrams.
 */
#pragma once

#include "almondridge/usage/window.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::usage {

/**
 * Counts of one window by one lifetime of an instance. They only grow, so that a datagram that is
 * lost, late or doubled changes nothing once a later one has come.
 */
struct WindowCounts
{
    Window window_ = 0;
    bool closed_ = false;     ///< Nothing is added any more.
    std::uint64_t total_ = 0; ///< Of all accounts, also of those that are not named here.
    AccountCounts counts_;
};

struct UsageUpdate
{
    InstanceId sender_;
    std::uint64_t lifetime_ = 0;
    std::uint64_t number_ = 0;    ///< Rises within a lifetime.
    std::int64_t timeMillis_ = 0; ///< The sender's time when it was sent, since the Unix epoch.
    std::int64_t wallMillis_ = 0; ///< What its wall clock showed then.
    std::vector<WindowCounts> parts_;
};

/** Asks for all that is known of the windows from one on. */
struct UsageQuery
{
    InstanceId sender_;
    Window from_ = 0;
    bool includesOthers_ = false; ///< Also what the asked one knows of others.
};

/** The receiver's time is wrong. */
struct ClockCorrection
{
    InstanceId sender_;
    std::uint64_t update_ = 0; ///< The number of the note that told it.
    std::int64_t offsetMillis_ = 0;
};

struct UsageMessage
{
    std::optional<UsageUpdate> update_;
    std::optional<UsageQuery> query_;
    std::optional<ClockCorrection> correction_;
};

/** The letter that these datagrams begin with, and no others. */
inline constexpr char UsageDatagramTag = 'U';
/** As many datagrams as it takes for each to fit into a network packet. */
std::vector<std::string> encodeUpdate(const UsageUpdate &update);
std::string encodeQuery(const UsageQuery &query);
std::string encodeCorrection(const ClockCorrection &correction);
/** nullopt: it is none, or tells what cannot be. */
std::optional<UsageMessage> decodeUsageMessage(std::string_view datagram);

} // namespace almondridge::usage
