/**
 * An entry instance as a real process on a machine that is said to be small, before a store and
 * endpoints in the test's own loop, and what the operating system says of its memory and files.
 */
#pragma once

#include "../../libs/async/tests/loopsupport.h"
#include "../../soak/storestandin.h"

#include "process.h"

#include <list>
#include <map>
#include <memory>

namespace almondridge::crowd {

using async::testing::RawClient;
using async::testing::RawServer;

/** What the settings of the instance say of its machine, and so the bounds of the tests. */
struct MachineLimits
{
    int memoryMb_ = 48;
    int descriptors_ = 256;
    std::size_t headBytes_ = 16'384;
    std::size_t bodyBytes_ = 1'048'576;
    int graceSeconds_ = 8; ///< From the stop signal to the kill.
    /** The platform restarts nothing here: after a crowd this much above calm is "near" it. */
    int nearCalmMb_ = 16;
};

/** Those of CI, or larger ones by hand: CROWD_MEMORY_MB, CROWD_DESCRIPTORS, CROWD_BODY_BYTES. */
MachineLimits machineLimits();
/** Clients of a crowd: 60 in CI, or CROWD_CLIENTS. */
int crowdClients();

/** Which of its ports a crowd connects to. */
enum class Port {
    Callers,
    Messages, ///< Of other instances, and of whoever reads metrics.
    Requests, ///< Those that other instances forward.
    Ready,
};

/** An instance; its port numbers are chosen by the system. */
class Machine
{
public:
    Machine(const std::string &directory, const net::Address &store, const MachineLimits &limits,
            int number);

    std::uint16_t port(Port port) const;
    bool running() { return process_.running(); }
    void signal(int number) { process_.signal(number); }
    /** Resident memory in MB, now and at its peak; 0 once the process has ended. */
    double residentMb() const { return statusMb("VmRSS"); }
    double peakMb() const { return statusMb("VmHWM"); }
    /** Bytes that the kernel has received on its sockets and the process hasn't read, in MB. */
    double unreadMb() const;
    int descriptors() const { return process_.openDescriptors(); }
    double cpuSeconds() const { return process_.cpuSeconds(); }
    /** Length of the process's log, in bytes. */
    std::size_t logBytes() const;
    const std::string &logPath() const { return logPath_; }

private:
    double statusMb(const std::string &field) const;

    int readyPort_;
    int callersPort_;
    int peerPort_;
    std::string logPath_;
    testing::Process process_;
};

/** How an endpoint of the test treats requests. */
enum class EndpointManner {
    Answers,
    AnswersLong, ///< With LongAnswerBytes.
    Silent,      ///< Reads requests and never answers.
    NeverReads,
    Streams,       ///< Events without end.
    SilentStreams, ///< Of a streaming route, and silent.
};

inline constexpr std::size_t LongAnswerBytes = 1'048'576;

/** A store, an endpoint for each manner under the route "/MANNER/", and instances. */
class Site
{
public:
    explicit Site(const MachineLimits &limits = machineLimits(), int instances = 1);

    async::EventLoop &loop() { return loop_; }
    Machine &machine(int number = 0) { return *machines_.at(number); }
    int machines() const { return static_cast<int>(machines_.size()); }
    const MachineLimits &limits() const { return limits_; }
    /** Runs the loop for a while and keeps the peaks. */
    void runFor(Duration length);
    /** Runs the loop until the condition holds, 20 s at most; whether it holds. */
    bool runUntil(const std::function<bool()> &condition);
    /** Sends ordinary requests to the instance until one is answered with 200; whether one was. */
    bool isServed(int number = 0);
    /** Adds a service with an endpoint, under the route "/NAME/", and waits until it is routed. */
    void addService(const std::string &name, const std::string &kind, RawServer::Script script);
    /** Writes an endpoint's entry under any key. */
    void listEndpoint(const std::string &key, const std::string &service,
                      const net::Address &address);
    /** Kills all instances and starts them again; waits until each serves. */
    void restartAll();
    soak::StoreStandIn &store() { return store_; }
    /** The same of one request, whose text is given; its answer. */
    std::string answerTo(const std::string &request, int number = 0);
    /** The highest sum of resident and unread bytes that was seen, in MB. */
    double peakMb(int number = 0) const { return peaks_.at(number).memoryMb_; }
    int peakDescriptors(int number = 0) const { return peaks_.at(number).descriptors_; }

private:
    struct Peaks
    {
        double memoryMb_ = 0;
        int descriptors_ = 0;
    };

    struct Service
    {
        std::string name_;
        std::string kind_;
    };

    void addEndpoint(EndpointManner manner);
    void writeConfig();
    void sample();

    MachineLimits limits_;
    testing::ScratchFolder folder_;
    async::EventLoop loop_;
    soak::StoreStandIn store_;
    std::vector<Service> services_;
    int configVersion_ = 0;
    std::list<RawServer> endpoints_;
    std::list<RawClient> callers_;
    std::vector<std::unique_ptr<Machine>> machines_;
    std::vector<Peaks> peaks_;
};

/** The head of a request on the route "/SERVICE/". */
std::string requestHead(std::string_view service, const std::string &headers,
                        const std::string &method = "POST");
/** The head of a request on the route of an endpoint's manner. */
std::string requestHead(EndpointManner manner, const std::string &headers,
                        const std::string &method = "POST");

} // namespace almondridge::crowd
