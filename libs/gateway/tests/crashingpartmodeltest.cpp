#include "crashfleet.h"

#include <cmath>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

namespace {

RequestKey part(std::uint64_t number)
{
    static const PartKeys keys("secret");
    return keys.keyOf("model", number);
}

struct SiteSize
{
    int instances_;
    int engines_;
};

/** Engines that requests of all instances run on, some of which crash them. */
class Site
{
public:
    Site(const SiteSize &size, std::uint64_t seed, double chanceCrashesPerSecond)
        : size_(size)
        , chanceCrashesPerSecond_(chanceCrashesPerSecond)
        , random_(seed)
        , fleet_(size.instances_, seed)
        , engines_(static_cast<std::size_t>(size.engines_))
    { }

    void run(Duration length)
    {
        for (const TimePoint end = fleet_.now_ + length; fleet_.now_ < end;) {
            const TimePoint now = fleet_.now_;
            startRequests(now);
            for (Engine &engine : engines_) {
                const double chance = chanceCrashesPerSecond_ * TickSeconds / size_.engines_;
                runEngine(engine, now, happens(chance));
            }
            seeCrashes(now);
            fleet_.runUntil(now + Tick);
        }
    }

    /** The guilty requests begin to come. */
    void poison() { crashingPerSecond_ = 8; }

    int sound_ = 0;        ///< Sound requests that came three seconds after the fifth crash.
    int soundRefused_ = 0; ///< Of these.
    int lateCrashing_ = 0; ///< Guilty requests that were sent from then on.
    int crashes_ = 0;      ///< By guilty requests.

private:
    static constexpr Duration Tick = millis(50);
    static constexpr double TickSeconds = 0.05;
    static constexpr double SoundPerSecond = 100;
    static constexpr std::uint64_t Subjects = 60;
    static constexpr std::uint64_t Guilty = 999;

    struct Run
    {
        int instance_;
        RequestKeys keys_;
        bool crashes_;
        TimePoint until_;
    };
    struct Engine
    {
        std::vector<Run> runs_;
        TimePoint downUntil_ {};
    };
    struct SeenCrash
    {
        EndpointCrash crash_;
        int instance_;
        std::vector<RequestKey> inFlight_;
        TimePoint seenAt_;
    };

    bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }
    std::int64_t among(std::int64_t first, std::int64_t last)
    {
        return std::uniform_int_distribution(first, last)(random_);
    }

    bool isLate(TimePoint now) const
    {
        return fifthCrashAt_ != TimePoint {} && now >= fifthCrashAt_ + millis(3'000);
    }

    /** Few subjects are asked for often, and many seldom. */
    std::uint64_t anySubject()
    {
        const double rank = std::pow(static_cast<double>(Subjects),
                                     std::uniform_real_distribution<>(0, 1)(random_));
        return 10 + static_cast<std::uint64_t>(rank);
    }

    void startRequests(TimePoint now)
    {
        const auto count = [&](double perSecond) {
            return std::poisson_distribution<int>(perSecond * TickSeconds)(random_);
        };
        for (int left = count(SoundPerSecond); left > 0; --left) {
            start({request(++number_), {part(1), part(anySubject())}}, false, now);
        }
        for (int left = crashingPerSecond_ > 0 ? count(crashingPerSecond_) : 0; left > 0; --left) {
            start({request(++number_), {part(1), part(Guilty), part(anySubject())}}, true, now);
        }
    }

    void start(RequestKeys keys, bool crashes, TimePoint now)
    {
        const int instance = static_cast<int>(among(0, size_.instances_ - 1));
        const Suspicion level = fleet_.at(instance).assess(keys, now).level_;
        const bool refused = level == Suspicion::Quarantined || level == Suspicion::HalfOpen;
        if (!crashes && isLate(now)) {
            ++sound_;
            soundRefused_ += refused ? 1 : 0;
        }
        std::vector<Engine *> up;
        for (Engine &engine : engines_) {
            if (engine.downUntil_ <= now) {
                up.push_back(&engine);
            }
        }
        if (refused || up.empty()) {
            return;
        }
        lateCrashing_ += crashes && isLate(now) ? 1 : 0;
        const Duration length = millis(crashes ? 100 : among(50, 400));
        up[static_cast<std::size_t>(among(0, static_cast<std::int64_t>(up.size()) - 1))]
            ->runs_.push_back({instance, std::move(keys), crashes, now + length});
    }

    void runEngine(Engine &engine, TimePoint now, bool crashesByChance)
    {
        bool crashed = crashesByChance && engine.downUntil_ <= now;
        for (const Run &run : engine.runs_) {
            if (run.crashes_ && run.until_ <= now && !crashed) {
                crashed = true;
                fifthCrashAt_ = ++crashes_ == 5 ? now : fifthCrashAt_;
            }
        }
        if (crashed) {
            crash(engine, now);
            return;
        }
        std::erase_if(engine.runs_, [&](const Run &run) {
            if (run.until_ <= now) {
                fleet_.at(run.instance_).onCompleted(run.keys_, now);
            }
            return run.until_ <= now;
        });
    }

    void crash(Engine &engine, TimePoint now)
    {
        const EndpointCrash crash = crashOf(++crashNumber_, now, size_.engines_);
        std::map<int, std::vector<RequestKey>> byInstance;
        for (const Run &run : engine.runs_) {
            std::vector<RequestKey> &keys = byInstance[run.instance_];
            keys.push_back(run.keys_.own_);
            keys.insert(keys.end(), run.keys_.parts_.begin(), run.keys_.parts_.end());
        }
        for (const auto &[instance, keys] : byInstance) {
            seen_.push_back({crash, instance, keys, now + millis(among(10, 300))});
        }
        engine.runs_.clear();
        engine.downUntil_ = now + millis(1'500);
    }

    void seeCrashes(TimePoint now)
    {
        std::erase_if(seen_, [&](SeenCrash &one) {
            if (one.seenAt_ <= now) {
                one.crash_.at_ = now;
                fleet_.at(one.instance_).onCrash(one.crash_, one.inFlight_, now);
            }
            return one.seenAt_ <= now;
        });
    }

    SiteSize size_;
    double chanceCrashesPerSecond_;
    std::mt19937_64 random_;
    Fleet fleet_;
    std::vector<Engine> engines_;
    std::vector<SeenCrash> seen_;
    double crashingPerSecond_ = 0;
    TimePoint fifthCrashAt_ {};
    std::uint64_t crashNumber_ = 0;
    std::uint64_t number_ = 1'000'000;
};

const std::vector<SiteSize> Sites {{9, 4}, {9, 18}, {88, 15}};
constexpr int MostLateRequests = 3;

} // namespace

BOOST_AUTO_TEST_SUITE(CrashingPartOfASite)

/**
 * Guards against crashes that go on, and against refusing sound requests that share the subjects
 * of guilty ones, also while other engines crash by chance.
 */
BOOST_AUTO_TEST_CASE(theGuiltyPartIsRefusedAndSoundRequestsGoOn)
{
    for (const SiteSize &size : Sites) {
        for (const double chanceCrashes : {0.0, 0.5}) {
            for (std::uint64_t seed = 0; seed < 3; ++seed) {
                Site site(size, seed, chanceCrashes);
                site.run(millis(8'000));
                site.poison();
                site.run(millis(20'000));
                const std::string name = std::to_string(size.engines_) + " engines, "
                                         + std::to_string(chanceCrashes) + " chance crashes, seed "
                                         + std::to_string(seed);
                BOOST_TEST(site.crashes_ >= 3, name);
                BOOST_TEST(site.lateCrashing_ <= MostLateRequests,
                           name << ": " << site.lateCrashing_);
                BOOST_TEST(site.soundRefused_ <= site.sound_ / 20,
                           name << ": " << site.soundRefused_ << " of " << site.sound_);
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
