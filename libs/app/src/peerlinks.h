/**
 * Messages between entry instances: log records, announcements, status and timeline events.
 */
#pragma once

#include "almondridge/control/controllog.h"
#include "almondridge/peers/peerexchange.h"
#include "availabilitytable.h"

#include <functional>
#include <mutex>
#include <string>

namespace almondridge::app {

/** Topics of peer requests, as sent on the wire. */
inline constexpr std::string_view RecordsTopic = "records";
inline constexpr std::string_view AnnounceTopic = "announce";
inline constexpr std::string_view StatusTopic = "status";
inline constexpr std::string_view TimelineTopic = "timeline";

/** Converts log records to and from a peer message; malformed records are skipped. */
nlohmann::json recordsToJson(const std::vector<store::LogRecord> &records);
std::vector<store::LogRecord> recordsFromJson(const nlohmann::json &json);

/** Fetches log records from the live peer that has applied the most of the log. */
class PeerRecordSource final : public control::RecordSource
{
public:
    /** Set late, as the exchange is built after the log that uses this source; nullptr detaches. */
    void setExchange(peers::PeerExchange *exchange);
    std::vector<store::LogRecord> recordsFrom(LogOffset from) override;

private:
    std::mutex mutex_;
    peers::PeerExchange *exchange_ = nullptr;
};

/** Sends the lease holder's announcement to the entry instances of its failure domain. */
class PeerAnnouncer final : public control::Announcer
{
public:
    /** Calls onChange after each change of this instance's own table. */
    PeerAnnouncer(AvailabilityTable &table, DomainId domain, std::function<void()> onChange);
    void setExchange(peers::PeerExchange *exchange);
    void announce(const EndpointId &engine, control::Availability availability, Fence fence,
                  TimePoint deadline) override;
    void announceAll(const control::Availabilities &availabilities, Fence fence,
                     TimePoint deadline) override;

private:
    /** Sends the full announcement to the live entries of the domain; waits for the answers. */
    void send(const Announcement &announcement, TimePoint deadline);

    AvailabilityTable &table_;
    const DomainId domain_;
    const std::function<void()> onChange_;
    std::mutex mutex_;
    peers::PeerExchange *exchange_ = nullptr;
};

/** Sends a request to every live member in parallel; members without an answer are left out. */
std::map<InstanceId, nlohmann::json> requestFromAll(peers::PeerExchange &exchange,
                                                    std::string_view topic,
                                                    const nlohmann::json &message,
                                                    TimePoint deadline);

} // namespace almondridge::app
