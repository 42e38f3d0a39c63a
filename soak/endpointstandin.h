/**
 * A stand-in of an endpoint for soaks: a plain service, or an engine that reads prompts or
 * generates. It keeps its entry in the store and tells the ledger what it runs.
 */
#pragma once

#include "ledger.h"
#include "proxy.h"
#include "storestandin.h"

#include <deque>
#include <memory>
#include <random>
#include <set>

namespace almondridge::soak {

enum class EndpointFault { None, Errors, Hang, ResetAfterRun, Garble, Sheds, Spoils, FalseNotRun };

inline constexpr std::array<EnumName<EndpointFault>, 8> EndpointFaultNames {{
    {EndpointFault::None, "none"},
    {EndpointFault::Errors, "errors"},
    {EndpointFault::Hang, "hang"},
    {EndpointFault::ResetAfterRun, "reset-after-run"},
    {EndpointFault::Garble, "garble"},
    {EndpointFault::Sheds, "sheds"},
    {EndpointFault::Spoils, "spoils"}, // Answers that aren't signed, and aren't its own.
    {EndpointFault::FalseNotRun, "false-not-run"}, // Statuses that promise what isn't so.
}};

/** The whole answer of a service to a request. */
std::string serviceBody(const std::string &requestId);
/**
 * One event of a stream, which is named by the request that began it, as an endpoint of that
 * version writes it. The stream has EventsOfAStream of them, numbered from 1.
 */
std::string streamEvent(const std::string &stream, int number, const std::string &version);
inline constexpr int EventsOfAStream = 8;
/** The body of a request that crashes each endpoint that begins to run it. */
inline constexpr std::string_view CrashingBody = "ends endpoints";
/** A part of a prompt that crashes each endpoint that begins to answer it. */
inline constexpr std::string_view CrashingPart = "bad0";

class EndpointStandIn
{
public:
    EndpointStandIn(async::EventLoop &loop, StoreStandIn &store, Ledger &ledger, std::string id,
                    std::string service, std::string stage, std::string version,
                    std::uint64_t seed);
    ~EndpointStandIn();

    const std::string &id() const noexcept { return id_; }
    void setFault(EndpointFault fault) { fault_ = fault; }
    Proxy &link() noexcept { return *proxy_; }
    /** Whether nothing unplanned strikes: the bound of a leaving endpoint counts from there on. */
    void setCalm(bool calm);
    /** Announces that it leaves; it serves on for a while. */
    void drain();
    /** Its entries name when it started, so that another process may follow under its id. */
    void nameStart();
    /**
     * Another process of that version follows under its id and address, and knows nothing of
     * before; its entry comes later than the process.
     */
    void replaceInPlace(const std::string &version, Duration entryDelay);
    /** Names a limit of requests a second in all answers until then. */
    void nameLimit(double perSecond, TimePoint until);
    /** Refuses all work until then, and asks each instance to send nothing for as long. */
    void askBackoff(TimePoint until, int instances);
    /** What instances sent before isn't held against them: one of them starts anew. */
    void excuseInstances();
    bool draining() const noexcept { return drainedAt_ != TimePoint {}; }
    /** It is gone without a word; its entry lapses later. */
    bool crashed() const noexcept { return crashed_; }
    /** Called as it crashes. */
    void onCrash(std::function<void()> told) { onCrash_ = std::move(told); }
    const std::string &service() const noexcept { return service_; }
    const std::string &stage() const noexcept { return stage_; }

private:
    struct Stream
    {
        async::CallId call_;
        std::string name_; ///< The request that began it.
        int next_ = 1;
    };

    void beat();
    void crash();
    void onCall(const async::ServerCall &call);
    void onWork(const async::ServerCall &call);
    void onOrder(const async::ServerCall &call);
    bool spoil(const async::ServerCall &call, const std::string &requestId);
    void runService(const async::ServerCall &call, const std::string &requestId);
    void prefill(const async::ServerCall &call);
    void beginStream(const async::ServerCall &call, const std::string &requestId);
    void streamNext(std::uint64_t number);
    void refuse(const async::CallId &call, int status);
    void checkDrain(const std::string &requestId);
    void checkMemory(const async::ServerCall &call, std::string_view header);
    bool isJudged() const;
    void checkLimit();
    void checkBackoff();
    bool isLimited() const { return limitUntil_ > BootClock::now(); }
    void respond(const async::CallId &call, net::Response response);
    std::string loadHeader() const;
    net::Headers withAsked(net::Headers headers) const;
    bool strikes();
    net::Headers signedHeaders(const std::string &requestId) const;

    async::EventLoop &loop_;
    StoreStandIn &store_;
    Ledger &ledger_;
    std::string id_;
    std::string service_;
    std::string stage_;
    std::string version_;
    async::HttpServer server_;
    std::unique_ptr<Proxy> proxy_;
    std::uint64_t heartbeats_ = 0;
    std::int64_t startedAtMillis_ = 0; ///< Unix time; 0: entries don't name it.
    std::mt19937_64 random_;
    EndpointFault fault_ = EndpointFault::None;
    bool calm_ = true;
    TimePoint calmFrom_ {};
    TimePoint drainedAt_ {};
    TimePoint changingUntil_ {};
    double limitPerSecond_ = 0;
    TimePoint limitFrom_ {};
    TimePoint limitUntil_ {};
    TimePoint backoffUntil_ {};
    int instances_ = 0; ///< That may each send a few requests in a backoff.
    int inBackoff_ = 0;
    TimePoint judgedFrom_ {};
    std::deque<TimePoint> arrivals_; ///< In the last window of a limit.
    std::uint64_t orders_ = 0;
    std::uint64_t fence_ = 0;
    std::uint64_t nextHandle_ = 1;
    std::set<std::string> handles_;
    std::map<std::uint64_t, Stream> streams_; ///< By CallId::call_.
    async::Timer heartbeat_;
    std::function<void()> onCrash_;
    bool crashed_ = false;
};

} // namespace almondridge::soak
