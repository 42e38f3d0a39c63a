/**
 * The JSON bodies of the engine's control calls (docs/PROTOCOLS.md).
 */
#pragma once

#include "almondridge/control/ordergate.h"

#include <string>
#include <string_view>

namespace almondridge::control {

/** Error Protocol when the body is not an engine's state. */
Result<EngineState> decodeEngineState(std::string_view body);

std::string encodeOrder(const EngineOrder &order);

/** The "code" of an error body; empty when there is none. */
std::string errorCode(std::string_view body);

} // namespace almondridge::control
