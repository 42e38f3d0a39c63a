/**
 * The requests of a run: when each goes out and what it asks for. A function of options and
 * seed. Pure.
 */
#pragma once

#include "load/options.h"
#include "text.h"

#include <optional>
#include <random>

namespace almondridge::standins {

enum class CallKind { Streamed, Whole, Service };

inline constexpr std::array<EnumName<CallKind>, 3> CallKindNames {{
    {CallKind::Streamed, "streamed"},
    {CallKind::Whole, "whole"},
    {CallKind::Service, "service"},
}};

/** One request before it goes out. */
struct PlannedCall
{
    std::string id_;      ///< Unique over all runs: idempotency keys are made of it.
    std::string ownStem_; ///< What the words of the prompt's own part begin with.
    double atSeconds_ = 0;
    std::size_t phase_ = 0;
    CallKind kind_ = CallKind::Streamed;
    std::size_t firstEntry_ = 0; ///< Index of the entry to ask first.
    std::string model_;
    bool chat_ = false;
    std::int64_t prefix_ = 0; ///< Which shared beginning.
    std::int64_t prefixTokens_ = 0;
    std::int64_t ownTokens_ = 0;
    std::int64_t outputTokens_ = 0;
};

/** The two parts of a prompt: what other requests share, and the rest. */
struct PromptText
{
    std::string shared_;
    std::string own_;
};

PromptText promptOf(const PlannedCall &call);
/** What the whole answer must be. */
PromptDigest digestOf(const PromptText &prompt);

/** Gives the calls of a run in the order in which they go out. */
class Plan
{
public:
    explicit Plan(const LoadOptions &options);

    /** The next call; nullopt after the last phase. */
    std::optional<PlannedCall> next();

private:
    double uniform();
    /** A size around mean, with a long tail. */
    std::int64_t sizeAround(double mean);
    CallKind chooseKind();

    LoadOptions options_;
    std::mt19937_64 random_;
    double atSeconds_ = 0;
    double phaseEnd_ = 0;
    std::size_t phase_ = 0;
    std::uint64_t count_ = 0;
};

} // namespace almondridge::standins
