/**
 * Client accounts and the keys that their callers show. A key is kept as a keyed hash only, so that
 * no log, message or core dump has it. Pure.
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
    std::optional<int> priority_ {}; ///< Goes before the route's; 0 is the most urgent.
};

/** HMAC-SHA-256 of a key; comparable within one process only. */
using KeyDigest = std::array<unsigned char, 32>;

KeyDigest digestOf(std::string_view key);

/** The accounts of one configuration and the keys that they hold, immutable once built. */
class Accounts
{
public:
    class Builder;

    /** The account that holds the key; null: none does. */
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
    /** A key that an earlier account holds stays with that one. */
    Builder &add(Account account, const std::vector<std::string> &keys);
    Accounts build();

private:
    Accounts accounts_;
};

} // namespace almondridge::gateway
