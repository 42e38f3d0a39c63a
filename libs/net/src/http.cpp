#include "almondridge/net/http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace almondridge::net {
namespace {

char lower(char letter)
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool isUnreservedCharacter(char letter)
{
    const char small = lower(letter);
    return (small >= 'a' && small <= 'z') || (letter >= '0' && letter <= '9')
           || std::string_view("-._~").find(letter) != std::string_view::npos;
}

} // namespace

bool equalWithoutCase(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lower(a) == lower(b); });
}

Result<Address> parseAddress(std::string_view text)
{
    const auto refuse = [&] {
        return fail(ErrorKind::InvalidInput, "not an address: '" + std::string(text) + "'",
                    "write an IPv4 number and a port, as in 127.0.0.1:8080");
    };
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return refuse();
    }
    Address address;
    address.ip_ = text.substr(0, colon);
    in_addr parsed {};
    if (inet_pton(AF_INET, address.ip_.c_str(), &parsed) != 1) {
        return refuse();
    }
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), address.port_);
    if (error != std::errc() || end != port.data() + port.size()) {
        return refuse();
    }
    return address;
}

std::string toString(const Address &address)
{
    return address.ip_ + ":" + std::to_string(address.port_);
}

std::string percentEncoded(std::string_view bytes)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string text;
    text.reserve(bytes.size());
    for (const char byte : bytes) {
        if (isUnreservedCharacter(byte)) {
            text += byte;
            continue;
        }
        const auto code = static_cast<unsigned char>(byte);
        text += '%';
        text += Digits[code / Digits.size()];
        text += Digits[code % Digits.size()];
    }
    return text;
}

bool isUnreserved(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), &isUnreservedCharacter);
}

std::string_view headerValue(const Headers &headers, std::string_view name) noexcept
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const Header &header) {
        return equalWithoutCase(header.name_, name);
    });
    return found == headers.end() ? std::string_view() : std::string_view(found->value_);
}

} // namespace almondridge::net
