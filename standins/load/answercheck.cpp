#include "load/answercheck.h"

#include <algorithm>

namespace almondridge::standins {

AnswerCheck::AnswerCheck(TextHash prompt, std::int64_t tokens)
    : text_(prompt)
    , expected_(tokens)
{
    nextToken();
}

bool AnswerCheck::accept(std::string_view piece)
{
    while (!piece.empty() && !wrong_) {
        const std::string_view due = std::string_view(token_).substr(matched_);
        const std::string_view part = piece.substr(0, due.size());
        if (tokens_ == expected_ || !due.starts_with(part)) {
            wrong_ = true;
            break;
        }
        matched_ += part.size();
        piece.remove_prefix(part.size());
        if (matched_ == token_.size()) {
            ++tokens_;
            nextToken();
        }
    }
    return !wrong_;
}

void AnswerCheck::nextToken()
{
    token_ = " " + text_.next();
    matched_ = 0;
}

} // namespace almondridge::standins
