/**
 * Bounds the memory of answers that are kept until they are complete. An endpoint may send bytes
 * without end; the largest answer is given up, so that the others can be completed.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace almondridge::gateway {

/** Of all answers of an instance together. */
inline constexpr std::size_t MaxBufferedAnswerBytes = 25'165'824;
/** Answers up to this size cause no check. */
inline constexpr std::size_t SmallAnswerBytes = 65'536;

struct BufferedAnswer
{
    std::uint64_t call_ = 0;
    std::size_t bytes_ = 0;
};

/** The call whose answer is to be given up; nullopt if all together fit into maxBytes. */
std::optional<std::uint64_t> answerToGiveUp(const std::vector<BufferedAnswer> &answers,
                                            std::size_t maxBytes);

} // namespace almondridge::gateway
