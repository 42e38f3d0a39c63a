/**
 * Hashes and text forms of bytes, by OpenSSL.
 */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace almondridge::relay {

/** Lower-case hex of the SHA-256 of text. */
std::string sha256Hex(std::string_view text);
/** HMAC-SHA256, raw bytes. */
std::string hmacSha256(std::string_view key, std::string_view text);
/** Whether both are the same, in a time that does not depend on where they differ. */
bool constantTimeEqual(std::string_view left, std::string_view right);

/** Base64 with the letters that may stand in a path, without padding. */
std::string toBase64Url(std::string_view bytes);
/** nullopt when text is no such form. */
std::optional<std::string> fromBase64Url(std::string_view text);

} // namespace almondridge::relay
