#include "almondridge/net/answerhead.h"

#include <algorithm>

namespace almondridge::net {
namespace {

constexpr int Http10 = 10;
constexpr int Http11 = 11;
constexpr int FirstStatus = 100;
constexpr int LastStatus = 599;
constexpr int SwitchingProtocols = 101;
constexpr int FirstFinalStatus = 200;
constexpr int NoContent = 204;
constexpr std::string_view RequestIdHeader = "X-Request-Id";

bool isTokenCharacter(char letter)
{
    constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
    return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z')
           || (letter >= '0' && letter <= '9') || Others.find(letter) != std::string_view::npos;
}

bool isToken(const std::string &name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), &isTokenCharacter);
}

/** Bytes over 127 are allowed, as the obsolete text of RFC 9110. */
bool isFieldValue(const std::string &value)
{
    return std::all_of(value.begin(), value.end(), [](char letter) {
        const auto code = static_cast<unsigned char>(letter);
        return letter == '\t' || (code >= ' ' && code != 0x7f);
    });
}

bool hasValidFraming(const AnswerHead &head)
{
    std::size_t codings = 0;
    std::size_t lengths = 0;
    for (const Header &header : head.headers_) {
        if (equalWithoutCase(header.name_, "Transfer-Encoding")) {
            ++codings;
            // Clients here accept no other coding, so that another one wasn't meant for them.
            if (!equalWithoutCase(header.value_, "chunked")) {
                return false;
            }
        }
        lengths += equalWithoutCase(header.name_, "Content-Length") ? 1 : 0;
    }
    const bool mayHaveCoding =
        head.version_ == Http11 && head.status_ >= FirstFinalStatus && head.status_ != NoContent;
    return codings == 0 || (codings == 1 && lengths == 0 && mayHaveCoding);
}

bool hasOneRequestId(const Headers &headers)
{
    const std::string_view first = headerValue(headers, RequestIdHeader);
    return std::all_of(headers.begin(), headers.end(), [&](const Header &header) {
        return !equalWithoutCase(header.name_, RequestIdHeader) || header.value_ == first;
    });
}

} // namespace

std::optional<HeadDefect> defectOf(const AnswerHead &head)
{
    if (head.version_ != Http10 && head.version_ != Http11) {
        return HeadDefect::Version;
    }
    if (head.status_ < FirstStatus || head.status_ > LastStatus
        || head.status_ == SwitchingProtocols) {
        return HeadDefect::Status;
    }
    for (const Header &header : head.headers_) {
        if (!isToken(header.name_)) {
            return HeadDefect::FieldName;
        }
        if (!isFieldValue(header.value_)) {
            return HeadDefect::FieldValue;
        }
    }
    if (!hasValidFraming(head)) {
        return HeadDefect::Framing;
    }
    return hasOneRequestId(head.headers_) ? std::nullopt : std::optional(HeadDefect::RequestId);
}

bool isEncoded(const Headers &headers)
{
    return std::any_of(headers.begin(), headers.end(), [](const Header &header) {
        return equalWithoutCase(header.name_, "Content-Encoding") && !header.value_.empty()
               && !equalWithoutCase(header.value_, "identity");
    });
}

} // namespace almondridge::net
