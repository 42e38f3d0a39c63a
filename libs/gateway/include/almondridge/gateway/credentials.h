/**
 * The key in a request's Authorization header, read strictly: one header, one scheme, one token
 * (RFC 9110, section 11.6.2). Pure.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/net/http.h"

#include <array>
#include <string>
#include <string_view>

namespace almondridge::gateway {

enum class CredentialState {
    Absent,
    Malformed, ///< Doubled, of another scheme, or no token.
    Present,
};

struct Credentials
{
    CredentialState state_ = CredentialState::Absent;
    std::string key_; ///< Empty unless present.
};

/** Longer keys are malformed. */
inline constexpr std::size_t MostKeyBytes = 512;

Credentials readCredentials(const net::Headers &headers, std::string_view scheme);

/** Takes every Authorization header off, so that no endpoint and no log is shown one. */
void removeCredentials(net::Headers &headers);

} // namespace almondridge::gateway
