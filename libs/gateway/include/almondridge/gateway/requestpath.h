/**
 * The ways by which a request reaches an endpoint, for metrics.
 */
#pragma once

#include "almondridge/base/enumnames.h"

#include <array>

namespace almondridge::gateway {

enum class RequestPath {
    Service,     ///< A caller's request to a plain service.
    Prefill,     ///< A prompt to a prefill engine.
    Decode,      ///< A prefilled prompt to a decode engine.
    InPlace,     ///< A whole prompt to a decode engine.
    Resume,      ///< The rest of an interrupted stream.
    Release,     ///< Frees a prefilled prompt that no engine will fetch.
    StatusQuery, ///< Asks an engine for its status before an order.
    Order,       ///< Changes an engine's stage.
};

inline constexpr std::array<EnumName<RequestPath>, 8> RequestPathNames {{
    {RequestPath::Service, "service"},
    {RequestPath::Prefill, "prefill"},
    {RequestPath::Decode, "decode"},
    {RequestPath::InPlace, "in-place"},
    {RequestPath::Resume, "resume"},
    {RequestPath::Release, "release"},
    {RequestPath::StatusQuery, "status"},
    {RequestPath::Order, "order"},
}};

} // namespace almondridge::gateway
