/** Computes a failure domain's distribution tree, for tests. */
#pragma once

#include "almondridge/replication/distributiontree.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace almondridge::replication::testing {

/** The instance that each member polls; members that read the store aren't in the map. */
inline std::map<InstanceId, InstanceId> parentsOf(const std::vector<Member> &members,
                                                  const std::set<InstanceId> &excluded = {})
{
    constexpr TimePoint Now {millis(1'000'000)};
    std::map<InstanceId, InstanceId> parents;
    for (const Member &member : members) {
        DistributionTree readers(member.id_);
        readers.setMembers(members);
        for (const InstanceId &one : excluded) {
            if (one != member.id_) {
                readers.onPeerFailed(one, PeerFailure::Timeout, Now);
            }
        }
        const std::vector<InstanceId> activeReaders = readers.activeReaders(true, Now);
        if (std::find(activeReaders.begin(), activeReaders.end(), member.id_)
            == activeReaders.end()) {
            parents[member.id_] = readers.parent(true, Now);
        }
    }
    return parents;
}

} // namespace almondridge::replication::testing
