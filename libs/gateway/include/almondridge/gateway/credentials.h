/**
 * Strict parser for the API key in a request's Authorization header: exactly one header, one
 * scheme and one token (RFC 9110, section 11.6.2).
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
    Malformed, ///< Several headers, another scheme, or not a token.
    Present,
};

struct Credentials
{
    CredentialState state_ = CredentialState::Absent;
    std::string key_ {};    ///< Empty unless the state is Present.
    std::string header_ {}; ///< The header as sent, for another instance; empty as key_.
};

/** Longer keys are malformed. */
inline constexpr std::size_t MaxKeyBytes = 512;

Credentials readCredentials(const net::Headers &headers, std::string_view scheme);

/** Removes every Authorization header, so that keys reach neither endpoints nor logs. */
void removeCredentials(net::Headers &headers);

} // namespace almondridge::gateway
