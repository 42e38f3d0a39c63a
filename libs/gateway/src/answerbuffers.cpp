#include "answerbuffers.h"

#include <algorithm>

namespace almondridge::gateway {

std::optional<std::uint64_t> answerToGiveUp(const std::vector<BufferedAnswer> &answers,
                                            std::size_t maxBytes)
{
    std::size_t total = 0;
    for (const BufferedAnswer &answer : answers) {
        total += answer.bytes_;
    }
    if (total <= maxBytes) {
        return std::nullopt;
    }
    const auto largest = std::max_element(
        answers.begin(), answers.end(),
        [](const BufferedAnswer &a, const BufferedAnswer &b) { return a.bytes_ < b.bytes_; });
    return largest->call_;
}

} // namespace almondridge::gateway
