/**
 * How one request of the load tool ended.
 */
#pragma once

#include "almondridge/base/error.h"
#include "almondridge/base/time.h"
#include "load/plan.h"

#include <vector>

namespace almondridge::standins {

enum class CallOutcome {
    Whole,     ///< The whole, right answer.
    NotRun,    ///< Refused, and said not to have run.
    Unknown,   ///< Refused, with an outcome that is not known.
    Rejected,  ///< Refused as wrong (4xx).
    Unreached, ///< No entry took a connection: nothing was sent.
    Lost,      ///< Neither a whole answer nor a refusal.
    Wrong,     ///< Wrong or doubled tokens, or another request's answer.
};

inline constexpr std::array<EnumName<CallOutcome>, 7> CallOutcomeNames {{
    {CallOutcome::Whole, "whole"},
    {CallOutcome::NotRun, "not-run"},
    {CallOutcome::Unknown, "unknown"},
    {CallOutcome::Rejected, "rejected"},
    {CallOutcome::Unreached, "unreached"},
    {CallOutcome::Lost, "lost"},
    {CallOutcome::Wrong, "wrong"},
}};

/** The outcome of a request whose connection failed. */
inline CallOutcome outcomeOf(const Error &error)
{
    const bool nothingSent =
        error.kind_ == ErrorKind::Unavailable || error.kind_ == ErrorKind::TimedOut;
    return nothingSent ? CallOutcome::Unreached : CallOutcome::Lost;
}

struct CallResult
{
    CallOutcome outcome_ = CallOutcome::Lost;
    int status_ = 0; ///< Of the last answer.
    std::int64_t tokens_ = 0;
    int resumes_ = 0;
    int failovers_ = 0;            ///< Connections refused, after which another entry was asked.
    int repetitions_ = 0;          ///< Times that the request was sent again.
    double firstTokenMillis_ = -1; ///< From the planned time on; -1: none came.
    double totalMillis_ = 0;
    std::vector<double> interTokenMillis_ {};
    std::string entry_ {};  ///< That answered last.
    std::string detail_ {}; ///< What went wrong.
    /** A repetition was refused as not run after an attempt with an unknown outcome. */
    bool notRunAfterUnknown_ = false;
    bool late_ = false; ///< Whole, but after the deadline.
};

} // namespace almondridge::standins
