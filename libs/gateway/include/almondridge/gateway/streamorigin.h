/**
 * What began a stream. What endpoints of different software versions write doesn't fit together, so
 * only endpoints of the same service and version may go on with it.
 */
#pragma once

#include "almondridge/base/ids.h"

namespace almondridge::gateway {

struct StreamOrigin
{
    ServiceId service_;
    SoftwareVersion version_; ///< Empty: unknown, so that nothing may go on with the stream.

    friend bool operator==(const StreamOrigin &, const StreamOrigin &) = default;
};

} // namespace almondridge::gateway
