#include "almondridge/gateway/loadexchange.h"

#include <algorithm>
#include <array>
#include <cstdlib>

namespace almondridge::gateway {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

/** Queues are told at most this often; an engine reads some 3,000 tokens in the time. */
constexpr std::int64_t LeastIntervalMillis = 50;
/**
 * In larger fleets notes are rarer: an instance takes at most this many in a second, whatever the
 * number of its peers.
 */
constexpr std::int64_t NotesTakenPerSecond = 250;
/** Without any change, so that peers know that nothing is queued. */
constexpr Duration QuietInterval = millis(1'000);
/** A change of a queue that is worth a note: less is read before the note is used. */
constexpr std::int64_t WorthTelling = 2'000;
/** Endpoints that a note names as not reached: a note stays small whatever is cut off. */
constexpr std::size_t MostUnreachedTold = 48;
/** Requests that came to or left engines that generate: a twentieth of an engine's slots. */
constexpr int UsesWorthTelling = 3;
/** What is left of one failure after a second and a half; less says nothing any more. */
constexpr double LeastFailuresTold = 0.5;
/** A failure that peers do not know of yet. */
constexpr double FailureWorthTelling = 0.9;
/** More than any note: some hundred engines. */
constexpr std::size_t DatagramBytes = 16'384;

} // namespace

LoadExchange::LoadExchange(async::EventLoop &loop, Gateway &gateway, InstanceId self,
                           Leadership leadership)
    : gateway_(gateway)
    , self_(std::move(self))
    , leadership_(std::move(leadership))
    , socket_(loop.context())
    , timer_(loop)
    , lifetime_(static_cast<std::uint64_t>(wallMillis()))
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
    waitForNotes();
    tick();
    return {};
}

void LoadExchange::setPeers(const std::vector<net::Address> &peers)
{
    peers_.clear();
    for (const net::Address &peer : peers) {
        boost::system::error_code failure;
        const auto ip = asio::ip::make_address_v4(peer.ip_, failure);
        if (!failure) {
            peers_.emplace_back(ip, peer.port_);
        }
    }
    lastSentAt_ = {}; // New peers are told at once.
}

void LoadExchange::waitForNotes()
{
    socket_.async_wait(Udp::socket::wait_read, [this](const boost::system::error_code &failure) {
        if (!failure) {
            receiveAll();
            waitForNotes();
        }
    });
}

void LoadExchange::receiveAll()
{
    std::array<char, DatagramBytes> buffer;
    const TimePoint now = BootClock::now();
    for (;;) {
        boost::system::error_code failure;
        Udp::endpoint sender;
        const std::size_t got = socket_.receive_from(asio::buffer(buffer), sender, 0, failure);
        if (failure) {
            return;
        }
        const auto note = decodeNote({buffer.data(), got});
        if (note && note->sender_ != self_) {
            loads_.onNote(*note, gateway_.endpoints(), now);
            gateway_.onPartsTold(note->readParts_);
        }
    }
}

void LoadExchange::onOrder(const EndpointId &engine, TimePoint until)
{
    changing_[engine] = until;
    const TimePoint now = BootClock::now();
    send(currentNote(now), now);
}

StageDemand LoadExchange::demand(const ServiceId &service) const
{
    StageDemand sum = loads_.demand(service);
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
    note.sender_ = self_;
    note.lifetime_ = lifetime_;
    note.mayLead_ = leadership_.mayLead_();
    note.leads_ = leadership_.leads_();
    for (const auto &[engine, until] : changing_) {
        const Endpoint *endpoint = gateway_.endpoints().find(engine);
        // Not once the order is done, or forgotten by a restart.
        if (until > now && endpoint != nullptr && endpoint->changingUntil_ > now) {
            note.changingMillis_[engine] = toMillis(until - now);
        }
    }
    for (const auto &[id, endpoint] : gateway_.endpoints().all()) {
        if (endpoint.queued_.all() > 0) {
            note.queued_[id] = endpoint.queued_;
        }
        if (endpoint.listed_.stage_ == Stage::Decode && endpoint.slotUse_.all() > 0) {
            note.slotUse_[id] = endpoint.slotUse_;
        }
        const double failures = endpoint.recentFailures_.at(now);
        if (failures >= LeastFailuresTold) {
            note.failures_[id] = failures;
        }
    }
    note.demand_ = gateway_.demand();
    note.unreached_ = gateway_.endpoints().unreached(now);
    if (note.unreached_.size() > MostUnreachedTold) {
        note.unreached_.resize(MostUnreachedTold);
    }
    return note;
}

bool LoadExchange::worthSending(const LoadNote &note, TimePoint now) const
{
    if (now >= lastSentAt_ + QuietInterval || note.mayLead_ != last_.mayLead_
        || note.leads_ != last_.leads_ || note.unreached_ != last_.unreached_) {
        return true;
    }
    const auto isNewFailure = [&](const auto &entry) {
        const auto found = last_.failures_.find(entry.first);
        const double before = found != last_.failures_.end() ? found->second : 0;
        return entry.second - before >= FailureWorthTelling;
    };
    if (std::any_of(note.failures_.begin(), note.failures_.end(), isNewFailure)) {
        return true;
    }
    const auto usesDiffer = [&](const auto &one, const auto &other) {
        int sum = 0;
        for (const auto &[id, use] : one) {
            const auto found = other.find(id);
            sum += std::abs(use.all() - (found != other.end() ? found->second.all() : 0));
        }
        return sum >= UsesWorthTelling;
    };
    const auto differs = [](const auto &one, const auto &other) {
        return std::any_of(one.begin(), one.end(), [&](const auto &entry) {
            const auto found = other.find(entry.first);
            const std::int64_t before = found != other.end() ? found->second.all() : 0;
            return std::abs(entry.second.all() - before) >= WorthTelling;
        });
    };
    return differs(note.queued_, last_.queued_) || differs(last_.queued_, note.queued_)
           || usesDiffer(note.slotUse_, last_.slotUse_);
}

void LoadExchange::tick()
{
    const TimePoint now = BootClock::now();
    const auto peers = static_cast<std::int64_t>(peers_.size());
    timer_.startAt(now + millis(std::max(LeastIntervalMillis, peers * 1'000 / NotesTakenPerSecond)),
                   [this] { tick(); });
    loads_.forgetSilent(gateway_.endpoints(), now);
    std::erase_if(changing_, [&](const auto &entry) { return entry.second <= now; });
    LoadNote note = currentNote(now);
    if (!peers_.empty() && worthSending(note, now)) {
        send(std::move(note), now);
    }
}

void LoadExchange::send(LoadNote note, TimePoint now)
{
    note.number_ = ++number_;
    const std::vector<PromptMemory::Key> read = gateway_.takeReadParts();
    note.readParts_ = std::exchange(toldOnce_, read);
    note.readParts_.insert(note.readParts_.end(), read.begin(), read.end());
    const std::string bytes = encodeNote(note);
    for (const Udp::endpoint &peer : peers_) {
        boost::system::error_code lost; // A note that does not leave is made good by the next.
        socket_.send_to(asio::buffer(bytes), peer, 0, lost);
    }
    last_ = std::move(note);
    lastSentAt_ = now;
}

} // namespace almondridge::gateway
