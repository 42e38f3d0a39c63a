/**
 * Keyed hash of a request, or of a part of a prompt that requests share. Equal requests have equal
 * keys, and a key reveals nothing about the request's text, so that it can appear in logs and in
 * messages between instances.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::gateway {

enum class RequestKey : std::uint64_t {};

/** What a request has in common with others. */
struct RequestKeys
{
    RequestKey own_ {};
    std::vector<RequestKey> parts_ {}; ///< Of the parts that its prompt shares with others.
};

/** The fields that make two requests equal: the bytes for the endpoint and the client account. */
struct RequestIdentity
{
    std::string_view host_;
    std::string_view method_;
    std::string_view target_;
    std::string_view body_;
    std::string_view account_ {}; ///< Client account; empty if the request has none.
};

/** HMAC-SHA-256 with the secret that all instances of a deployment share, truncated to 63 bits. */
RequestKey requestKey(std::string_view secret, const RequestIdentity &identity);

/**
 * Keys of parts of prompts, which differ from the keys of all requests. Prompts may have a thousand
 * parts, so the secret is hashed only once.
 */
class PartKeys
{
public:
    explicit PartKeys(std::string_view secret);

    RequestKey keyOf(std::string_view model, std::uint64_t part) const;

private:
    std::uint64_t secretHash_;
};

bool isPartKey(RequestKey key);

/** Sixteen hexadecimal digits. */
std::string toString(RequestKey key);

} // namespace almondridge::gateway
