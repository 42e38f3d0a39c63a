#include "almondridge/gateway/promptqueue.h"

#include <algorithm>
#include <cstddef>

namespace almondridge::gateway {

void PromptQueue::add(int urgency, std::int64_t tokens)
{
    tokens_.at(static_cast<std::size_t>(urgency)) += tokens;
}

void PromptQueue::remove(int urgency, std::int64_t tokens)
{
    std::int64_t &queued = tokens_.at(static_cast<std::size_t>(urgency));
    queued = std::max<std::int64_t>(0, queued - tokens);
}

void PromptQueue::add(const PromptQueue &other)
{
    for (int urgency = 0; urgency < UrgencyLevels; ++urgency) {
        add(urgency, other.tokens_[static_cast<std::size_t>(urgency)]);
    }
}

void PromptQueue::remove(const PromptQueue &other)
{
    for (int urgency = 0; urgency < UrgencyLevels; ++urgency) {
        remove(urgency, other.tokens_[static_cast<std::size_t>(urgency)]);
    }
}

std::int64_t PromptQueue::ahead(int urgency) const noexcept
{
    std::int64_t sum = 0;
    for (int one = 0; one <= urgency; ++one) {
        sum += tokens_[static_cast<std::size_t>(one)];
    }
    return sum;
}

} // namespace almondridge::gateway
