/**
 * Answers in the OpenAI shapes, as events and as a whole.
 */
#pragma once

#include "engine/engine.h"

#include <string>

namespace almondridge::standins {

/** What goes out only with the last token. */
struct AnswerEnd
{
    std::int64_t cachedTokens_ = 0;
    Json kvTransferParams_ {}; ///< Null when no KV cache was exported.
};

/** Writes one stream, from an offset on. */
class AnswerWriter
{
public:
    AnswerWriter(const StreamStart &stream, std::int64_t offset);

    /** Tokens that were written or skipped. */
    std::int64_t offset() const noexcept { return offset_; }
    /** The next token as a server-sent event. The last one carries end. */
    std::string nextEvent(const AnswerEnd &end);
    /** All tokens from the offset on as one answer. */
    Json wholeAnswer(const AnswerEnd &end);

private:
    Json usage(const AnswerEnd &end) const;

    StreamStart stream_;
    AnswerText text_;
    std::int64_t offset_;
    std::string head_; ///< An event up to its offset.
};

/** The event that ends a stream. */
inline constexpr std::string_view DoneEvent = "data: [DONE]\n\n";
/** An event that tells of a failure in the middle of a stream. */
std::string errorEvent(std::string_view code, std::string_view message);

} // namespace almondridge::standins
