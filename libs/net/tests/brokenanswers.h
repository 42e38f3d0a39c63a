/**
 * Answers that end at each of their bytes, in every framing, in order or by a reset.
 */
#pragma once

#include <array>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::net::testing {

struct BrokenAnswer
{
    std::string name_;
    std::string bytes_; ///< Head and the part of the body that is sent before the connection ends.
    std::string body_;  ///< What bytes_ has of the body, without framing.
    bool reset_ = false;
    bool complete_ = false; ///< Whether a caller may take it for a complete answer.
};

struct AnswerText
{
    std::string_view contentType_;
    std::string_view body_;
    bool eventsOnly_ = false; ///< It can end after an event only.
};

inline constexpr std::array<AnswerText, 4> AnswerTexts {{
    {"text/plain", "whole", false},
    {"text/event-stream", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", true},
    {"text/event-stream; charset=utf-8", "id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n", true},
    {"Text/Event-Stream", ":comment\n\ndata: a\r\r", true},
}};

enum class AnswerFraming { Length, Chunks, UntilClose };

inline std::string framedAnswer(const AnswerText &text, AnswerFraming framing, std::size_t sent)
{
    std::ostringstream answer;
    answer << "HTTP/1.1 200 OK\r\nContent-Type: " << text.contentType_ << "\r\n";
    const std::string_view body = text.body_.substr(0, sent);
    switch (framing) {
    case AnswerFraming::Length:
        answer << "Content-Length: " << text.body_.size() << "\r\n\r\n" << body;
        break;
    case AnswerFraming::Chunks:
        answer << "Transfer-Encoding: chunked\r\n\r\n";
        if (!body.empty()) {
            answer << std::hex << body.size() << "\r\n" << body << "\r\n";
        }
        break;
    case AnswerFraming::UntilClose:
        answer << "\r\n" << body;
        break;
    }
    return answer.str();
}

/** Whether an event stream may end after its first sent bytes. */
inline bool endsAfterEvent(std::string_view body, std::size_t sent)
{
    const std::string_view part = body.substr(0, sent);
    return part.ends_with("\n\n") || part.ends_with("\r\n\r\n")
           || part.ends_with("\r\r")
           // A blank line is complete with its CR, as the LF of CRLF may follow or not.
           || part.ends_with("\r\n\r");
}

/**
 * Answers without an end of their own: each byte of the body may be the last that was sent. An
 * answer that only its connection ends is complete by an orderly close, an event stream only after
 * an event.
 */
inline std::vector<BrokenAnswer> brokenAnswers()
{
    constexpr std::array<std::pair<AnswerFraming, std::string_view>, 3> Framings {{
        {AnswerFraming::Length, "length"},
        {AnswerFraming::Chunks, "chunks"},
        {AnswerFraming::UntilClose, "until close"},
    }};
    std::vector<BrokenAnswer> answers;
    for (const AnswerText &text : AnswerTexts) {
        for (const auto &[framing, framingName] : Framings) {
            for (std::size_t sent = 0; sent <= text.body_.size(); ++sent) {
                const bool whole = sent == text.body_.size();
                if (framing == AnswerFraming::Length && whole) {
                    continue;
                }
                for (const bool reset : {false, true}) {
                    BrokenAnswer answer;
                    answer.name_ = std::string(text.contentType_) + ", " + std::string(framingName)
                                   + (reset ? ", reset after " : ", closed after ")
                                   + std::to_string(sent);
                    answer.bytes_ = framedAnswer(text, framing, sent);
                    answer.body_ = text.body_.substr(0, sent);
                    answer.reset_ = reset;
                    answer.complete_ = framing == AnswerFraming::UntilClose && !reset
                                       && (!text.eventsOnly_ || endsAfterEvent(text.body_, sent));
                    answers.push_back(answer);
                }
            }
        }
        // Framed to its end, but the body ends early: its sender broke off and the framing goes on.
        for (std::size_t sent = 1; sent < text.body_.size(); ++sent) {
            BrokenAnswer answer;
            answer.name_ =
                std::string(text.contentType_) + ", last chunk after " + std::to_string(sent);
            answer.bytes_ = framedAnswer(text, AnswerFraming::Chunks, sent) + "0\r\n\r\n";
            answer.body_ = text.body_.substr(0, sent);
            answer.complete_ = !text.eventsOnly_ || endsAfterEvent(text.body_, sent);
            answers.push_back(answer);
        }
    }
    return answers;
}

} // namespace almondridge::net::testing
