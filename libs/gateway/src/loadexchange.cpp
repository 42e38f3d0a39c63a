#include "almondridge/gateway/loadexchange.h"

#include "almondridge/base/log.h"

#include <algorithm>
#include <array>

namespace almondridge::gateway {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

/** Endpoints that a note names as not reached: a note stays small whatever is cut off. */
constexpr std::size_t MostUnreachedTold = 48;
/** What is left of one failure after a second and a half; less says nothing any more. */
constexpr double LeastFailuresTold = 0.5;
/** Between two lines that tell of dropped datagrams: the counter has them all. */
constexpr Duration DroppedLineInterval = millis(10'000);
/** More than any note: some hundred engines. */
constexpr std::size_t DatagramBytes = 16'384;

} // namespace

LoadExchange::LoadExchange(async::EventLoop &loop, Gateway &gateway, const MeshMember &self,
                           Leadership leadership)
    : gateway_(gateway)
    , leadership_(std::move(leadership))
    , socket_(loop.context())
    , timer_(loop)
    , mesh_(self.id_, self.domain_, self.linkMbps_, static_cast<std::uint64_t>(wallMillis()))
    , crashes_(gateway.crashEvidence(), self.id_, std::random_device {}())
{ }

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
                    "leave the first port for peers free");
    }
    waitForDatagrams();
    tick();
    return {};
}

void LoadExchange::setPeers(const std::vector<std::pair<MeshMember, net::Address>> &peers)
{
    std::vector<MeshMember> members;
    receivers_.clear();
    for (const auto &[member, address] : peers) {
        boost::system::error_code failure;
        const auto ip = asio::ip::make_address_v4(address.ip_, failure);
        if (!failure) {
            members.push_back(member);
            receivers_[member.id_] = {ip, address.port_};
        }
    }
    mesh_.setMembers(members);
    std::vector<InstanceId> ids;
    ids.reserve(members.size());
    for (const MeshMember &member : members) {
        ids.push_back(member.id_);
    }
    crashes_.setPeers(std::move(ids));
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
    std::array<char, DatagramBytes> buffer;
    const TimePoint now = BootClock::now();
    for (;;) {
        boost::system::error_code failure;
        Receiver sender;
        const std::size_t got = socket_.receive_from(asio::buffer(buffer), sender, 0, failure);
        if (failure) {
            break;
        }
        const Reception reception = onDatagram({buffer.data(), got}, now);
        if (reception != Reception::Taken) {
            onDropped(reception);
        }
    }
    const std::vector<PromptCacheIndex::Key> parts = mesh_.takeToldParts();
    if (!parts.empty()) {
        gateway_.onPeerCachedParts(parts);
    }
}

void LoadExchange::setHandler(char mark, Handler handler)
{
    handlers_[mark] = std::move(handler);
}

Reception LoadExchange::onDatagram(std::string_view datagram, TimePoint now)
{
    const auto handler = datagram.empty() ? handlers_.end() : handlers_.find(datagram.front());
    if (handler != handlers_.end()) {
        return handler->second(datagram, now);
    }
    if (!isCrashDatagram(datagram)) {
        return mesh_.onDatagram(datagram, gateway_.endpoints(), now);
    }
    std::vector<MeshDatagram> answers;
    const Reception reception = crashes_.onDatagram(datagram, now, answers);
    send(answers);
    return reception;
}

/** Anybody may send datagrams here. */
void LoadExchange::onDropped(Reception reception)
{
    const std::string_view cause = nameOf(ReceptionNames, reception);
    gateway_.metrics().count("load_datagrams_dropped_total", observe::metricLabel("cause", cause));
    const TimePoint now = BootClock::now();
    if (now >= droppedLineAt_) {
        droppedLineAt_ = now + DroppedLineInterval;
        logEvent(LogLevel::Warning, "load_dropped", {{"cause", cause}});
    }
}

void LoadExchange::onOrder(const EndpointId &engine, TimePoint until)
{
    changing_[engine] = until;
    const TimePoint now = BootClock::now();
    send(mesh_.tellNow(currentNote(now), gateway_.endpoints(), now));
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

LoadNote LoadExchange::currentNote(TimePoint now) const
{
    LoadNote note;
    note.mayLead_ = leadership_.mayLead_();
    note.leads_ = leadership_.leads_();
    for (const auto &[engine, until] : changing_) {
        const Endpoint *endpoint = gateway_.endpoints().find(engine);
        // Not once the order is done, or forgotten by a restart.
        if (until > now && endpoint != nullptr && endpoint->changingUntil_ > now) {
            note.changingMillis_[engine] = toMillis(until - now);
        }
    }
    for (const auto &[id, endpoint] : gateway_.endpoints().active()) {
        if (endpoint->queued_.all() > 0) {
            note.queued_[id] = endpoint->queued_;
        }
        if (endpoint->listed_.stage_ == Stage::Decode && endpoint->slotUse_.all() > 0) {
            note.slotUse_[id] = endpoint->slotUse_;
        }
        const double failures = endpoint->recentFailures_.at(now);
        if (failures >= LeastFailuresTold) {
            note.failures_[id] = failures;
        }
    }
    note.demand_ = gateway_.demand();
    note.unreached_ = gateway_.endpoints().recentlyUnreachable(now);
    if (note.unreached_.size() > MostUnreachedTold) {
        note.unreached_.resize(MostUnreachedTold);
    }
    return note;
}

void LoadExchange::tick()
{
    const TimePoint now = BootClock::now();
    timer_.startAt(mesh_.nextTick(now), [this] { tick(); });
    gateway_.endpoints().deactivateIdle(now);
    std::erase_if(changing_, [&](const auto &entry) { return entry.second <= now; });
    mesh_.addReadParts(gateway_.takeNewCachedParts());
    send(mesh_.tick(currentNote(now), gateway_.endpoints(), now));
    send(crashes_.tick(now));
}

void LoadExchange::send(const std::vector<MeshDatagram> &datagrams)
{
    for (const MeshDatagram &datagram : datagrams) {
        const auto receiver = receivers_.find(datagram.to_);
        if (receiver == receivers_.end()) {
            continue; // It has left since the datagram was made.
        }
        boost::system::error_code lost; // What does not leave is made good by the next.
        socket_.send_to(asio::buffer(datagram.bytes_), receiver->second, 0, lost);
    }
}

} // namespace almondridge::gateway
