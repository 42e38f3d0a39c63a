/**
 * Client accounts and their API keys. Only a keyed hash of each key is stored, so that keys can't
 * leak through logs, messages or core dumps.
 */
#pragma once

#include "almondridge/base/ids.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondridge::gateway {

struct Account
{
    AccountId id_;
    std::optional<int> priority_ {}; ///< Overrides the route's; 0 is the most urgent.
};

/** HMAC-SHA-256 of a key with a per-process secret: comparable within one process only. */
using KeyDigest = std::array<unsigned char, 32>;

KeyDigest digestOf(std::string_view key);

/** The accounts of one configuration and their keys, immutable once built. */
class Accounts
{
public:
    class Builder;

    /** The account that the key belongs to; null if there is none. */
    const Account *find(const KeyDigest &digest) const;
    const Account *find(const AccountId &id) const;
    std::size_t size() const noexcept { return accounts_.size(); }
    std::size_t keys() const noexcept { return byDigest_.size(); }

private:
    struct Entry
    {
        KeyDigest digest_ {};
        std::size_t account_ = 0; ///< Index in accounts_.
    };

    std::vector<Account> accounts_;
    std::unordered_map<std::uint64_t, Entry> byDigest_; ///< By the first bytes of the digest.
};

class Accounts::Builder
{
public:
    /** A key that was added with an earlier account stays with that account. */
    Builder &add(Account account, const std::vector<std::string> &keys);
    Accounts build();

private:
    Accounts accounts_;
};

} // namespace almondridge::gateway
