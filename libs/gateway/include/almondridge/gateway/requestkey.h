/**
 * A number that is equal for equal requests and tells nothing of their text, so that it may stand
 * in logs and in messages between instances.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace almondridge::gateway {

enum class RequestKey : std::uint64_t {};

/** What makes two requests equal: the same bytes for an endpoint, whoever sends them and when. */
struct RequestIdentity
{
    std::string_view host_;
    std::string_view method_;
    std::string_view target_;
    std::string_view body_;
    std::string_view account_ {}; ///< Whose request it is; empty: nobody's.
};

/** HMAC-SHA-256 with the secret that all instances of a deployment share, cut to 64 bits. */
RequestKey requestKey(std::string_view secret, const RequestIdentity &identity);

/** Sixteen hexadecimal digits. */
std::string toString(RequestKey key);

} // namespace almondridge::gateway
