#include "peerlinks.h"

#include "almondridge/base/log.h"

#include <algorithm>
#include <thread>

namespace almondridge::app {
namespace {

constexpr std::int64_t RecordsTimeoutMillis = 2'000;

using MemberFilter = std::function<bool(const peers::Member &)>;

std::map<InstanceId, nlohmann::json>
requestFromMembers(peers::PeerExchange &exchange, std::string_view topic,
                   const nlohmann::json &message, TimePoint deadline, const MemberFilter &filter)
{
    std::mutex mutex;
    std::map<InstanceId, nlohmann::json> answers;
    std::vector<std::jthread> threads;
    for (const peers::Member &member : exchange.members()) {
        if (!member.alive_ || !filter(member)) {
            continue;
        }
        threads.emplace_back([&, instance = member.instance_] {
            auto answer = capture(
                [&] { return exchange.request(instance, std::string(topic), message, deadline); });
            if (answer.index() == 1) {
                logEvent(LogLevel::Warning, "peer.no-answer",
                         {{"peer", instance.value()},
                          {"topic", topic},
                          {"why", std::get<Error>(answer).message_}});
                return;
            }
            const std::lock_guard lock(mutex);
            answers.emplace(instance, std::move(std::get<0>(answer)));
        });
    }
    threads.clear();
    return answers;
}

} // namespace

nlohmann::json recordsToJson(const std::vector<store::LogRecord> &records)
{
    nlohmann::json list = nlohmann::json::array();
    for (const store::LogRecord &record : records) {
        list.push_back({record.offset_, record.body_});
    }
    return {{"records", std::move(list)}};
}

std::vector<store::LogRecord> recordsFromJson(const nlohmann::json &json)
{
    std::vector<store::LogRecord> records;
    const auto list = json.find("records");
    if (list == json.end() || !list->is_array()) {
        return records;
    }
    for (const nlohmann::json &entry : *list) {
        const bool complete = entry.is_array() && entry.size() == 2 && entry[0].is_number_unsigned()
                              && entry[1].is_string();
        if (complete) {
            records.push_back({entry[0].get<LogOffset>(), entry[1].get<std::string>()});
        }
    }
    return records;
}

void PeerRecordSource::setExchange(peers::PeerExchange *exchange)
{
    const std::lock_guard lock(mutex_);
    exchange_ = exchange;
}

std::vector<store::LogRecord> PeerRecordSource::recordsFrom(LogOffset from)
{
    const std::lock_guard lock(mutex_);
    if (exchange_ == nullptr) {
        return {};
    }
    InstanceId furthest;
    LogOffset furthestNext = from;
    for (const peers::Member &member : exchange_->members()) {
        const auto next = member.digest_.find("next");
        const bool usable =
            member.alive_ && next != member.digest_.end() && next->is_number_unsigned();
        if (usable && next->get<LogOffset>() > furthestNext) {
            furthestNext = next->get<LogOffset>();
            furthest = member.instance_;
        }
    }
    if (furthest.empty()) {
        return {};
    }
    const auto answer = capture([&] {
        return exchange_->request(furthest, std::string(RecordsTopic), {{"from", from}},
                                  BootClock::now() + millis(RecordsTimeoutMillis));
    });
    return answer.index() == 0 ? recordsFromJson(std::get<0>(answer))
                               : std::vector<store::LogRecord> {};
}

PeerAnnouncer::PeerAnnouncer(AvailabilityTable &table, DomainId domain,
                             std::function<void()> onChange)
    : table_(table)
    , domain_(std::move(domain))
    , onChange_(std::move(onChange))
{ }

void PeerAnnouncer::setExchange(peers::PeerExchange *exchange)
{
    const std::lock_guard lock(mutex_);
    exchange_ = exchange;
}

void PeerAnnouncer::announce(const EndpointId &engine, control::Availability availability,
                             Fence fence, TimePoint deadline)
{
    send(table_.announce(engine, availability, fence), deadline);
}

void PeerAnnouncer::announceAll(const control::Availabilities &availabilities, Fence fence,
                                TimePoint deadline)
{
    Announcement announcement;
    for (const auto &[engine, availability] : availabilities) {
        announcement = table_.announce(engine, availability, fence);
    }
    if (!availabilities.empty()) {
        send(announcement, deadline);
    }
}

void PeerAnnouncer::send(const Announcement &announcement, TimePoint deadline)
{
    onChange_();
    peers::PeerExchange *exchange = nullptr;
    {
        const std::lock_guard lock(mutex_);
        exchange = exchange_;
    }
    if (exchange != nullptr) {
        requestFromMembers(
            *exchange, AnnounceTopic, toJson(announcement), deadline,
            [this](const peers::Member &member) { return member.domain_ == domain_; });
    }
}

std::map<InstanceId, nlohmann::json> requestFromAll(peers::PeerExchange &exchange,
                                                    std::string_view topic,
                                                    const nlohmann::json &message,
                                                    TimePoint deadline)
{
    return requestFromMembers(exchange, topic, message, deadline,
                              [](const peers::Member &) { return true; });
}

} // namespace almondridge::app
