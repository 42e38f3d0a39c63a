/**
 * Decoding of CBOR: messages between instances are CBOR arrays.
 */
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace almondridge {

/**
 * Decodes CBOR; nullopt if the bytes are invalid. The decoder throws on excessive sizes even when
 * told not to throw. The exception is caught here, as anybody could send such bytes and end the
 * process.
 */
inline std::optional<nlohmann::json> fromCbor(std::string_view bytes)
{
    try {
        nlohmann::json json = nlohmann::json::from_cbor(bytes, true, false);
        return json.is_discarded() ? std::nullopt : std::optional(std::move(json));
    } catch (const nlohmann::json::exception &) {
        return std::nullopt; // Counted and logged by the caller.
    }
}

} // namespace almondridge
