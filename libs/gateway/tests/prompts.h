/** Helpers for tests that place prompts. */
#pragma once

#include "enginefleet.h"

#include "almondridge/gateway/placement.h"

namespace almondridge::gateway::testing {

inline Prompt promptWith(std::uint64_t sharedPart, std::int64_t sharedTokens = 13'000)
{
    Prompt prompt;
    prompt.tokens_ = sharedTokens + 3'000;
    prompt.parts_ = {{sharedPart, sharedTokens}, {sharedPart * 1'000 + 7, 3'000}};
    return prompt;
}

inline PromptQuery query(const Prompt &prompt, std::int64_t inTimeMillis = 600, int priority = 1)
{
    return {Models, &prompt, priority, at(inTimeMillis), {}};
}

inline std::optional<PromptPlan> planFor(const Placement &placement, const EndpointTable &table,
                                         const Prompt &prompt)
{
    return placement.planPrompt(table, query(prompt), at(0));
}

} // namespace almondridge::gateway::testing
