#include "machine.h"

#include "almondridge/base/enumnames.h"

#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace almondridge::crowd {
namespace {

using Json = nlohmann::json;

constexpr double KilobytesPerMb = 1'024;
constexpr double BytesPerMb = 1'048'576;
constexpr Duration SampleInterval = millis(20);
constexpr Duration GiveUpAfter = millis(20'000);
/** Between two ordinary requests of isServed(). */
constexpr Duration RequestInterval = millis(200);

constexpr std::array<EnumName<EndpointManner>, 6> MannerNames {{
    {EndpointManner::Answers, "answers"},
    {EndpointManner::AnswersLong, "answers-long"},
    {EndpointManner::Silent, "silent"},
    {EndpointManner::NeverReads, "never-reads"},
    {EndpointManner::Streams, "streams"},
    {EndpointManner::SilentStreams, "silent-streams"},
}};

constexpr std::string_view Signed = "X-Response-Signature: s\r\n";
constexpr std::size_t EventBytes = 32'768;
/** Endpoints of added services answer it in the usual way. */
constexpr std::string_view ProbeMethod = "OPTIONS";

std::string requestIdOf(const std::string &request)
{
    constexpr std::string_view Name = "\r\nX-Request-Id: ";
    const std::size_t at = request.find(Name);
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t begin = at + Name.size();
    return fmt::format("X-Request-Id: {}\r\n",
                       request.substr(begin, request.find('\r', begin) - begin));
}

/** Writes the next event each time that the one before is on its way. */
void streamEvents(async::EventLoop &loop, const RawServer::Peer &peer, const std::string &request)
{
    peer->write(fmt::format("HTTP/1.1 200 OK\r\n{}{}Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n",
                            Signed, requestIdOf(request)));
    const auto number = std::make_shared<int>(0);
    const auto writeNext = [weak = std::weak_ptr(peer), number] {
        if (const auto open = weak.lock()) {
            const std::string event =
                fmt::format("id: {}\ndata: {}\n\n", ++*number, std::string(EventBytes, 'e'));
            open->write(fmt::format("{:x}\r\n{}\r\n", event.size(), event));
        }
    };
    // Posted, because a write that the kernel takes at once reports that it is written.
    peer->onWritten([&loop, writeNext] { loop.post(writeNext); });
    loop.post(writeNext);
}

void answer(const RawServer::Peer &peer, const std::string &request, std::size_t bytes)
{
    peer->write(async::testing::responseText(200, std::string(Signed) + requestIdOf(request),
                                             std::string(bytes, 'a')));
}

RawServer::Script scriptOf(async::EventLoop &loop, EndpointManner manner)
{
    switch (manner) {
    case EndpointManner::Answers:
        return [](const auto &peer, const std::string &request) { answer(peer, request, 2); };
    case EndpointManner::AnswersLong:
        return [](const auto &peer, const std::string &request) {
            answer(peer, request, LongAnswerBytes);
        };
    case EndpointManner::Streams:
        return [&loop](const auto &peer, const std::string &request) {
            streamEvents(loop, peer, request);
        };
    case EndpointManner::Silent:
    case EndpointManner::SilentStreams:
    case EndpointManner::NeverReads:
        break;
    }
    return [](const auto &, const std::string &) {};
}

int numberFromEnvironment(const char *name, int otherwise)
{
    const char *text = std::getenv(name);
    return text != nullptr ? std::stoi(text) : otherwise;
}

/** Another build's program by hand, to compare what requests cost: CROWD_PROGRAM. */
std::string programPath()
{
    const char *path = std::getenv("CROWD_PROGRAM");
    return path != nullptr ? path : ALMONDRIDGE_BINARY_DIR "/bin/almondridge";
}

std::string writeSettings(const std::string &path, const Json &settings)
{
    std::ofstream(path) << settings.dump();
    return path;
}

} // namespace

MachineLimits machineLimits()
{
    MachineLimits limits;
    limits.memoryMb_ = numberFromEnvironment("CROWD_MEMORY_MB", limits.memoryMb_);
    limits.descriptors_ = numberFromEnvironment("CROWD_DESCRIPTORS", limits.descriptors_);
    limits.bodyBytes_ = static_cast<std::size_t>(
        numberFromEnvironment("CROWD_BODY_BYTES", static_cast<int>(limits.bodyBytes_)));
    return limits;
}

int crowdClients()
{
    constexpr int ClientsInCi = 60;
    return numberFromEnvironment("CROWD_CLIENTS", ClientsInCi);
}

Machine::Machine(const std::string &directory, const net::Address &store,
                 const MachineLimits &limits, int number)
    : readyPort_(testing::freePort())
    , callersPort_(testing::freePort())
    , peerPort_(testing::freePortPair())
    , logPath_(fmt::format("{}/instance-{}.log", directory, number))
    , process_({programPath(), "entry",
                "--settings="
                    + writeSettings(fmt::format("{}/instance-{}.json", directory, number),
                                    {{"instance", fmt::format("instance-{}", number)},
                                     {"domain", "z"},
                                     {"ip", "127.0.0.1"},
                                     {"listen", fmt::format("127.0.0.1:{}", callersPort_)},
                                     {"healthListen", fmt::format("127.0.0.1:{}", readyPort_)},
                                     {"firstPeerPort", peerPort_},
                                     {"store", net::toString(store)},
                                     {"requestKeySecret", "crowd"},
                                     {"firstStart", true},
                                     {"secondSendSlack", 100},
                                     {"graceSeconds", limits.graceSeconds_},
                                     {"maxDescriptors", limits.descriptors_},
                                     {"memoryMb", limits.memoryMb_}})},
               logPath_)
{ }

std::uint16_t Machine::port(Port port) const
{
    const std::map<Port, int> ports {{Port::Callers, callersPort_},
                                     {Port::Messages, peerPort_},
                                     {Port::Requests, peerPort_ + 1},
                                     {Port::Ready, readyPort_}};
    return static_cast<std::uint16_t>(ports.at(port));
}

double Machine::statusMb(const std::string &field) const
{
    std::ifstream status(fmt::format("/proc/{}/status", process_.pid()));
    std::string name;
    for (std::string line; std::getline(status, line);) {
        std::istringstream words(line);
        double kilobytes = 0;
        if (words >> name >> kilobytes && name == field + ":") {
            return kilobytes / KilobytesPerMb;
        }
    }
    return 0;
}

double Machine::unreadMb() const
{
    std::ifstream sockets("/proc/net/tcp");
    std::string line;
    std::getline(sockets, line);
    double bytes = 0;
    while (std::getline(sockets, line)) {
        std::istringstream words(line);
        std::string index;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        words >> index >> local >> remote >> state >> queues;
        const int port = std::stoi(local.substr(local.find(':') + 1), nullptr, 16);
        constexpr std::string_view Established = "01";
        const bool isOwn = port == callersPort_ || port == readyPort_ || port == peerPort_
                           || port == peerPort_ + 1;
        if (isOwn && state == Established) {
            bytes += std::stoi(queues.substr(queues.find(':') + 1), nullptr, 16);
        }
    }
    return bytes / BytesPerMb;
}

std::size_t Machine::logBytes() const
{
    return std::filesystem::file_size(logPath_);
}

Site::Site(const MachineLimits &limits, int instances)
    : limits_(limits)
    , store_(loop_)
    , peaks_(static_cast<std::size_t>(instances))
{
    for (const EnumName<EndpointManner> &manner : MannerNames) {
        const bool streams = manner.value_ == EndpointManner::Streams
                             || manner.value_ == EndpointManner::SilentStreams;
        services_.push_back({std::string(manner.name_), streams ? "streaming" : "unsafe"});
    }
    writeConfig();
    for (const EnumName<EndpointManner> &manner : MannerNames) {
        addEndpoint(manner.value_);
    }
    for (int number = 0; number < instances; ++number) {
        machines_.push_back(
            std::make_unique<Machine>(folder_.path(""), store_.address(), limits_, number));
    }
    for (int number = 0; number < instances; ++number) {
        BOOST_REQUIRE(isServed(number));
    }
}

void Site::writeConfig()
{
    Json routes = Json::array();
    Json services = Json::array();
    for (const Service &service : services_) {
        routes.push_back({{"name", service.name_},
                          {"host", "h"},
                          {"path-prefix", fmt::format("/{}/", service.name_)},
                          {"kind", service.kind_},
                          {"service", service.name_},
                          {"timeout-ms", 15'000},
                          {"target-latency-ms", 300},
                          {"gap-aim-ms", 200},
                          {"max-attempts", 1}});
        services.push_back({{"name", service.name_}, {"max-conns", 2'000}});
    }
    store_.put("keyed.op", "config",
               Json {{"version", ++configVersion_},
                     {"routes", routes},
                     {"services", services},
                     {"limits",
                      {{"max-header-bytes", limits_.headBytes_},
                       {"max-body-bytes", limits_.bodyBytes_},
                       {"header-timeout-ms", 3'000},
                       {"idle-timeout-ms", 15'000}}}}
                   .dump());
}

void Site::addEndpoint(EndpointManner manner)
{
    RawServer &server = endpoints_.emplace_back(loop_, scriptOf(loop_, manner));
    if (manner == EndpointManner::NeverReads) {
        server.readNothing();
    }
    const std::string name(nameOf(MannerNames, manner));
    listEndpoint("e-" + name, name, server.address());
}

void Site::listEndpoint(const std::string &key, const std::string &service,
                        const net::Address &address)
{
    store_.put("keyed.servers", key,
               Json {{"service", service},
                     {"address", net::toString(address)},
                     {"zone", "z"},
                     {"version", "v1"},
                     {"slots", 2'000},
                     {"state", "ready"},
                     {"seq", 1}}
                   .dump());
}

void Site::addService(const std::string &name, const std::string &kind, RawServer::Script script)
{
    RawServer &server = endpoints_.emplace_back(
        loop_, [script = std::move(script)](const auto &peer, const std::string &request) {
            request.starts_with(ProbeMethod) ? answer(peer, request, 2) : script(peer, request);
        });
    services_.push_back({name, kind});
    listEndpoint("e-" + name, name, server.address());
    writeConfig();
    for (int number = 0; number < machines(); ++number) {
        std::string answer;
        BOOST_REQUIRE(runUntil([&] {
            answer = answerTo(requestHead(name, "", std::string(ProbeMethod)), number);
            return !answer.starts_with("HTTP/1.1 404") && !answer.starts_with("HTTP/1.1 503");
        }));
    }
}

void Site::restartAll()
{
    for (std::size_t number = 0; number < machines_.size(); ++number) {
        machines_[number].reset();
        machines_[number] = std::make_unique<Machine>(folder_.path(""), store_.address(), limits_,
                                                      static_cast<int>(number));
    }
    for (int number = 0; number < machines(); ++number) {
        BOOST_REQUIRE(isServed(number));
    }
}

void Site::sample()
{
    for (std::size_t number = 0; number < machines_.size(); ++number) {
        const Machine &machine = *machines_[number];
        Peaks &peaks = peaks_[number];
        peaks.memoryMb_ = std::max(
            {peaks.memoryMb_, machine.peakMb(), machine.residentMb() + machine.unreadMb()});
        peaks.descriptors_ = std::max(peaks.descriptors_, machine.descriptors());
    }
}

bool Site::runUntil(const std::function<bool()> &condition)
{
    const TimePoint giveUp = BootClock::now() + GiveUpAfter;
    TimePoint nextSample {};
    loop_.context().restart();
    while (!condition() && BootClock::now() < giveUp) {
        loop_.context().run_one_for(std::chrono::milliseconds(20));
        if (BootClock::now() >= nextSample) {
            sample();
            nextSample = BootClock::now() + SampleInterval;
        }
    }
    return condition();
}

void Site::runFor(Duration length)
{
    const TimePoint until = BootClock::now() + length;
    runUntil([until] { return BootClock::now() >= until; });
}

bool Site::isServed(int number)
{
    const std::string text = requestHead(EndpointManner::Answers, "Content-Length: 2\r\n") + "ok";
    TimePoint nextAt {};
    std::list<RawClient> asked;
    return runUntil([&] {
        if (BootClock::now() >= nextAt) {
            asked.emplace_back(loop_, machine(number).port(Port::Callers)).send(text);
            nextAt = BootClock::now() + RequestInterval;
        }
        return std::any_of(asked.begin(), asked.end(),
                           [](const RawClient &client) { return client.has("HTTP/1.1 200"); });
    });
}

std::string Site::answerTo(const std::string &request, int number)
{
    RawClient &client = callers_.emplace_back(loop_, machine(number).port(Port::Callers));
    client.send(request);
    runUntil([&] { return client.has("\r\n\r\n") || client.closed(); });
    return client.received();
}

std::string requestHead(std::string_view service, const std::string &headers,
                        const std::string &method)
{
    return fmt::format("{} /{}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n"
                       "X-Deadline-Ms: 15000\r\n{}\r\n",
                       method, service, headers);
}

std::string requestHead(EndpointManner manner, const std::string &headers,
                        const std::string &method)
{
    return requestHead(nameOf(MannerNames, manner), headers, method);
}

} // namespace almondridge::crowd
