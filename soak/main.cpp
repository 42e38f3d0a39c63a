/**
 * A randomized soak: real entry instances as processes, stand-ins of the store and the endpoints
 * in this one, faults from outside in overlapping series, and the promises checked all the while.
 *
 *     soak --program PATH --directory DIR [--seed N] [--seconds S] [--instances N] [--faults A,B]
 *          [--known A,B]
 */
#include "callers.h"
#include "endpointstandin.h"
#include "instances.h"
#include "later.h"
#include "misbehavingclients.h"

#include <csignal>
#include <filesystem>
#include <fmt/format.h>
#include <getopt.h>
#include <nlohmann/json.hpp>
#include <spdlog/spdlog.h>

namespace almondridge::soak {
namespace {

using Json = nlohmann::json;

constexpr Duration RoundInterval = millis(40);
/** Between two sends of the request that crashes endpoints; the first comes with the faults. */
constexpr Duration CrashingInterval = millis(400);
/** Between two crowds of clients that don't behave. */
constexpr Duration CrowdInterval = millis(1'100);
constexpr Duration WatchInterval = millis(100);
constexpr Duration ReadyInterval = millis(500);
constexpr Duration FaultInterval = millis(900);
constexpr Duration SettleTime = millis(6'000);
/** What the settings of the instances promise, and a little for the probe's own way. */
constexpr Duration ConfigBound = millis(2'300);
/** After the last fault everything works again within this time. */
constexpr Duration RecoverTime = millis(8'000);
/** Longer than what a fault leaves behind and the longest bound together. */
constexpr Duration PlannedStretch = millis(9'000);
constexpr Duration FaultStretch = millis(7'000);
constexpr int EndpointsOfAKind = 4;

struct Options
{
    std::string program_;
    std::string directory_;
    std::uint64_t seed_ = 1;
    int seconds_ = 30;
    int instances_ = 4;
    std::string faults_; ///< Names of FaultKinds, with commas; empty: all.
    std::string known_;  ///< Names of promises whose breach is listed as open, with commas.
};

/** names: separated by commas. */
bool isNamed(std::string_view name, const std::string &names)
{
    return fmt::format(",{},", names).find(fmt::format(",{},", name)) != std::string::npos;
}

class Soak
{
public:
    explicit Soak(Options options);
    int run();

private:
    struct FaultKind
    {
        std::string_view name_;
        void (Soak::*strike_)();
        bool planned_; ///< Operators do it: every promise holds meanwhile, with its bound.
    };
    static const std::array<FaultKind, 18> FaultKinds;

    void startEndpoints();
    void writeConfig();
    void callerRound();
    void crashingRound();
    void crowdRound();
    void watchInstances();
    void askReady();
    void strikeOnce();
    const FaultKind &anyKind();
    void finishFaults();
    int report();

    void killOne();
    void killMost();
    void killAll();
    void releaseVersion();
    void stopOne();
    void pauseOne();
    void reloadOne();
    void breakStore();
    void cutStoreLink();
    void breakEndpoint();
    void spoilAnswers();
    void cutEndpointLink();
    void replaceEndpoint();
    void limitEndpoint();
    void makeEndpointBackOff();
    void dropHistory();
    void restoreStore();
    void changeConfig();
    void stopAndKill();

    InstanceProcess &anyInstance();
    /** service: empty, any. */
    EndpointStandIn &anyEndpoint(const std::string &service = "");
    /** After a crash it is back under another id. */
    void replaceCrashed(const EndpointStandIn &endpoint);
    Duration span(std::int64_t least, std::int64_t most);
    /** Marks a time in which cuts and late configurations are excused. */
    void unplanned(Duration length);
    /** The same, of faults that may keep instances from telling each other. */
    void disturbed(Duration length);
    void tellCalm(bool calm);
    bool calm() const { return BootClock::now() > unplannedUntil_; }
    void restartLater(InstanceProcess &instance, Duration after);
    template <typename Enum, std::size_t size>
    Enum anyFault(const std::array<EnumName<Enum>, size> &names);
    void addEndpoint(const std::string &service, const std::string &stage);
    std::string anyVersion();
    /** As on some deployments; with an even seed. */
    bool entriesNameStarts() const { return options_.seed_ % 2 == 0; }
    /** A few engines get another process and version under their ids. */
    void replaceInPlace();

    Options options_;
    async::EventLoop loop_;
    Ledger ledger_;
    StoreStandIn store_;
    std::mt19937_64 random_;
    std::list<EndpointStandIn> endpoints_; ///< Those that left stay: requests may still be there.
    std::vector<std::unique_ptr<InstanceProcess>> instances_;
    Callers callers_;
    MisbehavingClients misbehaving_;
    async::HttpClient health_;
    async::Timer rounds_;
    async::Timer crashing_;
    async::Timer crowds_;
    async::Timer watch_;
    async::Timer readiness_;
    async::Timer faults_;
    async::Timer end_;
    std::map<std::string, int> struck_;
    std::map<std::string, int> missed_; ///< Answers to readiness in a row, by instance.
    TimePoint unplannedUntil_ {};
    TimePoint disturbedUntil_ {};
    TimePoint firstStrikeAt_ {};
    TimePoint faultsEnd_ {};
    int version_ = 0;
    int nextEndpoint_ = 1;
    std::uint64_t release_ = 0;
    std::uint64_t servedBeforeEnd_ = 0;
};

const std::array<Soak::FaultKind, 18> Soak::FaultKinds {{
    {"kill one", &Soak::killOne, false},
    {"kill most", &Soak::killMost, false},
    {"kill all", &Soak::killAll, false},
    {"planned stop", &Soak::stopOne, true},
    {"pause", &Soak::pauseOne, false},
    {"reload", &Soak::reloadOne, true},
    {"store fault", &Soak::breakStore, false},
    {"store link", &Soak::cutStoreLink, false},
    {"endpoint fault", &Soak::breakEndpoint, false},
    {"answers spoilt", &Soak::spoilAnswers, false},
    {"endpoint link", &Soak::cutEndpointLink, false},
    {"endpoint replaced", &Soak::replaceEndpoint, true},
    {"history dropped", &Soak::dropHistory, true},
    {"store restored", &Soak::restoreStore, false},
    {"configuration", &Soak::changeConfig, true},
    {"stop, then kill another", &Soak::stopAndKill, false},
    {"endpoint limit", &Soak::limitEndpoint, true},
    {"endpoint backoff", &Soak::makeEndpointBackOff, true},
}};

Soak::Soak(Options options)
    : options_(std::move(options))
    , store_(loop_)
    , random_(options_.seed_)
    , callers_(loop_, ledger_, instances_, options_.seed_)
    , misbehaving_(loop_, options_.seed_)
    , health_(loop_)
    , rounds_(loop_)
    , crashing_(loop_)
    , crowds_(loop_)
    , watch_(loop_)
    , readiness_(loop_)
    , faults_(loop_)
    , end_(loop_)
{
    std::filesystem::create_directories(options_.directory_);
    callers_.setEntriesNameStarts(entriesNameStarts());
    writeConfig();
    startEndpoints();
    for (int number = 0; number < options_.instances_; ++number) {
        instances_.push_back(std::make_unique<InstanceProcess>(
            loop_, ledger_, options_.program_, options_.directory_, number, store_.address()));
        instances_.back()->start();
    }
}

int Soak::run()
{
    faultsEnd_ = BootClock::now() + SettleTime + millis(options_.seconds_ * 1'000LL);
    watchInstances();
    askReady();
    callerRound();
    firstStrikeAt_ = BootClock::now() + SettleTime;
    faults_.startAt(firstStrikeAt_, [this] { strikeOnce(); });
    crashing_.startAt(firstStrikeAt_, [this] { crashingRound(); });
    crowds_.startAt(firstStrikeAt_, [this] { crowdRound(); });
    end_.startAt(faultsEnd_, [this] { finishFaults(); });
    loop_.run();
    return report();
}

void Soak::addEndpoint(const std::string &service, const std::string &stage)
{
    endpoints_.emplace_back(loop_, store_, ledger_, fmt::format("e-{}", nextEndpoint_++), service,
                            stage, anyVersion(), random_());
    EndpointStandIn &endpoint = endpoints_.back();
    endpoint.onCrash([this, &endpoint] { replaceCrashed(endpoint); });
    if (entriesNameStarts()) {
        endpoint.nameStart();
    }
}

/** Three versions serve side by side; a release ends the oldest one little by little. */
std::string Soak::anyVersion()
{
    constexpr int Versions = 3;
    return fmt::format("v1.{}", release_ + random_() % Versions);
}

void Soak::replaceCrashed(const EndpointStandIn &endpoint)
{
    constexpr Duration StartTime = millis(1'500);
    unplanned(StartTime);
    later(loop_, StartTime, [this, service = endpoint.service(), stage = endpoint.stage()] {
        addEndpoint(service, stage);
    });
}

void Soak::startEndpoints()
{
    for (int number = 0; number < EndpointsOfAKind; ++number) {
        addEndpoint("desk", "");
        addEndpoint("llm", number % 2 == 0 ? "prefill" : "decode");
        addEndpoint("llm", number % 2 == 0 ? "decode" : "prefill");
    }
}

/** Every version adds a route of its own, so that a probe shows which one is in force. */
void Soak::writeConfig()
{
    ++version_;
    Json routes = Json::array();
    for (const EnumName<Kind> &kind : KindNames) {
        const bool stream = kind.value_ == Kind::Stream || kind.value_ == Kind::ResumableStream;
        const bool resumable = kind.value_ == Kind::ResumableStream;
        routes.push_back({{"name", kind.name_},
                          {"host", "h"},
                          {"path-prefix", fmt::format("/{}/", kind.name_)},
                          {"kind", stream ? "streaming" : std::string(kind.name_)},
                          {"service", stream ? "llm" : "desk"},
                          {"timeout-ms", 3'000},
                          {"target-latency-ms", 300},
                          {"gap-aim-ms", 200},
                          {"priority", 1},
                          {"max-attempts", kind.value_ == Kind::Safe || resumable ? 2 : 1},
                          {"resumable", resumable}});
    }
    for (int version = 1; version <= version_; ++version) {
        routes.push_back({{"name", fmt::format("v{}", version)},
                          {"host", "h"},
                          {"path-prefix", fmt::format("/v{}/", version)},
                          {"kind", "safe"},
                          {"service", "desk"},
                          {"timeout-ms", 3'000},
                          {"target-latency-ms", 300},
                          {"max-attempts", 2}});
    }
    const Json config {
        {"version", version_},
        {"routes", routes},
        {"services",
         {{{"name", "desk"}, {"max-conns", 200}},
          {{"name", "llm"},
           {"max-conns", 200},
           {"engine",
            {{"slots", 16}, {"kv-tokens", 100'000}, {"handle-s", 5.0}, {"switch-s", 1.0}}}}}},
        {"limits",
         {{"max-header-bytes", 16'384},
          {"max-body-bytes", SoakBodyBytes},
          {"header-timeout-ms", 3'000},
          {"idle-timeout-ms", 15'000}}}};
    store_.put("keyed.op", "config", config.dump());
}

void Soak::callerRound()
{
    rounds_.startAt(BootClock::now() + RoundInterval, [this] { callerRound(); });
    tellCalm(calm());
    callers_.sendRound();
}

void Soak::crashingRound()
{
    crashing_.startAt(BootClock::now() + CrashingInterval, [this] { crashingRound(); });
    ledger_.setInTouch(BootClock::now() > disturbedUntil_);
    callers_.sendCrashing();
    callers_.sendCrashingPart();
}

void Soak::crowdRound()
{
    crowds_.startAt(BootClock::now() + CrowdInterval, [this] { crowdRound(); });
    const InstanceProcess &instance = anyInstance();
    if (instance.running()) {
        misbehaving_.sendCrowd(instance);
    }
}

void Soak::watchInstances()
{
    watch_.startAt(BootClock::now() + WatchInterval, [this] { watchInstances(); });
    for (const auto &instance : instances_) {
        instance->watch();
    }
}

/** As the platform's balancer: two misses in a row take an instance out. */
void Soak::askReady()
{
    readiness_.startAt(BootClock::now() + ReadyInterval, [this] { askReady(); });
    for (const auto &instance : instances_) {
        if (!instance->running()) {
            continue;
        }
        async::ExchangeRequest request;
        request.peer_ = instance->name() + "-health";
        request.address_ = instance->health();
        request.text_ = "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n";
        request.fresh_ = true;
        request.connectBy_ = BootClock::now() + ReadyInterval;
        InstanceProcess *raw = instance.get();
        const auto answered = [this, raw](bool ready) {
            int &missed = missed_[raw->name()];
            missed = ready ? 0 : missed + 1;
            if (ready || missed >= 2) {
                raw->setReady(ready);
            }
        };
        health_.start(std::move(request),
                      async::gatherAnswer([answered](const async::ExchangeResult &result) {
                          answered(!result.failure_ && result.status_ == 200);
                      }));
    }
}

InstanceProcess &Soak::anyInstance()
{
    return *instances_[random_() % instances_.size()];
}

EndpointStandIn &Soak::anyEndpoint(const std::string &service)
{
    std::vector<EndpointStandIn *> staying;
    for (EndpointStandIn &endpoint : endpoints_) {
        const bool fits = service.empty() || endpoint.service() == service;
        if (fits && !endpoint.draining() && !endpoint.crashed()) {
            staying.push_back(&endpoint);
        }
    }
    return *staying[random_() % staying.size()];
}

Duration Soak::span(std::int64_t least, std::int64_t most)
{
    return millis(least + static_cast<std::int64_t>(random_() % (most - least + 1)));
}

void Soak::unplanned(Duration length)
{
    // Connections that were cut or silenced are still found out a while later.
    constexpr Duration Aftermath = millis(5'000);
    unplannedUntil_ = std::max(unplannedUntil_, BootClock::now() + length + Aftermath);
    tellCalm(false);
}

void Soak::disturbed(Duration length)
{
    unplanned(length);
    disturbedUntil_ = std::max(disturbedUntil_, unplannedUntil_);
}

void Soak::tellCalm(bool calm)
{
    callers_.setCalm(calm);
    for (EndpointStandIn &endpoint : endpoints_) {
        endpoint.setCalm(calm);
    }
}

template <typename Enum, std::size_t size>
Enum Soak::anyFault(const std::array<EnumName<Enum>, size> &names)
{
    return names[1 + random_() % (size - 1)].value_;
}

void Soak::strikeOnce()
{
    if (BootClock::now() + FaultInterval > faultsEnd_) {
        return;
    }
    faults_.startAt(BootClock::now() + span(300, 2 * toMillis(FaultInterval)),
                    [this] { strikeOnce(); });
    const FaultKind &kind = anyKind();
    ++struck_[std::string(kind.name_)];
    (this->*kind.strike_)();
}

/**
 * Stretches in which anything strikes take turns with stretches of planned work only, the first of
 * them at the start. With faults that follow each other without end there is hardly any time in
 * which the bounds of a leaving endpoint and of a configuration hold: a build that broke either
 * of them passed.
 */
const Soak::FaultKind &Soak::anyKind()
{
    const auto passed = BootClock::now() - firstStrikeAt_;
    const bool plannedOnly = passed % (PlannedStretch + FaultStretch) < PlannedStretch;
    for (;;) {
        const FaultKind &kind = FaultKinds[random_() % FaultKinds.size()];
        const bool isChosen = options_.faults_.empty() || isNamed(kind.name_, options_.faults_);
        if (isChosen && (kind.planned_ || !plannedOnly || !options_.faults_.empty())) {
            return kind;
        }
    }
}

void Soak::restartLater(InstanceProcess &instance, Duration after)
{
    later(loop_, after, [this, &instance] {
        instance.watch();
        if (instance.running()) {
            restartLater(instance, millis(200));
        } else {
            instance.start();
        }
    });
}

void Soak::killOne()
{
    disturbed(millis(1'000));
    InstanceProcess &instance = anyInstance();
    instance.kill();
    restartLater(instance, span(200, 1'500));
}

void Soak::killMost()
{
    disturbed(millis(2'000));
    for (std::size_t index = 1; index < instances_.size(); ++index) {
        instances_[index]->kill();
        restartLater(*instances_[index], span(300, 1'500));
    }
}

/** No instance remembers anything, and what it finds on its return is a release halfway. */
void Soak::killAll()
{
    disturbed(millis(2'000));
    callers_.onOriginsLost();
    for (const auto &instance : instances_) {
        instance->kill();
        restartLater(*instance, span(200, 1'200));
    }
    if (entriesNameStarts()) {
        replaceInPlace();
    }
    releaseVersion();
}

void Soak::replaceInPlace()
{
    constexpr int Replaced = 2;
    for (int count = 0; count < Replaced; ++count) {
        anyEndpoint("llm").replaceInPlace(anyVersion(), span(500, 2'500));
    }
}

void Soak::releaseVersion()
{
    constexpr int Replaced = 2;
    ++release_;
    for (int count = 0; count < Replaced; ++count) {
        addEndpoint("llm", "decode");
        anyEndpoint("llm").drain();
    }
}

void Soak::stopOne()
{
    InstanceProcess &instance = anyInstance();
    if (instance.running() && !instance.paused() && !instance.stopping()) {
        instance.terminate();
        restartLater(instance, millis(500));
        for (EndpointStandIn &endpoint : endpoints_) {
            endpoint.excuseInstances();
        }
    }
}

void Soak::stopAndKill()
{
    stopOne();
    killOne();
}

void Soak::pauseOne()
{
    InstanceProcess &instance = anyInstance();
    const Duration length = span(500, 4'000);
    disturbed(length);
    instance.pause();
    later(loop_, length, [&instance] { instance.resume(); });
}

void Soak::reloadOne()
{
    anyInstance().reload();
}

void Soak::breakStore()
{
    const Duration length = span(500, 3'000);
    disturbed(length);
    store_.setFault(anyFault(StoreFaultNames));
    later(loop_, length, [this] { store_.setFault(StoreFault::None); });
}

void Soak::cutStoreLink()
{
    const Duration length = span(500, 4'000);
    disturbed(length);
    InstanceProcess &instance = anyInstance();
    instance.storeLink().setFault(anyFault(LinkFaultNames));
    later(loop_, length, [&instance] { instance.storeLink().setFault(LinkFault::None); });
}

void Soak::breakEndpoint()
{
    const Duration length = span(500, 4'000);
    disturbed(length);
    EndpointStandIn &endpoint = anyEndpoint();
    endpoint.setFault(anyFault(EndpointFaultNames));
    later(loop_, length, [&endpoint] { endpoint.setFault(EndpointFault::None); });
}

/** At all endpoints at once, so that streams go on where answers are spoilt, too. */
void Soak::spoilAnswers()
{
    const Duration length = span(500, 3'000);
    const EndpointFault fault =
        random_() % 2 == 0 ? EndpointFault::Spoils : EndpointFault::FalseNotRun;
    disturbed(length);
    for (EndpointStandIn &endpoint : endpoints_) {
        if (!endpoint.draining() && !endpoint.crashed()) {
            endpoint.setFault(fault);
            later(loop_, length, [&endpoint] { endpoint.setFault(EndpointFault::None); });
        }
    }
}

void Soak::cutEndpointLink()
{
    const Duration length = span(500, 4'000);
    disturbed(length);
    EndpointStandIn &endpoint = anyEndpoint();
    endpoint.link().setFault(anyFault(LinkFaultNames));
    later(loop_, length, [&endpoint] { endpoint.link().setFault(LinkFault::None); });
}

/** The new one comes first. */
void Soak::replaceEndpoint()
{
    constexpr int ReplacedInARelease = 6;
    const bool plain = random_() % 2 == 0;
    release_ += random_() % ReplacedInARelease == 0 ? 1 : 0;
    addEndpoint(plain ? "desk" : "llm", plain ? "" : "decode");
    anyEndpoint().drain();
}

void Soak::limitEndpoint()
{
    constexpr std::array<double, 3> Limits {0.5, 1.0, 2.0};
    anyEndpoint().nameLimit(Limits[random_() % Limits.size()],
                            BootClock::now() + span(5'000, 9'000));
}

void Soak::makeEndpointBackOff()
{
    anyEndpoint().askBackoff(BootClock::now() + span(1'500, 3'000), options_.instances_);
}

void Soak::dropHistory()
{
    store_.dropHistory();
}

/**
 * The store is away for a moment and comes back from an older copy. The versions written just
 * before are lost, so that the next ones have offsets that were assigned before.
 */
void Soak::restoreStore()
{
    constexpr int LostVersions = 3;
    constexpr Duration Aftermath = millis(5'200);
    const Duration length = span(200, 1'500);
    const Duration age = span(300, 4'000);
    const bool regrown = random_() % 2 == 0;
    disturbed(length);
    for (int lost = 0; lost < LostVersions; ++lost) {
        writeConfig();
    }
    store_.setFault(random_() % 2 == 0 ? StoreFault::Silent : StoreFault::Reset);
    later(loop_, length, [this, age, regrown] {
        store_.restoreCopy(age, regrown);
        store_.setFault(StoreFault::None);
    });
    later(loop_, length + Aftermath, [this] { changeConfig(); });
}

void Soak::changeConfig()
{
    writeConfig();
    const int version = version_;
    later(loop_, ConfigBound, [this, version] {
        callers_.setCalm(calm());
        for (const auto &instance : instances_) {
            if (instance->ready() && !instance->stopping()) {
                callers_.probeConfig(*instance, version);
            }
        }
    });
}

void Soak::finishFaults()
{
    faults_.stop();
    store_.setFault(StoreFault::None);
    for (const auto &instance : instances_) {
        instance->storeLink().setFault(LinkFault::None);
        instance->resume();
    }
    for (EndpointStandIn &endpoint : endpoints_) {
        endpoint.setFault(EndpointFault::None);
        endpoint.link().setFault(LinkFault::None);
    }
    later(loop_, RecoverTime, [this] {
        servedBeforeEnd_ = ledger_.served();
        const std::uint64_t sent = ledger_.sent();
        later(loop_, millis(3'000), [this, sent] {
            const auto served = static_cast<double>(ledger_.served() - servedBeforeEnd_);
            const auto asked = static_cast<double>(ledger_.sent() - sent);
            constexpr double LeastShare = 0.8;
            if (asked < 1 || served < LeastShare * asked) {
                ledger_.violate(Promise::Recovers,
                                fmt::format("{} of {} served after the last fault", served, asked));
            }
            loop_.stop();
        });
    });
}

int Soak::report()
{
    ledger_.checkTakenUp();
    fmt::print("seed={} seconds={} instances={} sent={} served={} not_run={} crashes={} "
               "part_crashes={} "
               "taken_up={} went_on={} take_ups_refused={} misbehaving={}\n",
               options_.seed_, options_.seconds_, options_.instances_, ledger_.sent(),
               ledger_.served(), ledger_.notRun(), ledger_.crashes(CrashCause::Request),
               ledger_.crashes(CrashCause::Part), ledger_.takenUp(), ledger_.wentOn(),
               ledger_.takeUpsRefused(), misbehaving_.sent());
    for (const auto &[name, count] : struck_) {
        fmt::print("  {:24} {}\n", name, count);
    }
    std::size_t known = 0;
    for (const Violation &violation : ledger_.violations()) {
        const std::string name(nameOf(PromiseNames, violation.promise_));
        const bool isKnown = isNamed(name, options_.known_);
        known += isKnown ? 1 : 0;
        fmt::print("{} {}: {}\n", isKnown ? "KNOWN" : "BROKEN", name, violation.what_);
    }
    const std::size_t broken = ledger_.violations().size() - known;
    fmt::print("{} promises broken, {} known\n", broken, known);
    return broken == 0 ? 0 : 1;
}

Options readOptions(int argc, char **argv)
{
    const std::array<option, 8> specs {{{"program", required_argument, nullptr, 'p'},
                                        {"directory", required_argument, nullptr, 'd'},
                                        {"seed", required_argument, nullptr, 's'},
                                        {"seconds", required_argument, nullptr, 't'},
                                        {"instances", required_argument, nullptr, 'i'},
                                        {"faults", required_argument, nullptr, 'f'},
                                        {"known", required_argument, nullptr, 'k'},
                                        {nullptr, 0, nullptr, 0}}};
    Options options;
    for (int letter = 0; (letter = ::getopt_long(argc, argv, "", specs.data(), nullptr)) != -1;) {
        switch (letter) {
        case 'p':
            options.program_ = optarg;
            break;
        case 'd':
            options.directory_ = optarg;
            break;
        case 's':
            options.seed_ = std::stoull(optarg);
            break;
        case 't':
            options.seconds_ = std::stoi(optarg);
            break;
        case 'f':
            options.faults_ = optarg;
            break;
        case 'k':
            options.known_ = optarg;
            break;
        case 'i':
            options.instances_ = std::stoi(optarg);
            break;
        default:
            std::exit(2);
        }
    }
    return options;
}

} // namespace
} // namespace almondridge::soak

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    spdlog::set_level(spdlog::level::err);
    const almondridge::soak::Options options = almondridge::soak::readOptions(argc, argv);
    if (options.program_.empty() || options.directory_.empty()) {
        fmt::print(stderr, "usage: soak --program PATH --directory DIR [--seed N] [--seconds S] "
                           "[--instances N] [--faults A,B] [--known A,B]\n");
        return 2;
    }
    return almondridge::soak::Soak(options).run();
}
