#include "textrules.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdint>
#include <string>

namespace almondridge::fleet {
namespace {

constexpr std::size_t MaxNameBytes = 100;
constexpr std::size_t MaxPathBytes = 200;
constexpr std::size_t MinKeyBytes = 16;
constexpr std::size_t MaxKeyBytes = 1'000;
constexpr std::size_t Sha256HexBytes = 64;

constexpr std::array<std::string_view, 5> ReservedPrefixes {"/v1", "/admin", "/healthz", "/readyz",
                                                            "/metrics"};
constexpr std::array<std::string_view, 7> Methods {"GET",   "HEAD",   "POST",   "PUT",
                                                   "PATCH", "DELETE", "OPTIONS"};

bool isDigit(char letter) noexcept
{
    return letter >= '0' && letter <= '9';
}

bool isAlphanumeric(char letter) noexcept
{
    return isDigit(letter) || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
}

bool isPrintable(char letter) noexcept
{
    return letter > ' ' && letter < '\x7f';
}

bool consistsOf(std::string_view text, std::string_view otherCharacters) noexcept
{
    return std::all_of(text.begin(), text.end(), [&](char letter) {
        return isAlphanumeric(letter) || otherCharacters.find(letter) != std::string_view::npos;
    });
}

bool isPort(std::string_view text) noexcept
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, port);
    return error == std::errc() && stop == end && port > 0;
}

/** A path without anything that two parsers could interpret differently. */
bool isPlainPath(std::string_view text) noexcept
{
    return text.size() <= MaxPathBytes && text.starts_with('/') && consistsOf(text, "/._~-")
           && text.find("//") == std::string_view::npos
           && text.find("/.") == std::string_view::npos;
}

} // namespace

bool isName(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= MaxNameBytes && isAlphanumeric(text.front())
           && consistsOf(text, "._-");
}

bool isVersion(std::string_view text) noexcept
{
    return !text.empty() && text.size() <= MaxNameBytes && consistsOf(text, "._+-");
}

bool isAddress(std::string_view text) noexcept
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon >= INET_ADDRSTRLEN) {
        return false;
    }
    std::array<char, INET_ADDRSTRLEN + 1> ip {};
    text.copy(ip.data(), colon);
    in_addr parsed {};
    return inet_pton(AF_INET, ip.data(), &parsed) == 1 && isPort(text.substr(colon + 1));
}

bool isServicePrefix(std::string_view text) noexcept
{
    const auto isReserved = [&](std::string_view prefix) {
        return text == prefix || (text.starts_with(prefix) && text[prefix.size()] == '/');
    };
    return text.size() > 1 && isPlainPath(text) && !text.ends_with('/')
           && std::none_of(ReservedPrefixes.begin(), ReservedPrefixes.end(), isReserved);
}

bool isRoutePrefix(std::string_view text) noexcept
{
    return isPlainPath(text);
}

bool isMethod(std::string_view text) noexcept
{
    return std::find(Methods.begin(), Methods.end(), text) != Methods.end();
}

bool isSha256Hex(std::string_view text) noexcept
{
    return text.size() == Sha256HexBytes && std::all_of(text.begin(), text.end(), [](char letter) {
               return isDigit(letter) || (letter >= 'a' && letter <= 'f');
           });
}

bool isPeerKey(std::string_view text) noexcept
{
    return text.size() >= MinKeyBytes && isOperatorKey(text);
}

bool isOperatorKey(std::string_view text) noexcept
{
    return text.size() <= MaxKeyBytes && std::all_of(text.begin(), text.end(), isPrintable);
}

} // namespace almondridge::fleet
