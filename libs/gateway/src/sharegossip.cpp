#include "almondridge/gateway/sharegossip.h"

#include "almondridge/base/cbor.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <utility>

namespace almondridge::gateway {
namespace {

using Json = nlohmann::json;
using Limits = ShareReportLimits;

constexpr Duration SendInterval = millis(250);
/** Work is sent in tenths, as whole numbers take fewer bytes than fractions. */
constexpr double WorkScale = 10;

/** Index of each field in the array of a report; field names would be longer than the values. */
enum class Field : std::uint8_t { Sender, Lifetime, Sequence, Demand };
constexpr std::size_t FieldCount = 4;

constexpr std::size_t at(Field field)
{
    return static_cast<std::size_t>(field);
}

bool isName(const Json &json)
{
    return json.is_string() && json.get_ref<const std::string &>().size() <= Limits::MaxNameBytes;
}

bool isNonEmptyName(const Json &json)
{
    return isName(json) && !json.get_ref<const std::string &>().empty();
}

std::uint64_t encodeWork(double work)
{
    return static_cast<std::uint64_t>(std::llround(clampedWork(work) * WorkScale));
}

/** Negative and fractional numbers, infinity and NaN have other types. */
std::optional<double> decodeWork(const Json &json)
{
    if (!json.is_number_unsigned()) {
        return std::nullopt;
    }
    const double work = json.get<double>() / WorkScale;
    return work <= Limits::MaxWork ? std::optional(work) : std::nullopt;
}

std::optional<AccountDemand> decodeDemand(const Json &json)
{
    const bool valid = json.is_array() && json.size() == 4 && isName(json[0])
                       && json[1].is_number_unsigned()
                       && json[1].get<std::uint64_t>() <= static_cast<unsigned>(Limits::MaxRank);
    if (!valid) {
        return std::nullopt;
    }
    const std::optional<double> asked = decodeWork(json[2]);
    const std::optional<double> admitted = decodeWork(json[3]);
    if (!asked || !admitted) {
        return std::nullopt;
    }
    return AccountDemand {AccountId(json[0].get<std::string>()), json[1].get<int>(), *asked,
                          *admitted};
}

std::optional<std::vector<AccountDemand>> decodeService(const Json &json)
{
    if (!json.is_array() || json.size() > Limits::MaxAccounts + Limits::MaxSums) {
        return std::nullopt;
    }
    std::vector<AccountDemand> demand;
    std::set<std::pair<AccountId, int>> seen;
    std::size_t sums = 0;
    for (const Json &one : json) {
        std::optional<AccountDemand> decoded = decodeDemand(one);
        if (!decoded || !seen.emplace(decoded->account_, decoded->rank_).second) {
            return std::nullopt;
        }
        sums += decoded->account_.empty() ? 1 : 0;
        demand.push_back(*std::move(decoded));
    }
    if (sums > Limits::MaxSums || demand.size() - sums > Limits::MaxAccounts) {
        return std::nullopt;
    }
    return demand;
}

double askedOf(const std::vector<AccountDemand> &demand)
{
    double sum = 0;
    for (const AccountDemand &one : demand) {
        sum += one.asked_;
    }
    return sum;
}

/** The services that are asked for the most work, each within the limits. */
ShareReport withinLimits(const ShareReport &report)
{
    std::vector<std::pair<ServiceId, std::vector<AccountDemand>>> services;
    for (const auto &[service, demand] : report.demand_) {
        std::vector<AccountDemand> entries = summarized(demand);
        const bool isListable = !service.empty() && service.value().size() <= Limits::MaxNameBytes;
        if (isListable && !entries.empty()) {
            services.emplace_back(service, std::move(entries));
        }
    }
    std::stable_sort(services.begin(), services.end(), [](const auto &left, const auto &right) {
        return askedOf(left.second) > askedOf(right.second);
    });
    services.resize(std::min(services.size(), Limits::MaxServices));
    ShareReport result {report.sender_, report.lifetime_, report.sequence_};
    for (auto &[service, entries] : services) {
        result.demand_[service] = std::move(entries);
    }
    return result;
}

} // namespace

std::string encodeShareReport(const ShareReport &report)
{
    Json services = Json::object();
    for (const auto &[service, demand] : withinLimits(report).demand_) {
        Json entries = Json::array();
        for (const AccountDemand &one : demand) {
            entries.push_back(
                Json::array({one.account_.value(), static_cast<std::uint64_t>(one.rank_),
                             encodeWork(one.asked_), encodeWork(one.admitted_)}));
        }
        services[service.value()] = std::move(entries);
    }
    Json json = Json::array();
    json[at(Field::Sender)] = report.sender_.value();
    json[at(Field::Lifetime)] = report.lifetime_;
    json[at(Field::Sequence)] = report.sequence_;
    json[at(Field::Demand)] = std::move(services);
    std::string bytes(1, ShareDatagramMark);
    Json::to_cbor(json, bytes);
    return bytes;
}

std::optional<ShareReport> decodeShareReport(std::string_view datagram)
{
    const bool marked = !datagram.empty() && datagram.front() == ShareDatagramMark;
    const std::optional<Json> decoded = marked ? fromCbor(datagram.substr(1)) : std::nullopt;
    if (!decoded || !decoded->is_array() || decoded->size() != FieldCount) {
        return std::nullopt;
    }
    const Json &json = *decoded;
    const bool valid =
        isNonEmptyName(json[at(Field::Sender)]) && json[at(Field::Lifetime)].is_number_unsigned()
        && json[at(Field::Sequence)].is_number_unsigned() && json[at(Field::Demand)].is_object()
        && json[at(Field::Demand)].size() <= Limits::MaxServices;
    if (!valid) {
        return std::nullopt;
    }
    ShareReport report;
    report.sender_ = InstanceId(json[at(Field::Sender)].get<std::string>());
    report.lifetime_ = json[at(Field::Lifetime)].get<std::uint64_t>();
    report.sequence_ = json[at(Field::Sequence)].get<std::uint64_t>();
    for (const auto &[service, entries] : json[at(Field::Demand)].items()) {
        std::optional<std::vector<AccountDemand>> demand = decodeService(entries);
        if (!demand || service.empty() || service.size() > Limits::MaxNameBytes) {
            return std::nullopt;
        }
        report.demand_[ServiceId(service)] = *std::move(demand);
    }
    return report;
}

ShareGossip::ShareGossip(ShareAdmission &admission, InstanceId self, std::uint64_t lifetime)
    : admission_(admission)
    , self_(std::move(self))
    , lifetime_(lifetime)
{ }

void ShareGossip::setPeers(std::vector<InstanceId> peers)
{
    std::erase(peers, self_);
    std::sort(peers.begin(), peers.end());
    peers.erase(std::unique(peers.begin(), peers.end()), peers.end());
    if (peers == peers_) {
        return;
    }
    peers_ = std::move(peers);
    // Instances begin at different peers, so that not all of them send to the same ones at a time.
    next_ = static_cast<std::size_t>(std::lower_bound(peers_.begin(), peers_.end(), self_)
                                     - peers_.begin());
    if (untoldReceivers_ > 0) {
        untoldReceivers_ = peers_.size();
    }
}

bool ShareGossip::isPeer(const InstanceId &id) const
{
    return std::binary_search(peers_.begin(), peers_.end(), id);
}

std::vector<MeshDatagram> ShareGossip::tick(TimePoint now)
{
    std::vector<MeshDatagram> out;
    if (now < sendAt_ || peers_.empty()) {
        return out;
    }
    sendAt_ = now + SendInterval;
    ShareReport report = admission_.report(now);
    const bool hasDemand = !report.demand_.empty();
    if (hasDemand) {
        untoldReceivers_ = peers_.size();
    } else if (untoldReceivers_ == 0) {
        return out;
    }
    std::size_t count = std::min(peers_.size(), MaxReceivers);
    if (!hasDemand) {
        count = std::min(count, untoldReceivers_);
        untoldReceivers_ -= count;
    }
    report.sender_ = self_;
    report.lifetime_ = lifetime_;
    report.sequence_ = ++sequence_;
    const std::string bytes = encodeShareReport(report);
    out.reserve(count);
    for (std::size_t sent = 0; sent < count; ++sent) {
        next_ %= peers_.size();
        out.push_back({peers_[next_++], bytes});
    }
    return out;
}

ReceiveResult ShareGossip::onDatagram(std::string_view datagram, TimePoint now)
{
    const std::optional<ShareReport> report = decodeShareReport(datagram);
    if (!report) {
        return ReceiveResult::Malformed;
    }
    if (!isPeer(report->sender_)) {
        return ReceiveResult::UnknownSender;
    }
    admission_.onReport(*report, now);
    return ReceiveResult::Accepted;
}

} // namespace almondridge::gateway
