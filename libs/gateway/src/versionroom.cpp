#include "almondridge/gateway/versionroom.h"

#include <algorithm>

namespace almondridge::gateway {

const VersionRoom::Use *VersionRoom::find(const SoftwareVersion &version) const
{
    const auto found = std::find_if(versions_.begin(), versions_.end(),
                                    [&](const Use &use) { return use.version_ == version; });
    return found != versions_.end() ? &*found : nullptr;
}

void VersionRoom::add(const SoftwareVersion &version, double utilization)
{
    const auto found = std::find_if(versions_.begin(), versions_.end(),
                                    [&](const Use &use) { return use.version_ == version; });
    Use &use = found != versions_.end() ? *found : versions_.emplace_back(Use {version});
    ++use.engines_;
    use.utilization_ += utilization;
}

bool VersionRoom::decodes(const SoftwareVersion &version) const
{
    return find(version) != nullptr;
}

bool VersionRoom::isOpen(const SoftwareVersion &version) const
{
    // Nothing goes on at an unknown version, so there is no room to keep.
    const auto hasRoom = [](const Use &use) { return !use.version_.empty() && use.hasRoom(); };
    const Use *use = find(version);
    return (use != nullptr && hasRoom(*use))
           || std::none_of(versions_.begin(), versions_.end(), hasRoom);
}

} // namespace almondridge::gateway
