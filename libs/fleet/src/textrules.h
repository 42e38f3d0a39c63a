/**
 * Validation of strings in fleet and settings files.
 */
#pragma once

#include <string_view>

namespace almondridge::fleet {

/** A predicate for strings, and the remedy shown when it fails. */
struct TextRule
{
    bool (*accepts_)(std::string_view text);
    std::string_view remedy_;
    bool secret_ = false; ///< The value isn't shown in errors.
};

bool isName(std::string_view text) noexcept;
bool isVersion(std::string_view text) noexcept;
bool isAddress(std::string_view text) noexcept;
bool isServicePrefix(std::string_view text) noexcept;
bool isRoutePrefix(std::string_view text) noexcept;
bool isMethod(std::string_view text) noexcept;
bool isSha256Hex(std::string_view text) noexcept;
bool isPeerKey(std::string_view text) noexcept;
bool isOperatorKey(std::string_view text) noexcept;

inline constexpr TextRule NameText {
    isName, "write 1 to 100 letters, digits, '.', '_' or '-', the first a letter or digit"};
inline constexpr TextRule VersionText {isVersion,
                                       "write 1 to 100 letters, digits, '.', '_', '+' or '-'"};
inline constexpr TextRule AddressText {
    isAddress, "write an IPv4 address and a port from 1 to 65535, as in 127.0.0.1:8080"};
inline constexpr TextRule ServicePrefixText {
    isServicePrefix, "write a path as in /booking, without a trailing slash, other than /v1, "
                     "/admin, /healthz, /readyz, /metrics"};
inline constexpr TextRule RoutePrefixText {isRoutePrefix, "write a path as in /confirmations"};
inline constexpr TextRule MethodText {isMethod,
                                      "write one of: GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS"};
inline constexpr TextRule Sha256Text {
    isSha256Hex, "write the SHA-256 of the API key as 64 lower-case hex digits", true};
inline constexpr TextRule PeerKeyText {
    isPeerKey, "write 16 to 1000 printable characters, the same on all entry instances", true};
inline constexpr TextRule OperatorKeyText {
    isOperatorKey, "write up to 1000 printable characters without spaces", true};

} // namespace almondridge::fleet
