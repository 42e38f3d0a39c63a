/**
 * Encoding of errors in answers between entry instances: an HTTP status and a CBOR body.
 */
#pragma once

#include "almondridge/base/error.h"

#include <string>
#include <string_view>

namespace almondridge::peers {

inline constexpr int StatusOk = 200;
inline constexpr int StatusUnauthorized = 401;

/** HTTP status for an error kind. */
int statusOf(ErrorKind kind) noexcept;
std::string encodeError(const Error &error);
/** An error of kind Protocol if body is not an encoded error. */
Error decodeError(int status, std::string_view body);

} // namespace almondridge::peers
