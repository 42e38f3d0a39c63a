#include "almondridge/gateway/credentials.h"

#include <algorithm>
#include <cctype>

namespace almondridge::gateway {
namespace {

constexpr std::string_view HeaderName = "Authorization";

bool isTokenCharacter(char letter)
{
    constexpr std::string_view Punctuation = "-._~+/=";
    return std::isalnum(static_cast<unsigned char>(letter)) != 0
           || Punctuation.find(letter) != std::string_view::npos;
}

bool isToken(std::string_view text)
{
    return !text.empty() && text.size() <= MaxKeyBytes
           && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blank = " \t";
    const std::size_t begin = text.find_first_not_of(Blank);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(Blank) - begin + 1);
}

} // namespace

Credentials readCredentials(const net::Headers &headers, std::string_view scheme)
{
    const net::Header *authorization = nullptr;
    for (const net::Header &header : headers) {
        if (!net::equalWithoutCase(header.name_, HeaderName)) {
            continue;
        }
        if (authorization != nullptr) {
            return {CredentialState::Malformed, {}};
        }
        authorization = &header;
    }
    if (authorization == nullptr) {
        return {};
    }
    const std::string_view value = trimmed(authorization->value_);
    const std::size_t space = value.find(' ');
    if (space == std::string_view::npos || !net::equalWithoutCase(value.substr(0, space), scheme)) {
        return {CredentialState::Malformed, {}};
    }
    const std::string_view key =
        value.substr(std::min(value.find_first_not_of(' ', space), value.size()));
    if (!isToken(key)) {
        return {CredentialState::Malformed, {}};
    }
    return {CredentialState::Present, std::string(key), authorization->value_};
}

void removeCredentials(net::Headers &headers)
{
    std::erase_if(headers, [](const net::Header &header) {
        return net::equalWithoutCase(header.name_, HeaderName);
    });
}

} // namespace almondridge::gateway
