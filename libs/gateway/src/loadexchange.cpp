#include "almondridge/gateway/loadexchange.h"

#include "almondridge/base/log.h"
#include "almondridge/gateway/streamorigins.h"

#include <algorithm>
#include <array>

namespace almondridge::gateway {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

/** Unreached endpoints in a report; limits its size however many are unreachable. */
constexpr std::size_t MaxUnreachedPerReport = 48;
/** One failure decays to this value within a second and a half; smaller counts are not reported. */
constexpr double MinReportedFailures = 0.5;
/** Minimum interval between log lines about dropped datagrams; the metric counts all of them. */
constexpr Duration DropLogInterval = millis(10'000);
/** Limits log lines on limits that peers tell. */
constexpr int MaxLimitLines = 200;
constexpr Duration LimitLineWindow = millis(10'000);
/** A fraction of the time in which a crest of demand grows. */
constexpr Duration ShortageCheckInterval = millis(250);
/** More than any report needs, with several hundred engines. */
constexpr std::size_t MaxDatagramBytes = 16'384;

} // namespace

LoadExchange::LoadExchange(async::EventLoop &loop, Gateway &gateway, const MeshMember &self,
                           Leadership leadership)
    : gateway_(gateway)
    , leadership_(std::move(leadership))
    , socket_(loop.context())
    , timer_(loop)
    , mesh_(self.id_, self.domain_, self.linkMbps_, static_cast<std::uint64_t>(wallMillis()))
    , crashGossip_(gateway.crashEvidence(), self.id_, std::random_device {}())
    , limitGossip_(gateway.endpoints().limits(), self.id_, std::random_device {}())
    , limitLines_(MaxLimitLines, LimitLineWindow)
{
    setHandler(LimitDatagramMark, [this](std::string_view datagram, TimePoint now) {
        const ReceiveResult result = limitGossip_.onDatagram(datagram, now);
        logLearnedLimits(now);
        return result;
    });
    setHandler(OriginDatagramMark, [this](std::string_view datagram, TimePoint now) {
        return gateway_.onOriginDatagram(datagram, now);
    });
    if (ShareAdmission *admission = gateway.shareAdmission()) {
        shareGossip_.emplace(*admission, self.id_, static_cast<std::uint64_t>(wallMillis()));
        setHandler(ShareDatagramMark, [this](std::string_view datagram, TimePoint now) {
            return shareGossip_->onDatagram(datagram, now);
        });
    }
    gateway_.setSendDatagrams(
        [this](const std::vector<MeshDatagram> &datagrams) { send(datagrams); });
}

void LoadExchange::logLearnedLimits(TimePoint now)
{
    for (const LimitReport &report : limitGossip_.takeLearned()) {
        if (limitLines_.take(now)) {
            logEvent(LogLevel::Info, "endpoint_limit_told",
                     {{"endpoint", report.endpoint_.value()},
                      {"limit_per_s", report.perSecond_.value_or(-1)},
                      {"age_ms", report.ageMillis_},
                      {"own_quota",
                       gateway_.endpoints().limits().quotaOf(report.endpoint_, now).value_or(-1)}});
        }
    }
}

Result<void> LoadExchange::listen(const net::Address &address)
{
    boost::system::error_code failure;
    const auto ip = asio::ip::make_address_v4(address.ip_, failure);
    socket_.open(Udp::v4(), failure);
    if (!failure) {
        socket_.bind({ip, address.port_}, failure);
    }
    if (!failure) {
        socket_.non_blocking(true, failure);
    }
    if (failure) {
        return fail(ErrorKind::Unavailable, net::toString(address) + ": " + failure.message(),
                    "make sure that no other process uses the first peer port");
    }
    waitForDatagrams();
    tick();
    return {};
}

void LoadExchange::setPeers(const std::vector<std::pair<MeshMember, net::Address>> &peers)
{
    std::vector<MeshMember> members;
    peerAddresses_.clear();
    for (const auto &[member, address] : peers) {
        boost::system::error_code failure;
        const auto ip = asio::ip::make_address_v4(address.ip_, failure);
        if (!failure) {
            members.push_back(member);
            peerAddresses_[member.id_] = {ip, address.port_};
        }
    }
    mesh_.setMembers(members);
    std::vector<InstanceId> ids;
    ids.reserve(members.size());
    for (const MeshMember &member : members) {
        ids.push_back(member.id_);
    }
    limitGossip_.setPeers(ids);
    if (shareGossip_) {
        shareGossip_->setPeers(ids);
    }
    crashGossip_.setPeers(std::move(ids));
}

void LoadExchange::waitForDatagrams()
{
    socket_.async_wait(Udp::socket::wait_read, [this](const boost::system::error_code &failure) {
        if (!failure) {
            receiveAll();
            waitForDatagrams();
        }
    });
}

void LoadExchange::receiveAll()
{
    std::array<char, MaxDatagramBytes> buffer;
    const TimePoint now = BootClock::now();
    for (;;) {
        boost::system::error_code failure;
        UdpAddress sender;
        const std::size_t got = socket_.receive_from(asio::buffer(buffer), sender, 0, failure);
        if (failure) {
            break;
        }
        const ReceiveResult result = onDatagram({buffer.data(), got}, now);
        if (result != ReceiveResult::Accepted) {
            onDropped(result);
        }
    }
    const std::vector<PromptCacheIndex::Key> parts = mesh_.takeReceivedParts();
    if (!parts.empty()) {
        gateway_.onPeerCachedParts(parts);
    }
}

void LoadExchange::setHandler(char mark, Handler handler)
{
    handlers_[mark] = std::move(handler);
}

ReceiveResult LoadExchange::onDatagram(std::string_view datagram, TimePoint now)
{
    const auto handler = datagram.empty() ? handlers_.end() : handlers_.find(datagram.front());
    if (handler != handlers_.end()) {
        return handler->second(datagram, now);
    }
    if (!isCrashDatagram(datagram)) {
        return mesh_.onDatagram(datagram, gateway_.endpoints(), now);
    }
    std::vector<MeshDatagram> answers;
    const ReceiveResult result = crashGossip_.onDatagram(datagram, now, answers);
    send(answers);
    return result;
}

/** Counts and logs a dropped datagram. Any host can send datagrams to this port. */
void LoadExchange::onDropped(ReceiveResult result)
{
    const std::string_view cause = nameOf(ReceiveResultNames, result);
    gateway_.metrics().count("load_datagrams_dropped_total", observe::metricLabel("cause", cause));
    const TimePoint now = BootClock::now();
    if (now >= nextDropLogAt_) {
        nextDropLogAt_ = now + DropLogInterval;
        logEvent(LogLevel::Warning, "load_dropped", {{"cause", cause}});
    }
}

void LoadExchange::onOrder(const EndpointId &engine, TimePoint until)
{
    changing_[engine] = until;
    const TimePoint now = BootClock::now();
    send(mesh_.sendNow(currentReport(now), gateway_.endpoints(), now));
}

StageDemand LoadExchange::demand(const ServiceId &service) const
{
    StageDemand sum = mesh_.demand(service);
    const auto own = gateway_.demand();
    const auto found = own.find(service);
    if (found != own.end()) {
        sum += found->second;
    }
    return sum;
}

LoadReport LoadExchange::currentReport(TimePoint now) const
{
    LoadReport report;
    report.canLead_ = canLead();
    report.isLeader_ = leadership_.isLeader_();
    for (const auto &[engine, until] : changing_) {
        const Endpoint *endpoint = gateway_.endpoints().find(engine);
        // Omitted once the order is done or was dropped by a restart.
        if (until > now && endpoint != nullptr && endpoint->changingUntil_ > now) {
            report.changingMillis_[engine] = toMillis(until - now);
        }
    }
    for (const auto &[id, endpoint] : gateway_.endpoints().active()) {
        if (endpoint->queued_.all() > 0) {
            report.queued_[id] = endpoint->queued_;
        }
        if (endpoint->listed_.stage_ == Stage::Decode && endpoint->slotUse_.all() > 0) {
            report.slotUse_[id] = endpoint->slotUse_;
        }
        const double failures = endpoint->recentFailures_.at(now);
        if (failures >= MinReportedFailures && !gateway_.isReachInDoubt()) {
            report.failures_[id] = failures;
        }
    }
    report.demand_ = gateway_.demand();
    report.unreached_ = gateway_.unreachableEndpoints(now);
    if (report.unreached_.size() > MaxUnreachedPerReport) {
        report.unreached_.resize(MaxUnreachedPerReport);
    }
    return report;
}

void LoadExchange::tick()
{
    const TimePoint now = BootClock::now();
    timer_.startAt(mesh_.nextTick(now), [this] { tick(); });
    gateway_.endpoints().deactivateIdle(now);
    std::erase_if(changing_, [&](const auto &entry) { return entry.second <= now; });
    mesh_.addReadParts(gateway_.takeNewCachedParts());
    send(mesh_.tick(currentReport(now), gateway_.endpoints(), now));
    send(crashGossip_.tick(now));
    send(limitGossip_.tick(now));
    if (shareGossip_) {
        exchangeShares(now);
    }
}

void LoadExchange::exchangeShares(TimePoint now)
{
    if (now >= nextShortageCheck_) {
        nextShortageCheck_ = now + ShortageCheckInterval;
        for (const auto &[service, own] : gateway_.demand()) {
            gateway_.observeDemand(service, demand(service), isDemandComplete(), now);
        }
    }
    // Reports by account would take 90 kB a second of each of 88 instances at all times.
    if (gateway_.isShortageNear()) {
        send(shareGossip_->tick(now));
    }
}

void LoadExchange::send(const std::vector<MeshDatagram> &datagrams)
{
    for (const MeshDatagram &datagram : datagrams) {
        const auto receiver = peerAddresses_.find(datagram.to_);
        if (receiver == peerAddresses_.end()) {
            continue; // The instance has left since the datagram was made.
        }
        // A datagram that cannot be sent is made up for by the next one.
        boost::system::error_code ignored;
        socket_.send_to(asio::buffer(datagram.bytes_), receiver->second, 0, ignored);
    }
}

} // namespace almondridge::gateway
