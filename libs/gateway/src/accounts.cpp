#include "almondridge/gateway/accounts.h"

#include <algorithm>
#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace almondridge::gateway {
namespace {

KeyDigest generateSecret()
{
    KeyDigest secret {};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
        throw std::runtime_error("no random bytes available for the account key secret");
    }
    return secret;
}

/** Prevents timing attacks: with an unkeyed hash, callers could choose the hash looked up. */
const KeyDigest &processSecret()
{
    static const KeyDigest secret = generateSecret();
    return secret;
}

std::uint64_t hashTableKey(const KeyDigest &digest)
{
    std::uint64_t number = 0;
    std::memcpy(&number, digest.data(), sizeof number);
    return number;
}

} // namespace

KeyDigest digestOf(std::string_view key)
{
    const KeyDigest &secret = processSecret();
    KeyDigest digest {};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char *>(key.data()), key.size(), digest.data(), &size);
    return digest;
}

const Account *Accounts::find(const KeyDigest &digest) const
{
    const auto found = byDigest_.find(hashTableKey(digest));
    const bool isSame =
        found != byDigest_.end()
        && CRYPTO_memcmp(found->second.digest_.data(), digest.data(), digest.size()) == 0;
    return isSame ? &accounts_[found->second.account_] : nullptr;
}

const Account *Accounts::find(const AccountId &id) const
{
    const auto found = std::find_if(accounts_.begin(), accounts_.end(),
                                    [&](const Account &one) { return one.id_ == id; });
    return found != accounts_.end() ? &*found : nullptr;
}

Accounts::Builder &Accounts::Builder::add(Account account, const std::vector<std::string> &keys)
{
    const std::size_t index = accounts_.accounts_.size();
    accounts_.accounts_.push_back(std::move(account));
    for (const std::string &key : keys) {
        const KeyDigest digest = digestOf(key);
        accounts_.byDigest_.try_emplace(hashTableKey(digest), Entry {digest, index});
    }
    return *this;
}

Accounts Accounts::Builder::build()
{
    return std::move(accounts_);
}

} // namespace almondridge::gateway
