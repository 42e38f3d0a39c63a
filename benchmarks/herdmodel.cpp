#include "herdmodel.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <random>

namespace almondridge::herd {
namespace {

constexpr double SimulatedSeconds = 60;
constexpr double WarmUpSeconds = 10;
constexpr double ReportIntervalSeconds = 0.25;
constexpr double AimSeconds = 0.32;
constexpr double BurstPeriodSeconds = 10;
constexpr double BurstSeconds = 3;
constexpr double StallPeriodSeconds = 4;
constexpr double StallSeconds = 3;
constexpr double BurstFactor = 1.5;
constexpr double EventLossShare = 0.2;
constexpr std::size_t PacksPerEngine = 12;

struct SimEngine
{
    double rate_ = ToldRate;
    bool tellsIdle_ = false;
    std::deque<std::size_t> queue_; ///< Requests; the first one is being read.
    std::list<std::size_t> packs_;  ///< Most recently used first.
    int running_ = 0;
    double stalledUntil_ = 0;
};

/** One run of one policy over one seeded sequence of requests. */
class Simulation
{
public:
    Simulation(const Scenario &scenario, Policy &policy, std::uint64_t seed)
        : scenario_(scenario)
        , policy_(policy)
        , arrivals_(seed)
        , choices_(seed + 1'000)
        , engines_(scenario.engines_)
    {
        for (std::size_t pack = 0; pack < scenario.packs_; ++pack) {
            packTokens_.push_back(promptLength(1'500));
        }
        if (scenario.wrongReports_) {
            engines_[3].rate_ = ToldRate * 0.4;
            engines_[11].rate_ = ToldRate * 0.4;
            engines_[7].tellsIdle_ = true;
        }
    }

    Outcome run()
    {
        later(0, [this] { arrive(); });
        later(0, [this] { report(); });
        if (scenario_.stalls_) {
            later(StallPeriodSeconds, [this] { stall(); });
        }
        while (!events_.empty() && events_.top().at_ < SimulatedSeconds) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at_;
            event.action_();
        }
        return outcome();
    }

private:
    struct Event
    {
        double at_ = 0;
        std::uint64_t order_ = 0;
        std::function<void()> action_;

        bool operator<(const Event &other) const
        {
            return at_ != other.at_ ? at_ > other.at_ : order_ > other.order_;
        }
    };

    void later(double delay, std::function<void()> action)
    {
        events_.push({now_ + delay, order_++, std::move(action)});
    }

    double exponential(double mean)
    {
        return std::exponential_distribution<double>(1 / mean)(arrivals_);
    }

    std::int64_t promptLength(double mean)
    {
        // The logarithm's deviation of 0.8 makes the longest in a hundred five times the mean.
        std::lognormal_distribution<double> length(std::log(mean) - 0.32, 0.8);
        return static_cast<std::int64_t>(std::clamp(length(arrivals_), 64.0, 12'000.0));
    }

    void arrive()
    {
        const bool burst = std::fmod(now_, BurstPeriodSeconds) < BurstSeconds;
        const double calm =
            (BurstPeriodSeconds - BurstSeconds * BurstFactor) / (BurstPeriodSeconds - BurstSeconds);
        const double rate = scenario_.requestsPerEngine_ * static_cast<double>(scenario_.engines_)
                            * (burst ? BurstFactor : calm);
        later(exponential(1 / rate), [this] { arrive(); });

        const std::size_t number = requests_.size();
        requests_.push_back(drawRequest(number));
        SimRequest &request = requests_.back();
        request.engine_ = policy_.choose(request, number, now_, choices_());
        SimEngine &engine = engines_[request.engine_];
        engine.queue_.push_back(number);
        if (engine.queue_.size() == 1) {
            read(request.engine_);
        }
    }

    void stall()
    {
        SimEngine &engine = engines_[arrivals_() % engines_.size()];
        engine.stalledUntil_ = now_ + StallSeconds;
        later(StallPeriodSeconds, [this] { stall(); });
    }

    SimRequest drawRequest(std::size_t number)
    {
        SimRequest request;
        request.entry_ = arrivals_() % scenario_.entries_;
        request.arrivedAt_ = now_;
        request.outputTokens_ = 20 + static_cast<std::int64_t>(exponential(100));
        request.promptTokens_ = promptLength(scenario_.sharedPacks_ ? 300 : 1'800);
        if (scenario_.sharedPacks_) {
            // Some packs are wanted far more often than others.
            const double place = std::uniform_real_distribution<double>(0, 1)(arrivals_);
            request.pack_ =
                static_cast<std::size_t>(place * place * static_cast<double>(scenario_.packs_));
            request.packTokens_ = packTokens_[request.pack_];
            request.promptTokens_ += request.packTokens_;
        }
        const std::size_t shared = static_cast<std::size_t>(request.packTokens_) / BlockTokens;
        const std::size_t all = static_cast<std::size_t>(request.promptTokens_) / BlockTokens;
        for (std::size_t block = 0; block < all; ++block) {
            request.hashes_.push_back(block < shared ? packHash(request.pack_, block)
                                                     : (number << 20U) + block);
        }
        return request;
    }

    static std::uint64_t packHash(std::size_t pack, std::size_t block)
    {
        return ((pack + 1) << 52U) + block;
    }

    void read(std::size_t index)
    {
        SimEngine &engine = engines_[index];
        SimRequest &request = requests_[engine.queue_.front()];
        if (request.pack_ != NoPack) {
            const auto held = std::find(engine.packs_.begin(), engine.packs_.end(), request.pack_);
            request.cachedTokens_ = held == engine.packs_.end() ? 0 : request.packTokens_;
        }
        const auto uncached = static_cast<double>(request.promptTokens_ - request.cachedTokens_);
        const double stalled = std::max(engine.stalledUntil_ - now_, 0.0);
        later(stalled + uncached / engine.rate_, [this, index] { finishReading(index); });
    }

    void finishReading(std::size_t index)
    {
        SimEngine &engine = engines_[index];
        const std::size_t number = engine.queue_.front();
        engine.queue_.pop_front();
        SimRequest &request = requests_[number];
        keepPack(index, request.pack_);
        policy_.onFirstToken(request, number, now_);
        if (request.arrivedAt_ >= WarmUpSeconds) {
            firstTokenSeconds_.push_back(now_ - request.arrivedAt_);
        }
        ++engine.running_;
        later(static_cast<double>(request.outputTokens_) * TokenSeconds, [this, index, number] {
            --engines_[index].running_;
            policy_.onFinished(requests_[number], number, now_);
        });
        if (!engine.queue_.empty()) {
            read(index);
        }
    }

    void keepPack(std::size_t index, std::size_t pack)
    {
        if (pack == NoPack) {
            return;
        }
        std::list<std::size_t> &packs = engines_[index].packs_;
        const auto held = std::find(packs.begin(), packs.end(), pack);
        if (held != packs.end()) {
            packs.splice(packs.begin(), packs, held);
            return;
        }
        packs.push_front(pack);
        publish(index, pack, true);
        if (packs.size() > PacksPerEngine) {
            publish(index, packs.back(), false);
            packs.pop_back();
        }
    }

    void publish(std::size_t index, std::size_t pack, bool cached)
    {
        if (!policy_.wantsCacheEvents()
            || static_cast<double>(choices_() % 1'000) / 1'000 < EventLossShare) {
            return;
        }
        const double stamp = now_;
        later(std::max(scenario_.lagSeconds_, 0.1), [this, index, pack, cached, stamp] {
            std::vector<std::uint64_t> hashes;
            for (std::size_t block = 0;
                 block < static_cast<std::size_t>(packTokens_[pack]) / BlockTokens; ++block) {
                hashes.push_back(packHash(pack, block));
            }
            policy_.onCacheEvent(index, hashes, cached, stamp, now_);
        });
    }

    void report()
    {
        for (std::size_t index = 0; index < engines_.size(); ++index) {
            const SimReport told = loadOf(index);
            for (std::size_t entry = 0; entry < scenario_.entries_; ++entry) {
                later(scenario_.lagSeconds_,
                      [this, entry, index, told] { policy_.onReport(entry, index, told, now_); });
            }
        }
        later(ReportIntervalSeconds, [this] { report(); });
    }

    SimReport loadOf(std::size_t index) const
    {
        const SimEngine &engine = engines_[index];
        SimReport told;
        told.stamp_ = now_;
        told.running_ = engine.running_;
        if (engine.tellsIdle_) {
            return told;
        }
        told.waiting_ = static_cast<int>(engine.queue_.size());
        for (const std::size_t number : engine.queue_) {
            const SimRequest &request = requests_[number];
            const bool held = std::find(engine.packs_.begin(), engine.packs_.end(), request.pack_)
                              != engine.packs_.end();
            told.prefillTokensWaiting_ += request.promptTokens_ - (held ? request.packTokens_ : 0);
        }
        return told;
    }

    Outcome outcome()
    {
        std::size_t offered = 0;
        for (const SimRequest &request : requests_) {
            offered += request.arrivedAt_ >= WarmUpSeconds ? 1 : 0;
        }
        const auto within = std::count_if(firstTokenSeconds_.begin(), firstTokenSeconds_.end(),
                                          [](double seconds) { return seconds <= AimSeconds; });
        std::sort(firstTokenSeconds_.begin(), firstTokenSeconds_.end());
        const std::size_t size = firstTokenSeconds_.size();
        return {firstTokenSeconds_[size / 2], firstTokenSeconds_[size * 95 / 100],
                static_cast<double>(within) / static_cast<double>(offered)};
    }

    const Scenario &scenario_;
    Policy &policy_;
    std::mt19937_64 arrivals_;
    std::mt19937_64 choices_;
    std::vector<SimEngine> engines_;
    std::vector<std::int64_t> packTokens_;
    std::deque<SimRequest> requests_;
    std::vector<double> firstTokenSeconds_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    double now_ = 0;
};

} // namespace

Outcome simulate(const Scenario &scenario, Policy &policy, std::uint64_t seed)
{
    return Simulation(scenario, policy, seed).run();
}

} // namespace almondridge::herd
