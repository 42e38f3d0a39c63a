/**
 * Finds the candidate endpoints for a request and estimates the latency of each.
 */
#pragma once

#include "endpointtable.h"

namespace almondridge::routing {

/** How an endpoint became a candidate. */
enum class CandidateRule { Holder, Rendezvous, Random, OtherDomain, LastResort };

inline constexpr std::array<EnumName<CandidateRule>, 5> CandidateRuleNames {{
    {CandidateRule::Holder, "prefix-holder"},
    {CandidateRule::Rendezvous, "rendezvous"},
    {CandidateRule::Random, "random"},
    {CandidateRule::OtherDomain, "other-domain"},
    {CandidateRule::LastResort, "last-resort"},
}};

/** An endpoint that may serve the request, and its estimates. */
struct Candidate
{
    SlotIndex slot_ = 0;
    CandidateRule rule_ = CandidateRule::Random;
    double rawSeconds_ = 0;         ///< Time to first token, before correction by observations.
    double seconds_ = 0;            ///< Time to first token.
    double score_ = 0;              ///< seconds_ plus a penalty for slow decoding; lower is better.
    std::int64_t cachedTokens_ = 0; ///< Prompt tokens expected in the KV cache.
    /** Part of the prompt that stays cached if such prompts keep going to this endpoint. */
    double sharedFraction_ = 0;
    bool hasFreshReport_ = false;
};

/** Settings that apply to every choice. */
struct ChoiceSettings
{
    int randomCandidates_ = 16;
    double otherDomainPenaltySeconds_ = 0;
    double firstTokenTargetSeconds_ = 0.32;
    double interTokenTargetSeconds_ = 0.047;
};

/** The number of prompt tokens in the first blocks of the prompt. */
std::int64_t tokensInBlocks(const RouteQuery &query, std::size_t blocks);

/** The work of an endpoint that has cachedTokens of the prompt in its KV cache. */
RequestCost requestCost(const RouteQuery &query, std::int64_t cachedTokens);

/** Estimates the latency of the request on one endpoint. */
Candidate estimateCandidate(const EndpointTable &table, const EndpointSlot &slot,
                            const RouteQuery &query, const PrefixHits &hits,
                            const ChoiceSettings &settings, TimePoint now);

/** Finds the candidates for one request and estimates each of them. */
class CandidateSampler
{
public:
    using Lists = std::vector<const std::vector<AvailableEndpoint> *>;

    CandidateSampler(EndpointTable &table, const ChoiceSettings &settings, const RouteQuery &query,
                     const PrefixHits &hits, TimePoint now);

    /** Endpoints with affinity to the prompt, and a few drawn at random. */
    std::vector<Candidate> gather(GroupIndex group, const Lists &lists);
    /** Draws up to count distinct endpoints at random. Returns at least one if any is eligible. */
    std::vector<Candidate> sampleRandom(const Lists &lists, int count, CandidateRule rule);
    /** Makes endpoints in back-off eligible from now on. */
    void ignoreBackoff() { ignoreBackoff_ = true; }

private:
    bool eligible(SlotIndex index) const;
    std::uint64_t nextRandom();
    void addHolders(std::vector<Candidate> &candidates, GroupIndex group, const Lists &lists);
    void addRendezvous(std::vector<Candidate> &candidates, const Lists &lists);
    void addRandom(std::vector<Candidate> &candidates, const Lists &lists, std::size_t count,
                   CandidateRule rule);
    void scan(std::vector<Candidate> &candidates, const Lists &lists, std::size_t count,
              CandidateRule rule);
    void add(std::vector<Candidate> &candidates, SlotIndex slot, CandidateRule rule);

    EndpointTable &table_;
    const ChoiceSettings &settings_;
    const RouteQuery &query_;
    const PrefixHits &hits_;
    TimePoint now_;
    std::uint64_t random_;
    bool ignoreBackoff_ = false;
};

} // namespace almondridge::routing
