#include "almondridge/gateway/requestkey.h"

#include "almondridge/gateway/promptcacheindex.h"

#include <array>
#include <cstring>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace almondridge::gateway {
namespace {

/** Prefixes the field with its length: otherwise "a" + "bc" and "ab" + "c" would be equal. */
void addField(std::string &text, std::string_view field)
{
    const std::uint64_t length = field.size();
    std::array<char, sizeof length> bytes {};
    std::memcpy(bytes.data(), &length, sizeof length);
    text.append(bytes.data(), bytes.size());
    text += field;
}

/** Set in the keys of parts alone. */
constexpr std::uint64_t PartBit = std::uint64_t {1} << 63U;

std::uint64_t keyedHash(std::string_view secret, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &size);
    std::uint64_t number = 0;
    std::memcpy(&number, digest.data(), sizeof number);
    return number;
}

} // namespace

RequestKey requestKey(std::string_view secret, const RequestIdentity &identity)
{
    std::string text;
    for (const std::string_view field :
         {identity.host_, identity.method_, identity.target_, identity.body_}) {
        addField(text, field);
    }
    if (!identity.account_.empty()) {
        addField(text, identity.account_);
    }
    return static_cast<RequestKey>(keyedHash(secret, text) & ~PartBit);
}

PartKeys::PartKeys(std::string_view secret)
    : secretHash_(keyedHash(secret, "parts"))
{ }

RequestKey PartKeys::keyOf(std::string_view model, std::uint64_t part) const
{
    return static_cast<RequestKey>(rendezvousWeight(nameHash(model) ^ secretHash_, part) | PartBit);
}

bool isPartKey(RequestKey key)
{
    return (static_cast<std::uint64_t>(key) & PartBit) != 0;
}

std::string toString(RequestKey key)
{
    return fmt::format("{:016x}", static_cast<std::uint64_t>(key));
}

} // namespace almondridge::gateway
