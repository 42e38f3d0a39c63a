#include "dispatch.h"

#include <algorithm>
#include <limits>

namespace almondridge::mix {
namespace {

using fleet::EngineRole;

bool prefills(const EngineSlot &slot)
{
    return slot.engine_.role() != EngineRole::Decode;
}

bool decodes(const EngineSlot &slot)
{
    return slot.engine_.role() != EngineRole::Prefill;
}

/** Engines of the domain in service for which fits holds; all in service when there are none. */
template <typename Fits>
std::vector<int> candidates(const World &world, int domain, Fits &&fits)
{
    std::vector<int> serving;
    std::vector<int> fitting;
    for (const EngineSlot &slot : world.engines_) {
        if (slot.domain_ != domain || !slot.serving()) {
            continue;
        }
        serving.push_back(slot.index_);
        if (fits(slot)) {
            fitting.push_back(slot.index_);
        }
    }
    return fitting.empty() ? serving : fitting;
}

/** Puts a choice of engines for both halves together; a mixed engine keeps what it prefills. */
Target join(const World &world, int prefill, int decode)
{
    if (world.engines_[prefill].engine_.role() == EngineRole::Prefill && prefill != decode) {
        return {prefill, decode};
    }
    return {std::nullopt, prefill};
}

class RoundRobin : public Dispatcher
{
public:
    explicit RoundRobin(const World &world)
        : world_(world)
        , turns_(static_cast<std::size_t>(world.day_->domains_ * world.day_->entriesPerDomain_))
    { }

    std::optional<Target> choose(const Query &query, TimePoint) override
    {
        const int domain = world_.domainOfEntry(query.entry_);
        const std::vector<int> prefill = candidates(world_, domain, prefills);
        const std::vector<int> decode = candidates(world_, domain, decodes);
        if (prefill.empty()) {
            return std::nullopt;
        }
        Turns &turns = turns_[query.entry_];
        if (query.promptTokens_ == 0) {
            return Target {std::nullopt, decode[turns.decode_++ % decode.size()]};
        }
        const int first = prefill[turns.prefill_++ % prefill.size()];
        if (!decodes(world_.engines_[first])) {
            return join(world_, first, decode[turns.decode_++ % decode.size()]);
        }
        return Target {std::nullopt, first};
    }

private:
    struct Turns
    {
        std::size_t prefill_ = 0;
        std::size_t decode_ = 0;
    };

    const World &world_;
    std::vector<Turns> turns_;
};

class LeastReported : public Dispatcher
{
public:
    explicit LeastReported(const World &world)
        : world_(world)
        , reports_(world.engines_.size())
    { }

    void onReport(int, int engine, const EngineReport &report, TimePoint) override
    {
        reports_[engine] = report;
    }

    std::optional<Target> choose(const Query &query, TimePoint) override
    {
        const int domain = world_.domainOfEntry(query.entry_);
        const std::vector<int> prefill = candidates(world_, domain, prefills);
        const std::vector<int> decode = candidates(world_, domain, decodes);
        if (prefill.empty()) {
            return std::nullopt;
        }
        const int last = *std::min_element(decode.begin(), decode.end(), [&](int left, int right) {
            return streams(left) < streams(right);
        });
        if (query.promptTokens_ == 0) {
            return Target {std::nullopt, last};
        }
        const int first =
            *std::min_element(prefill.begin(), prefill.end(), [&](int left, int right) {
                return reports_[left].prefillTokensWaiting_ < reports_[right].prefillTokensWaiting_;
            });
        return join(world_, first, last);
    }

private:
    int streams(int engine) const { return reports_[engine].running_ + reports_[engine].waiting_; }

    const World &world_;
    std::vector<EngineReport> reports_;
};

/** Seconds that another domain must be better by. */
constexpr double OtherDomainSeconds = 0.05;

/** A mixed engine hands a stream on when another's batch is fuller by less than this share. */
constexpr double KeepShare = 0.25;

class TrueLoad : public Dispatcher
{
public:
    explicit TrueLoad(const World &world)
        : world_(world)
    { }

    std::optional<Target> choose(const Query &query, TimePoint) override
    {
        const int domain = world_.domainOfEntry(query.entry_);
        const int decode =
            least(domain, decodes, [&](const EngineSlot &slot) { return fullness(slot); });
        if (query.promptTokens_ == 0) {
            return decode < 0 ? std::nullopt : std::optional(Target {std::nullopt, decode});
        }
        const int prefill = least(domain, prefills, [&](const EngineSlot &slot) {
            return prefillSeconds(slot, query.promptTokens_);
        });
        if (prefill < 0) {
            return decode < 0 ? std::nullopt : std::optional(Target {std::nullopt, decode});
        }
        const EngineSlot &first = world_.engines_[prefill];
        const bool keeps =
            first.engine_.role() == EngineRole::Mixed
            && (decode < 0 || fullness(first) <= fullness(world_.engines_[decode]) + KeepShare);
        return keeps ? Target {std::nullopt, prefill} : Target {prefill, -1};
    }

private:
    template <typename Fits, typename Cost>
    int least(int domain, Fits &&fits, Cost &&cost) const
    {
        int best = -1;
        double bestCost = std::numeric_limits<double>::max();
        for (const EngineSlot &slot : world_.engines_) {
            if (!slot.serving() || !fits(slot) || !world_.reachable(domain, slot.domain_)) {
                continue;
            }
            const double here = cost(slot) + (slot.domain_ == domain ? 0 : OtherDomainSeconds);
            if (here < bestCost) {
                bestCost = here;
                best = slot.index_;
            }
        }
        return best;
    }

    static double fullness(const EngineSlot &slot)
    {
        const double streams = slot.engine_.running() + slot.engine_.waiting();
        return streams / limitsOf(slot.engine_.role()).batch_;
    }

    static double prefillSeconds(const EngineSlot &slot, int tokens)
    {
        const RoleLimits limits = limitsOf(slot.engine_.role());
        const double step = stepSeconds(slot.engine_.running(), limits.chunkTokens_);
        const double steps =
            static_cast<double>(slot.engine_.prefillTokensWaiting() + tokens) / limits.chunkTokens_;
        return step * steps;
    }

    const World &world_;
};

} // namespace

std::unique_ptr<Dispatcher> makeRoundRobin(const World &world)
{
    return std::make_unique<RoundRobin>(world);
}

std::unique_ptr<Dispatcher> makeLeastReported(const World &world)
{
    return std::make_unique<LeastReported>(world);
}

std::unique_ptr<Dispatcher> makeTrueLoad(const World &world)
{
    return std::make_unique<TrueLoad>(world);
}

} // namespace almondridge::mix
