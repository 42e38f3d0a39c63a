#include "proof.h"

#include <charconv>
#include <cstdlib>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace almondridge::peers {
namespace {

constexpr std::size_t NonceBytes = 8;
constexpr std::size_t DigestBytes = 32;

std::string toHex(const unsigned char *bytes, std::size_t size)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t index = 0; index < size; ++index) {
        text += Digits[bytes[index] >> 4U];
        text += Digits[bytes[index] & 15U];
    }
    return text;
}

/**
 * Appends a field prefixed with its length. Without the lengths two different messages could
 * give the same text ("ab" + "c" and "a" + "bc") and thus the same proof.
 */
void appendField(std::string &text, std::string_view field)
{
    text += std::to_string(field.size());
    text += ':';
    text += field;
}

std::string hmac(const std::string &key, const std::string &text)
{
    std::array<unsigned char, DigestBytes> digest {};
    unsigned int size = 0;
    const auto *bytes = reinterpret_cast<const unsigned char *>(text.data());
    if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes, text.size(),
             digest.data(), &size)
        == nullptr) {
        throw std::runtime_error("OpenSSL failed to compute HMAC-SHA256");
    }
    return toHex(digest.data(), size);
}

void appendSender(std::string &text, const H2Message &message)
{
    appendField(text, message.instance_);
    appendField(text, message.domain_);
    appendField(text, message.time_);
    appendField(text, message.clock_);
}

} // namespace

MessageAuthenticator::MessageAuthenticator(std::string key)
    : key_(std::move(key))
{ }

std::string MessageAuthenticator::requestProof(const H2Message &request,
                                               std::string_view audience) const
{
    std::string text;
    text.reserve(request.body_.size() + 256);
    appendField(text, request.method_);
    appendField(text, request.path_);
    appendField(text, audience);
    appendSender(text, request);
    appendField(text, request.nonce_);
    appendField(text, request.body_);
    return hmac(key_, text);
}

std::string MessageAuthenticator::answerProof(const H2Message &answer,
                                              std::string_view requestNonce) const
{
    std::string text;
    text.reserve(answer.body_.size() + 256);
    // No HTTP method has this name, so the proof of an answer is never valid for a request.
    appendField(text, "answer");
    appendField(text, std::to_string(answer.status_));
    appendSender(text, answer);
    appendField(text, requestNonce);
    appendField(text, answer.body_);
    return hmac(key_, text);
}

bool MessageAuthenticator::equalConstantTime(std::string_view left, std::string_view right) noexcept
{
    return left.size() == right.size()
           && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomNonce()
{
    std::array<unsigned char, NonceBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("OpenSSL failed to generate random bytes");
    }
    return toHex(bytes.data(), bytes.size());
}

ReplayWindow::ReplayWindow(std::size_t capacity)
    : capacity_(capacity)
{ }

AuthenticationResult ReplayWindow::admit(std::string_view instance, std::string_view nonce,
                                         TimePoint now)
{
    while (!byDeadline_.empty() && byDeadline_.front().deadline_ <= now) {
        seen_.erase(byDeadline_.front().key_);
        byDeadline_.pop_front();
    }
    std::string key(instance);
    key += '/';
    key += nonce;
    if (seen_.count(key) != 0) {
        return AuthenticationResult::Replayed;
    }
    if (seen_.size() >= capacity_) {
        return AuthenticationResult::Full;
    }
    // A message from a clock that is MaxClockSkew ahead is accepted for twice that time.
    byDeadline_.push_back({now + 2 * MaxClockSkew, key});
    seen_.insert(std::move(key));
    return AuthenticationResult::Valid;
}

bool isWithinClockSkew(std::string_view messageMillis, std::int64_t wallNowMillis) noexcept
{
    std::int64_t sent = 0;
    const char *const end = messageMillis.data() + messageMillis.size();
    const auto [stop, error] = std::from_chars(messageMillis.data(), end, sent);
    if (error != std::errc() || stop != end || sent < 0) {
        return false;
    }
    return std::llabs(sent - wallNowMillis) <= toMillis(MaxClockSkew);
}

} // namespace almondridge::peers
