/**
 * Records between instances are CBOR arrays.
 */
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace almondridge {

/**
 * nullopt: it is no CBOR. Sizes that no record can have are refused by an exception even where the
 * decoder was told to throw none; anybody may send such bytes, and it would end the process.
 */
inline std::optional<nlohmann::json> fromCbor(std::string_view bytes)
{
    try {
        nlohmann::json json = nlohmann::json::from_cbor(bytes, true, false);
        return json.is_discarded() ? std::nullopt : std::optional(std::move(json));
    } catch (const nlohmann::json::exception &) {
        return std::nullopt; // The caller counts it and says so.
    }
}

} // namespace almondridge
