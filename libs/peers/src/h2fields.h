/**
 * Conversion between H2Message and nghttp2 header fields.
 */
#pragma once

#include "h2message.h"

#include <nghttp2/nghttp2.h>
#include <string_view>
#include <vector>

namespace almondridge::peers {

/** The result points into message, which must outlive its use. */
std::vector<nghttp2_nv> requestFields(const H2Message &message);
/** The result points into message and status (the status as text), which must outlive its use. */
std::vector<nghttp2_nv> answerFields(const H2Message &message, const std::string &status);

/** Stores a received field in message; unknown names are ignored. */
void setField(H2Message &message, std::string_view name, std::string_view value);

} // namespace almondridge::peers
