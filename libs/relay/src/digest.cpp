#include "digest.h"

#include <algorithm>
#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace almondridge::relay {
namespace {

constexpr std::size_t GroupBytes = 3;
constexpr std::size_t GroupCharacters = 4;

const unsigned char *asUnsigned(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

void replaceCharacters(std::string &text, char from1, char to1, char from2, char to2)
{
    std::replace(text.begin(), text.end(), from1, to1);
    std::replace(text.begin(), text.end(), from2, to2);
}

} // namespace

std::string sha256Hex(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> hash {};
    unsigned size = 0;
    EVP_Digest(text.data(), text.size(), hash.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned index = 0; index < size; ++index) {
        hex += Digits[hash[index] >> 4U];
        hex += Digits[hash[index] & 0xfU];
    }
    return hex;
}

std::string hmacSha256(std::string_view key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> mac {};
    unsigned size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), asUnsigned(text), text.size(),
         mac.data(), &size);
    return {mac.data(), mac.data() + size};
}

bool constantTimeEqual(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string toBase64Url(std::string_view bytes)
{
    std::string text((bytes.size() + GroupBytes - 1) / GroupBytes * GroupCharacters + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                     asUnsigned(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    text.resize(text.find_last_not_of('=') + 1);
    replaceCharacters(text, '+', '-', '/', '_');
    return text;
}

std::optional<std::string> fromBase64Url(std::string_view text)
{
    if (text.empty() || text.size() % GroupCharacters == 1
        || text.find_first_of("+/= \t\r\n") != std::string_view::npos) {
        return std::nullopt;
    }
    std::string padded(text);
    replaceCharacters(padded, '-', '+', '_', '/');
    const std::size_t padding = (GroupCharacters - text.size() % GroupCharacters) % GroupCharacters;
    padded.append(padding, '=');
    std::string bytes(padded.size(), '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                     asUnsigned(padded), static_cast<int>(padded.size()));
    if (size < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

} // namespace almondridge::relay
