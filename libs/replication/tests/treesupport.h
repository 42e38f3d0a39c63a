/** The tree in which news pass a failure domain, for tests. */
#pragma once

#include "almondridge/replication/distributiontree.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace almondridge::replication::testing {

/** Whom each of them asks; those that read ask nobody. */
inline std::map<InstanceId, InstanceId> parentsOf(const std::vector<Member> &members,
                                                  const std::set<InstanceId> &passedOver = {})
{
    constexpr TimePoint Now {millis(1'000'000)};
    std::map<InstanceId, InstanceId> parents;
    for (const Member &member : members) {
        Readers readers(member.id_);
        readers.setMembers(members);
        for (const InstanceId &one : passedOver) {
            if (one != member.id_) {
                readers.onUseless(one, Uselessness::Silent, Now);
            }
        }
        const std::vector<InstanceId> atWork = readers.atWork(true, Now);
        if (std::find(atWork.begin(), atWork.end(), member.id_) == atWork.end()) {
            parents[member.id_] = readers.parent(true, Now);
        }
    }
    return parents;
}

} // namespace almondridge::replication::testing
