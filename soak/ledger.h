/**
 * What callers and endpoints of a soak saw of each request, and which promise that breaks.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/time.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace almondridge::soak {

enum class Kind { Safe, Unsafe, Stream, ResumableStream };

inline constexpr std::array<EnumName<Kind>, 4> KindNames {{
    {Kind::Safe, "safe"},
    {Kind::Unsafe, "unsafe"},
    {Kind::Stream, "stream"},
    {Kind::ResumableStream, "resumable"},
}};

/** The promises that are checked while the soak runs. */
enum class Promise {
    OwnAnswer,       ///< A whole answer to the caller's own request.
    AtMostOnce,      ///< What may not be repeated runs once at most.
    TruthfulNotRun,  ///< What was called not run did not run and does not run later.
    OneVersion,      ///< What one version began, in a stream or in memory, no other goes on with.
    ReplacedMemory,  ///< The same of memory, where a process has just followed under the same id.
    StreamsGoOn,     ///< Streams that callers take up go on at least half as often as others begin.
    StreamInOrder,   ///< No event is missing or doubled, and a cut stream does not look whole.
    DrainKept,       ///< A leaving endpoint gets nothing after the bound.
    ConfigKept,      ///< A configuration is in force in time and never goes back.
    OneHolder,       ///< Fencing numbers of orders never fall, and no two instances share one.
    StopCutsNothing, ///< A planned stop cuts no request that was sent before it ended.
    Recovers,        ///< After the last fault requests are served again.
    StaysUp,         ///< No instance ends by itself.
    FewCrashes,      ///< A request that has crashed three endpoints reaches few more.
    FewPartCrashes,  ///< Requests with a part under which five endpoints crashed reach few more.
    InnocentsServed, ///< Nobody else is refused for these crashes.
    LimitKept,       ///< An endpoint that names a limit gets little more, all instances together.
    WithinMachine,   ///< No instance takes more memory or descriptors than its machine has.
    BackoffKept,     ///< An endpoint that asks for a backoff gets few requests of each instance.
};

inline constexpr std::array<EnumName<Promise>, 19> PromiseNames {{
    {Promise::WithinMachine, "within-machine"},
    {Promise::OwnAnswer, "own-answer"},
    {Promise::AtMostOnce, "at-most-once"},
    {Promise::TruthfulNotRun, "truthful-not-run"},
    {Promise::OneVersion, "one-version"},
    {Promise::ReplacedMemory, "replaced-memory"},
    {Promise::StreamsGoOn, "streams-go-on"},
    {Promise::StreamInOrder, "stream-in-order"},
    {Promise::DrainKept, "drain-kept"},
    {Promise::ConfigKept, "config-kept"},
    {Promise::OneHolder, "one-holder"},
    {Promise::StopCutsNothing, "stop-cuts-nothing"},
    {Promise::Recovers, "recovers"},
    {Promise::StaysUp, "stays-up"},
    {Promise::FewCrashes, "few-crashes"},
    {Promise::FewPartCrashes, "few-part-crashes"},
    {Promise::InnocentsServed, "innocents-served"},
    {Promise::LimitKept, "limit-kept"},
    {Promise::BackoffKept, "backoff-kept"},
}};

/** Request id of clients that don't behave; what becomes of their requests isn't checked. */
inline constexpr std::string_view MisbehavingId = "m";

struct Violation
{
    Promise promise_ = Promise::OwnAnswer;
    std::string what_;
};

/** What crashes endpoints. */
enum class CrashCause { Request, Part };

class Ledger
{
public:
    void onSent(const std::string &id, Kind kind);
    /** Another process follows under the id of an endpoint. */
    void onReplaced(const std::string &endpoint) { replacedAt_[endpoint] = BootClock::now(); }
    /** Whether instances may not have read the entry of a new process yet. */
    bool wasJustReplaced(const std::string &endpoint) const;
    /** An endpoint began to work on the request. */
    void onRun(const std::string &id, const std::string &endpoint);
    /** A request that crashes endpoints began to run at one. */
    void onCrash(const std::string &endpoint, CrashCause cause);
    /** Whether nothing else disturbs instances, so that they must know of each other's crashes. */
    void setInTouch(bool inTouch) { inTouch_ = inTouch; }
    int crashes(CrashCause cause) const
    {
        const auto found = crashes_.find(cause);
        return found != crashes_.end() ? found->second.count_ : 0;
    }
    /** The caller was told that the request has not run and never will. */
    void onNotRunTold(const std::string &id);
    void onServed(const std::string &id);
    /** A caller has asked for the rest of a stream; it did or did not get events. */
    void onTakenUp(bool wentOn)
    {
        ++takenUp_;
        wentOn_ += wentOn ? 1 : 0;
    }
    /** An instance has refused to go on with a stream. */
    void onTakeUpRefused() { ++takeUpsRefused_; }
    void onOrder(const std::string &engine, const std::string &holder, std::uint64_t fence);
    void violate(Promise promise, std::string what);

    std::uint64_t sent() const noexcept { return sent_; }
    std::uint64_t served() const noexcept { return served_; }
    std::uint64_t notRun() const noexcept { return notRun_; }
    /** Compares the streams that were taken up with all requests, once the soak has ended. */
    void checkTakenUp();
    std::uint64_t takenUp() const noexcept { return takenUp_; }
    std::uint64_t wentOn() const noexcept { return wentOn_; }
    std::uint64_t takeUpsRefused() const noexcept { return takeUpsRefused_; }
    const std::vector<Violation> &violations() const noexcept { return violations_; }

private:
    struct Entry
    {
        Kind kind_ = Kind::Safe;
        int runs_ = 0;
        bool notRunTold_ = false;
    };

    struct Crashes
    {
        int count_ = 0;
        int late_ = 0;
        TimePoint knownFrom_ {}; ///< All instances in touch know the cause then.
    };

    std::map<std::string, Entry> entries_;
    std::map<std::string, std::uint64_t> fences_;  ///< The highest that each engine saw.
    std::map<std::uint64_t, std::string> holders_; ///< Who used a fence first.
    std::vector<Violation> violations_;
    std::map<std::string, TimePoint> replacedAt_;
    std::uint64_t sent_ = 0;
    std::uint64_t served_ = 0;
    std::uint64_t notRun_ = 0;
    std::uint64_t takenUp_ = 0;
    std::uint64_t wentOn_ = 0;
    std::uint64_t takeUpsRefused_ = 0;
    std::map<CrashCause, Crashes> crashes_;
    bool inTouch_ = true;
};

} // namespace almondridge::soak
