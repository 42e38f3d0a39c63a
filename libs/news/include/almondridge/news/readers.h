/**
 * Which instances of a failure domain read the store for the others. Pure.
 *
 * All instances work out the same order from the entries that they know: those with the widest
 * links first, as a large configuration has to be sent to every follower. The first ones read. An
 * instance that got no use of a reader lately passes it over, and reads itself when the readers
 * before it are all useless, or when it comes first among the rest.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"

#include <map>
#include <optional>
#include <vector>

namespace almondridge::news {

/** An instance of a failure domain, and how much it can send. */
struct Member
{
    InstanceId id_;
    double linkMbps_ = 0;
};

class Readers
{
public:
    explicit Readers(InstanceId self);

    /** The instances of this failure domain, this one too. */
    void setMembers(std::vector<Member> members);
    /** Asking that instance was of no use. */
    void onUseless(const InstanceId &member, TimePoint now);
    /** The instance to ask; nullopt: this one reads the store itself. */
    std::optional<InstanceId> toFollow(TimePoint now);

private:
    InstanceId self_;
    std::vector<InstanceId> order_;
    std::map<InstanceId, TimePoint> uselessUntil_;
};

} // namespace almondridge::news
