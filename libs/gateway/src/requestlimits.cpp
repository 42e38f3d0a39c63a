#include "almondridge/gateway/requestlimits.h"

#include <cmath>

namespace almondridge::gateway {
namespace {

/** Smaller relative changes of a limit aren't reported. */
constexpr double MinReportedChange = 0.1;

} // namespace

bool RequestLimits::onAnswer(const EndpointId &id, std::optional<double> perSecond, TimePoint now)
{
    if (!perSecond) {
        return limits_.erase(id) > 0;
    }
    const auto [place, added] = limits_.try_emplace(id);
    const double before = place->second.perSecond_;
    place->second = {*perSecond, now};
    return added || std::abs(*perSecond - before) > MinReportedChange * before;
}

std::optional<double> RequestLimits::limitOf(const EndpointId &id) const
{
    const auto found = limits_.find(id);
    return found != limits_.end() ? std::optional(found->second.perSecond_) : std::nullopt;
}

} // namespace almondridge::gateway
