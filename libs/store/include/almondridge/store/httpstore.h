/**
 * HTTP clients of the platform's services. The calls are specified in docs/PROTOCOLS.md.
 */
#pragma once

#include "almondridge/net/http.h"
#include "almondridge/store/store.h"

#include <memory>

namespace almondridge::store {

std::unique_ptr<LogService> makeHttpLogService(net::Address address);
std::unique_ptr<InstanceList> makeHttpInstanceList(net::Address address);
std::unique_ptr<WeightStore> makeHttpWeightStore(net::Address address);

} // namespace almondridge::store
