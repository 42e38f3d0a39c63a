/**
 * What entry instances tell each other: log records, announcements, status, events.
 */
#pragma once

#include "almondridge/control/controllog.h"
#include "almondridge/peers/peerexchange.h"
#include "availabilitytable.h"

#include <functional>
#include <mutex>
#include <string>

namespace almondridge::app {

/** Topics of peer requests. */
inline constexpr std::string_view RecordsTopic = "records";
inline constexpr std::string_view AnnounceTopic = "announce";
inline constexpr std::string_view StatusTopic = "status";
inline constexpr std::string_view TimelineTopic = "timeline";

/** Log records as a peer message, and back. Malformed ones are left out. */
nlohmann::json recordsToJson(const std::vector<store::LogRecord> &records);
std::vector<store::LogRecord> recordsFromJson(const nlohmann::json &json);

/** Asks the peer that has folded furthest for log records. */
class PeerRecordSource final : public control::RecordSource
{
public:
    /** The exchange is built after the log that needs this source. */
    void setExchange(peers::PeerExchange *exchange);
    std::vector<store::LogRecord> recordsFrom(LogOffset from) override;

private:
    std::mutex mutex_;
    peers::PeerExchange *exchange_ = nullptr;
};

/** Tells the domain's entries what the lease holder withholds. */
class PeerAnnouncer final : public control::Announcer
{
public:
    /** onChange is called when this instance's own table changed. */
    PeerAnnouncer(AvailabilityTable &table, DomainId domain, std::function<void()> onChange);
    void setExchange(peers::PeerExchange *exchange);
    void announce(const EndpointId &engine, control::Availability availability, Fence fence,
                  TimePoint deadline) override;
    void announceAll(const control::Availabilities &availabilities, Fence fence,
                     TimePoint deadline) override;

private:
    /** Sends the whole announcement to the domain's live entries and waits for them. */
    void send(const Announcement &announcement, TimePoint deadline);

    AvailabilityTable &table_;
    const DomainId domain_;
    const std::function<void()> onChange_;
    std::mutex mutex_;
    peers::PeerExchange *exchange_ = nullptr;
};

/** Asks every live member for topic, side by side, and gives the answers by instance. */
std::map<InstanceId, nlohmann::json> askAll(peers::PeerExchange &exchange, std::string_view topic,
                                            const nlohmann::json &message, TimePoint deadline);

} // namespace almondridge::app
