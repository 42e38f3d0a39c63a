/**
 * What heartbeats between entry instances cost: bytes, processor time and memory, at several
 * sizes, with straight lines through the figures and how far these miss them.
 *
 *   bench_peers [seconds]   seconds: how long each live fleet is measured (default 5)
 */
#include "almondridge/base/log.h"
#include "connection.h"
#include "credentials.h"
#include "heartbeat.h"
#include "linefit.h"
#include "rendezvous.h"
#include "sharedmembership.h"

#include <algorithm>
#include <cstdio>
#include <linux/tcp.h>
#include <map>
#include <netinet/in.h>
#include <poll.h>
#include <set>
#include <sys/socket.h>
#include <thread>

using namespace almondridge;
using namespace almondridge::peers;
using bench::fit;
using bench::heapBytes;
using bench::Line;
using bench::processSeconds;
using bench::Sample;

namespace {

constexpr double SegmentHeaderBytes = 52; // IPv4 and TCP with time stamps.
const std::string Key = "the key of the benchmark";

/** As docs/PROTOCOLS.md lists it: revision, next log offset, lease seen, spare share per model. */
nlohmann::json digestOf(int models)
{
    nlohmann::json spare = nlohmann::json::object();
    for (int model = 0; model < models; ++model) {
        spare["model-" + std::to_string(model)] = 20 + model;
    }
    return {{"revision", 7'100'000}, {"next", 81'000'000}, {"lease", 80'999'000}, {"spare", spare}};
}

PeerIdentity identityOf(int index, const std::string &domain)
{
    const auto port = static_cast<std::uint16_t>(10'000 + index);
    return {InstanceId("entry-" + domain + "-" + std::to_string(index)),
            DomainId(domain),
            {"10.1.2.3", port},
            1'796'234'846'979'000'000U,
            false};
}

MembershipSettings settingsOf(const PeerIdentity &self)
{
    return {self, millis(500), millis(2'000), std::chrono::minutes(10), 0};
}

Heartbeat heartbeatOf(const PeerIdentity &sender, std::uint64_t sequence)
{
    Heartbeat heartbeat;
    heartbeat.sender_ = sender;
    heartbeat.sequence_ = sequence;
    heartbeat.nextWithinMillis_ = 750;
    return heartbeat;
}

/** One end of a link, all but the socket. */
struct Side
{
    Side(const PeerIdentity &self, H2Role role, int models)
        : timeline_(self.instance_, self.domain_, 1'000)
        , events_(&timeline_)
        , membership_(settingsOf(self), events_, [](const Member &) {})
        , credentials_(settingsFor(self), events_)
        , session_(role, 1 << 20)
    {
        membership_.setDigest(digestOf(models));
    }

    static const ExchangeSettings &settingsFor(const PeerIdentity &self)
    {
        static ExchangeSettings settings;
        settings.instance_ = self.instance_;
        settings.domain_ = self.domain_;
        settings.key_ = Key;
        return settings;
    }

    observe::Timeline timeline_;
    PeerEvents events_;
    SharedMembership membership_;
    Credentials credentials_;
    H2Session session_;
};

/** Two instances of a fleet of a given size that exchange heartbeats in memory. */
class Pair
{
public:
    Pair(int members, int models)
        : client_(identityOf(0, "north"), H2Role::Client, models)
        , server_(identityOf(1, "north"), H2Role::Server, models)
    {
        for (int index = 2; index < members; ++index) {
            const Heartbeat heartbeat = heartbeatOf(identityOf(index, "north"), 1);
            client_.membership_.onHeartbeat(heartbeat);
            server_.membership_.onHeartbeat(heartbeat);
        }
    }

    void exchange()
    {
        const Audience audience {server_.membership_.self().address_, 0};
        const InstanceId &server = server_.membership_.self().instance_;
        std::string body = encodeHeartbeat(client_.membership_.compose(server));
        bodyBytes_ += body.size();
        H2Message request =
            client_.credentials_.signRequest("/peer/heartbeat", audience, std::move(body));
        const std::string nonce = request.nonce_;
        client_.session_.request(std::move(request));
        move(client_.session_, server_.session_);
        for (H2Event &event : server_.session_.takeEvents()) {
            if (event.kind_ == H2EventKind::Message) {
                answer(event, audience);
            }
        }
        move(server_.session_, client_.session_);
        for (const H2Event &event : client_.session_.takeEvents()) {
            if (event.kind_ == H2EventKind::Message) {
                valid_ += client_.credentials_.checkAnswer(event.message_, nonce) ? 1 : 0;
                client_.membership_.onHeartbeat(heard(event.message_), audience.address_);
            }
        }
    }

    std::size_t bytes() const { return bytes_; }
    std::size_t bodyBytes() const { return bodyBytes_; }
    int valid() const { return valid_; }

private:
    static Heartbeat heard(const H2Message &message)
    {
        return decodeHeartbeat(message.body_, InstanceId(message.instance_),
                               DomainId(message.domain_))
            .value();
    }

    void answer(const H2Event &event, const Audience &audience)
    {
        const H2Message &request = event.message_;
        if (server_.credentials_.checkRequest(request, audience, BootClock::now())
            != AuthenticationResult::Valid) {
            return;
        }
        server_.membership_.onHeartbeat(heard(request));
        std::string body =
            encodeHeartbeat(server_.membership_.compose(InstanceId(request.instance_)));
        bodyBytes_ += body.size();
        server_.session_.answer(
            event.stream_, server_.credentials_.signAnswer(200, request.nonce_, std::move(body)));
    }

    void move(H2Session &from, H2Session &to)
    {
        std::string output;
        from.takeOutput(output, 1 << 20);
        bytes_ += output.size();
        to.receive(output);
    }

    Side client_;
    Side server_;
    std::size_t bytes_ = 0;
    std::size_t bodyBytes_ = 0;
    int valid_ = 0;
};

struct ExchangeCost
{
    double bytes_ = 0;
    double bodyBytes_ = 0;
    double firstBytes_ = 0;
    double microseconds_ = 0;
};

ExchangeCost measureExchange(int members, int models)
{
    constexpr int Rounds = 2'000;
    Pair pair(members, models);
    pair.exchange();
    const std::size_t first = pair.bytes();
    for (int round = 0; round < 50; ++round) {
        pair.exchange();
    }
    const std::size_t before = pair.bytes();
    const std::size_t bodiesBefore = pair.bodyBytes();
    const double start = processSeconds();
    for (int round = 0; round < Rounds; ++round) {
        pair.exchange();
    }
    const double seconds = processSeconds() - start;
    if (pair.valid() != Rounds + 51) {
        std::printf("FAILED: only %d exchanges were valid\n", pair.valid());
        std::exit(1);
    }
    return {static_cast<double>(pair.bytes() - before) / Rounds,
            static_cast<double>(pair.bodyBytes() - bodiesBefore) / Rounds,
            static_cast<double>(first), seconds * 1e6 / Rounds};
}

/** TCP segments that a request and its answer take, both directions, by the kernel's count. */
double measureSegments()
{
    constexpr int Rounds = 20;
    std::uint16_t port = 0;
    const OwnedDescriptor listener = listenOn({"127.0.0.1", 0}, port);
    const OwnedDescriptor client = connectTo({"127.0.0.1", port}, millis(5'000));
    pollfd ready {listener.value(), POLLIN, 0};
    ::poll(&ready, 1, 5'000);
    PeerAddress remote;
    const OwnedDescriptor server = acceptFrom(listener.value(), millis(5'000), remote);
    const auto segments = [&] {
        tcp_info info {};
        socklen_t size = sizeof info;
        ::getsockopt(client.value(), IPPROTO_TCP, TCP_INFO, &info, &size);
        return info.tcpi_segs_in + info.tcpi_segs_out;
    };
    const auto pass = [](const OwnedDescriptor &from, const OwnedDescriptor &to) {
        char buffer[512] = {};
        ::send(from.value(), buffer, 300, 0);
        pollfd entry {to.value(), POLLIN, 0};
        ::poll(&entry, 1, 5'000);
        [[maybe_unused]] const ssize_t got = ::recv(to.value(), buffer, sizeof buffer, 0);
    };
    const auto before = segments();
    for (int round = 0; round < Rounds; ++round) {
        pass(client, server);
        pass(server, client);
        // As far apart as heartbeats are, so that acknowledgements are sent on their own.
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
    return static_cast<double>(segments() - before) / Rounds;
}

/** Heap that a member takes: its record with a digest of 24 models. */
double measureMemberBytes(int members)
{
    PeerEvents events(nullptr);
    SharedMembership membership(settingsOf(identityOf(0, "north")), events, [](const Member &) {});
    const double before = heapBytes();
    for (int index = 1; index <= members; ++index) {
        Heartbeat heartbeat = heartbeatOf(identityOf(index, "north"), 1);
        heartbeat.digest_ = digestOf(24);
        membership.onHeartbeat(heartbeat);
    }
    return heapBytes() - before;
}

/** Heap that a link takes: the sessions at both its ends, after some exchanges. */
double measureLinkBytes(int links)
{
    std::vector<std::unique_ptr<Pair>> pairs;
    const double before = heapBytes();
    for (int index = 0; index < links; ++index) {
        pairs.push_back(std::make_unique<Pair>(2, 24));
        for (int round = 0; round < 5; ++round) {
            pairs.back()->exchange();
        }
    }
    return heapBytes() - before;
}

void line(const char *what, const char *unit, const Line &line)
{
    std::printf("  line: %s = %.2f + %.4f * n %s, worst miss %.1f %%\n", what, line.base_,
                line.slope_, unit, 100 * line.worstMiss_);
}

struct LiveCost
{
    double cpuPerNode_ = 0;       ///< Seconds of processor time in a second.
    double exchangesPerNode_ = 0; ///< In a second, by the intervals.
};

/** A fleet of whole exchanges in this process, all linked with all. */
LiveCost measureLive(int members, Duration interval, double seconds)
{
    std::vector<std::unique_ptr<PeerExchange>> fleet;
    std::vector<PeerAddress> seeds;
    for (int index = 0; index < members; ++index) {
        PeerExchange::Builder builder;
        builder.self(InstanceId("entry-" + std::to_string(index)), DomainId("north"));
        builder.listen({"127.0.0.1", 0}).key(Key).heartbeat(interval, 20 * interval).budget(0);
        builder.digest([] { return digestOf(24); });
        fleet.push_back(builder.build());
        fleet.back()->seed(seeds);
        fleet.back()->start().value();
        seeds = {{"127.0.0.1", fleet.front()->port()}};
    }
    const auto whole = [&](const auto &exchange) {
        return exchange->members().size() + 1 == fleet.size();
    };
    while (!std::all_of(fleet.begin(), fleet.end(), whole)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    std::this_thread::sleep_for(2 * interval);
    const double before = processSeconds();
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    const double spent = processSeconds() - before;
    const double perSecond = 1.0 / toSeconds(interval);
    return {spent / seconds / members, (members - 1) * perSecond};
}

void printExchange(int models, int members, const ExchangeCost &cost)
{
    std::printf("  %6d %7d  %5.0f  %6.0f  %11.0f  %6.1f\n", models, members, cost.bytes_,
                cost.bodyBytes_, cost.firstBytes_, cost.microseconds_);
}

void reportExchanges()
{
    std::printf("one exchange (heartbeat and answer), both sides, in memory\n");
    std::printf("  models members  bytes  bodies  first-bytes  us-cpu\n");
    std::vector<Sample> byMembers;
    for (const int members : {9, 37, 110, 330}) {
        const ExchangeCost cost = measureExchange(members, 24);
        byMembers.push_back({static_cast<double>(members), cost.microseconds_});
        printExchange(24, members, cost);
    }
    line("us of cpu by members", "us", fit(byMembers));
    std::vector<Sample> byModels;
    for (const int models : {0, 2, 6, 12, 24}) {
        const ExchangeCost cost = measureExchange(9, models);
        byModels.push_back({static_cast<double>(models), cost.bytes_});
        printExchange(models, 9, cost);
    }
    line("bytes by models in the digest", "bytes", fit(byModels));
    std::printf("  a digest of 24 models: %zu bytes in CBOR, %zu in JSON\n",
                encodeCbor(digestOf(24)).size(), digestOf(24).dump().size());
}

void reportMemory()
{
    std::printf("heap in bytes\n");
    std::vector<Sample> byMembers;
    for (const int members : {9, 37, 110, 330}) {
        byMembers.push_back({static_cast<double>(members), measureMemberBytes(members)});
        std::printf("  %4d members with digests of 24 models: %.0f\n", members,
                    byMembers.back().y_);
    }
    line("heap by members", "bytes", fit(byMembers));
    std::vector<Sample> byLinks;
    for (const int links : {10, 50, 200}) {
        byLinks.push_back({static_cast<double>(links), measureLinkBytes(links)});
        std::printf("  %4d links, both ends: %.0f\n", links, byLinks.back().y_);
    }
    line("heap by links, both ends", "bytes", fit(byLinks));
}

void reportLive(double seconds)
{
    const Duration interval = millis(200);
    std::printf("live exchanges in one process, interval 200 ms, digests of 24 models\n");
    std::vector<Sample> samples;
    for (const int members : {3, 9, 17, 33}) {
        const LiveCost cost = measureLive(members, interval, seconds);
        samples.push_back({cost.exchangesPerNode_, cost.cpuPerNode_ * 1e6});
        std::printf("  %3d members: %6.0f exchanges/s a node, %8.0f us of cpu a second a node\n",
                    members, cost.exchangesPerNode_, cost.cpuPerNode_ * 1e6);
    }
    line("us of cpu in a second by exchanges in a second", "us", fit(samples));
}

struct LinkCounts
{
    double near_ = 0;
    double far_ = 0;
};

/** Links that a node has on average: those that it chose, and those that chose it. */
LinkCounts linksOf(int members, int domains)
{
    const auto domainOf = [&](int index) { return index % domains; };
    const auto idOf = [](int index) { return InstanceId("entry-" + std::to_string(index)); };
    std::set<std::pair<int, int>> farLinks;
    LinkCounts links;
    for (int self = 0; self < members; ++self) {
        std::map<int, std::vector<std::pair<std::uint64_t, int>>> ranked;
        for (int other = 0; other < members; ++other) {
            if (domainOf(other) != domainOf(self)) {
                ranked[domainOf(other)].push_back({gatewayWeight(idOf(self), idOf(other)), other});
            } else if (other != self) {
                links.near_ += 1.0 / members;
            }
        }
        for (auto &[domain, others] : ranked) {
            std::sort(others.rbegin(), others.rend());
            others.resize(std::min(others.size(), GatewaysPerDomain));
            for (const auto &[weight, other] : others) {
                farLinks.insert(std::minmax(self, other));
            }
        }
    }
    links.far_ = 2.0 * static_cast<double>(farLinks.size()) / members;
    return links;
}

/** What a node sends and receives at the sizes in view. */
void reportFleet(int members, int domains, int models)
{
    const LinkCounts links = linksOf(members, domains);
    const double bytes = measureExchange(9, models).bytes_ + 3 * SegmentHeaderBytes;
    std::printf("  %3d members, %d domains, %2d models: %4.1f near and %4.1f far links a node, "
                "%.0f bytes an exchange\n",
                members, domains, models, links.near_, links.far_, bytes);
    std::printf("      no budget   : %6.0f B/s at 0.5 s\n",
                bytes * (links.near_ + links.far_) / 0.5);
    for (const double budget : {16'384.0, 2'048.0, 1'024.0}) {
        const Intervals intervals =
            stretchIntervals(millis(500), links.near_, links.far_, budget / bytes);
        const double near = toSeconds(intervals.ownDomain_);
        const double far = toSeconds(intervals.crossDomain_);
        std::printf("      budget %5.0f: %6.0f B/s, interval %6.2f s near, %6.2f s far\n", budget,
                    bytes * (links.near_ / near + links.far_ / far), near, far);
    }
}

} // namespace

int main(int count, char **arguments)
{
    startLog(LogLevel::Error, "bench", "north");
    const double seconds = count > 1 ? std::atof(arguments[1]) : 5;
    reportExchanges();
    std::printf("TCP segments for one exchange, both directions: %.2f\n", measureSegments());
    reportMemory();
    reportLive(seconds);
    std::printf("bytes a second a node, in and out, with TCP and IP headers\n");
    reportFleet(9, 3, 2);
    reportFleet(37, 4, 24);
    reportFleet(330, 9, 24);
    return 0;
}
