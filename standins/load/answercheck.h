/**
 * Checks the text of an answer against what it must be, piece by piece.
 */
#pragma once

#include "text.h"

namespace almondridge::standins {

/** Not thread-safe. */
class AnswerCheck
{
public:
    AnswerCheck(TextHash prompt, std::int64_t tokens);

    /** Takes the next piece of text. False, from then on for ever, when it is not the right one. */
    bool accept(std::string_view piece);
    /** Forgets the beginning of a token that came in part, as a resumed stream sends it anew. */
    void dropPartialToken() { matched_ = 0; }

    /** Tokens that came whole. */
    std::int64_t tokens() const noexcept { return tokens_; }
    bool complete() const noexcept { return !wrong_ && tokens_ == expected_ && matched_ == 0; }
    bool wrong() const noexcept { return wrong_; }

private:
    void nextToken();

    AnswerText text_;
    std::int64_t expected_;
    std::int64_t tokens_ = 0;
    std::string token_;       ///< The one that is due, with the space before it.
    std::size_t matched_ = 0; ///< Of token_.
    bool wrong_ = false;
};

} // namespace almondridge::standins
