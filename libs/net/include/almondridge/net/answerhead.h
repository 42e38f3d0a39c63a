/**
 * Decides whether what a server sent is the head of an answer. A server in trouble sends bytes that
 * only resemble one, and nothing of them may reach a caller. All clients check here, once the head
 * is parsed and before anything of it is used.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/net/http.h"

#include <array>
#include <optional>

namespace almondridge::net {

enum class HeadDefect {
    Version,    ///< Not HTTP/1.0 or HTTP/1.1.
    Status,     ///< Not from 100 to 599, or a switch of protocols, which no request asks for.
    FieldName,  ///< Not a token by RFC 9110.
    FieldValue, ///< Has control bytes.
    Framing,    ///< The end of the body isn't certain.
    RequestId,  ///< Several ids, so that it isn't certain whose answer it is.
};

inline constexpr std::array<EnumName<HeadDefect>, 6> HeadDefectNames {{
    {HeadDefect::Version, "version"},
    {HeadDefect::Status, "status"},
    {HeadDefect::FieldName, "field-name"},
    {HeadDefect::FieldValue, "field-value"},
    {HeadDefect::Framing, "framing"},
    {HeadDefect::RequestId, "request-id"},
}};

/** A parsed head. */
struct AnswerHead
{
    int version_ = 0; ///< 10 for HTTP/1.0, 11 for HTTP/1.1.
    int status_ = 0;
    const Headers &headers_;
};

/** nullopt: the head is valid. */
std::optional<HeadDefect> defectOf(const AnswerHead &head);

/** Whether the body has a content coding. No client here asks for one. */
bool isEncoded(const Headers &headers);

} // namespace almondridge::net
