/**
 * Message authentication: a proof is an HMAC-SHA256 of a message with the key that all entry
 * instances share.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/base/time.h"
#include "h2message.h"

#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>

namespace almondridge::peers {

/** Maximum difference between a message's wall clock time and the receiver's. */
inline constexpr Duration MaxClockSkew = std::chrono::seconds(30);

/** Result of authenticating a message. */
enum class AuthenticationResult {
    Valid,
    Wrong,             ///< The proof is missing or wrong: another key, or a changed message.
    ClockSkewTooLarge, ///< Differs from this instance's wall clock by more than MaxClockSkew.
    Replayed,          ///< Its nonce was seen before.
    Full,              ///< The replay window is full.
};

inline constexpr std::array<EnumName<AuthenticationResult>, 5> AuthenticationResultNames {{
    {AuthenticationResult::Valid, "valid"},
    {AuthenticationResult::Wrong, "wrong-proof"},
    {AuthenticationResult::ClockSkewTooLarge, "out-of-time"},
    {AuthenticationResult::Replayed, "replayed"},
    {AuthenticationResult::Full, "replay-window-full"},
}};

/** Computes proofs. Immutable. */
class MessageAuthenticator
{
public:
    explicit MessageAuthenticator(std::string key);

    /** HMAC in hex digits over method, path, audience, sender fields, nonce and body. */
    std::string requestProof(const H2Message &request, std::string_view audience) const;

    /**
     * The proof of an answer. It covers the nonce of the request, so that only a holder of the
     * key who received this request can compute it.
     */
    std::string answerProof(const H2Message &answer, std::string_view requestNonce) const;

    /** Compares in constant time, to leak nothing about the expected proof through timing. */
    static bool equalConstantTime(std::string_view left, std::string_view right) noexcept;

private:
    std::string key_;
};

/** 64 random bits as hex digits. */
std::string randomNonce();

/** Remembers each nonce until its message would be rejected for its time. */
class ReplayWindow
{
public:
    explicit ReplayWindow(std::size_t capacity);

    /**
     * Returns Valid once for each nonce, and Replayed for one seen before. Returns Full when
     * capacity is reached: evicting a nonce early would let its message be replayed, so the new
     * message is rejected instead. Pass only nonces of messages with a valid proof, so that a
     * sender without the key cannot fill the window.
     */
    AuthenticationResult admit(std::string_view instance, std::string_view nonce, TimePoint now);

    std::size_t size() const noexcept { return seen_.size(); }

private:
    struct Entry
    {
        TimePoint deadline_;
        std::string key_;
    };

    std::size_t capacity_;
    std::deque<Entry> byDeadline_;
    std::unordered_set<std::string> seen_;
};

/** Whether a message's wall clock time is within MaxClockSkew of wallNowMillis. */
bool isWithinClockSkew(std::string_view messageMillis, std::int64_t wallNowMillis) noexcept;

} // namespace almondridge::peers
