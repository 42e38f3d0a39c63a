/**
 * Hashes and Base64, based on OpenSSL.
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
/** Compares in constant time for strings of equal length. */
bool constantTimeEqual(std::string_view left, std::string_view right);

/** Base64url (RFC 4648) without padding. */
std::string toBase64Url(std::string_view bytes);
/** Decodes the output of toBase64Url(); nullopt for invalid text. */
std::optional<std::string> fromBase64Url(std::string_view text);

} // namespace almondridge::relay
