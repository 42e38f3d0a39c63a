#include "almondridge/gateway/limitgossip.h"

#include "almondridge/base/cbor.h"

#include <cmath>

namespace almondridge::gateway {
namespace {

using Json = nlohmann::json;

constexpr Duration SendInterval = millis(50);
constexpr std::size_t Fanout = 3;
/** Keeps a datagram within one packet. */
constexpr std::size_t MaxReportsPerDatagram = 32;
constexpr std::int64_t MaxAgeMillis = 60'000;
/** Stands for the end of a limit. */
constexpr double NoLimit = -1;

std::optional<LimitReport> readReport(const Json &json)
{
    const bool valid = json.is_array() && json.size() == 3 && json[0].is_string()
                       && json[1].is_number() && json[2].is_number_unsigned();
    if (!valid) {
        return std::nullopt;
    }
    const auto perSecond = json[1].get<double>();
    const auto age = json[2].get<std::uint64_t>();
    const bool inRange =
        std::isfinite(perSecond)
        && (perSecond == NoLimit || (perSecond >= 0 && perSecond <= MaxRequestLimit))
        && age <= static_cast<std::uint64_t>(MaxAgeMillis);
    if (!inRange) {
        return std::nullopt;
    }
    LimitReport report {EndpointId(json[0].get<std::string>()), std::nullopt,
                        static_cast<std::int64_t>(age)};
    if (perSecond != NoLimit) {
        report.perSecond_ = perSecond;
    }
    return report;
}

} // namespace

std::string encodeLimitMessage(const LimitMessage &message)
{
    Json reports = Json::array();
    for (const LimitReport &report : message.reports_) {
        reports.push_back({report.endpoint_.value(), report.perSecond_.value_or(NoLimit),
                           static_cast<std::uint64_t>(report.ageMillis_)});
    }
    std::string bytes(1, LimitDatagramMark);
    Json::to_cbor(Json::array({message.sender_.value(), std::move(reports)}), bytes);
    return bytes;
}

std::optional<LimitMessage> decodeLimitMessage(std::string_view datagram)
{
    const bool marked = !datagram.empty() && datagram.front() == LimitDatagramMark;
    const std::optional<Json> json = marked ? fromCbor(datagram.substr(1)) : std::nullopt;
    if (!json || !json->is_array() || json->size() != 2 || !json->at(0).is_string()
        || !json->at(1).is_array()) {
        return std::nullopt;
    }
    LimitMessage message;
    message.sender_ = InstanceId(json->at(0).get<std::string>());
    for (const Json &one : json->at(1)) {
        std::optional<LimitReport> report = readReport(one);
        if (!report) {
            return std::nullopt;
        }
        message.reports_.push_back(*std::move(report));
    }
    return message;
}

LimitGossip::LimitGossip(RequestLimits &limits, InstanceId self, std::uint64_t seed)
    : limits_(limits)
    , self_(std::move(self))
    , peers_(self_, seed)
{ }

std::vector<MeshDatagram> LimitGossip::tick(TimePoint now)
{
    std::vector<MeshDatagram> out;
    if (now < sendAt_ || peers_.empty()) {
        return out;
    }
    sendAt_ = now + SendInterval;
    const std::vector<LimitReport> reports = limits_.takeReports(MaxReportsPerDatagram, now);
    if (!reports.empty()) {
        appendDatagrams(encodeLimitMessage({self_, reports}), peers_.receivers(Fanout), out);
    }
    return out;
}

ReceiveResult LimitGossip::onDatagram(std::string_view datagram, TimePoint now)
{
    const auto message = decodeLimitMessage(datagram);
    if (!message) {
        return ReceiveResult::Malformed;
    }
    if (!peers_.contains(message->sender_)) {
        return ReceiveResult::UnknownSender;
    }
    for (const LimitReport &report : message->reports_) {
        if (limits_.onReport(report, now)) {
            learned_.push_back(report);
        }
    }
    return ReceiveResult::Accepted;
}

} // namespace almondridge::gateway
