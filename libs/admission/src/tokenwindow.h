/**
 * Limit on outstanding tokens, the tokens of admitted, unfinished requests. Adapts to first-token
 * times by additive increase and multiplicative decrease (AIMD), like a congestion window. It needs
 * no load reports and so works while all of them are stale.
 */
#pragma once

#include "almondridge/base/time.h"

#include <cstdint>

namespace almondridge::admission {

/** Adaptive limit on outstanding tokens. */
class TokenWindow
{
public:
    /** Whether a request of this many tokens may be admitted now. */
    bool fits(std::int64_t tokens) const;
    void onAdmitted(std::int64_t tokens) { outstanding_ += tokens; }
    /** late: the first token arrived after the threshold for overload. */
    void onFirstToken(std::int64_t tokens, bool late, TimePoint admittedAt, TimePoint now);
    void onFinished(std::int64_t tokens) { outstanding_ -= tokens; }

    std::int64_t outstanding() const { return outstanding_; }
    std::int64_t limit() const { return limit_; }

private:
    static constexpr std::int64_t InitialLimit = 1'000'000;

    std::int64_t outstanding_ = 0;
    std::int64_t limit_ = InitialLimit;
    double lateShare_ = 0; ///< Decayed share of late first tokens.
    TimePoint lastCut_ {};
};

} // namespace almondridge::admission
