#include "treesupport.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::replication;
using testing::parentsOf;

namespace {

constexpr double NarrowMbps = 20;
constexpr double WideMbps = 1'000;

InstanceId idOf(int number)
{
    return InstanceId("instance-" + std::to_string(number));
}

/** The first `wide` members have fast links. */
std::vector<Member> membersOf(int count, int wide)
{
    std::vector<Member> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        members.push_back({idOf(number), number < wide ? WideMbps : NarrowMbps});
    }
    return members;
}

int depthOf(const InstanceId &id, const std::map<InstanceId, InstanceId> &parents)
{
    int depth = 0;
    for (auto at = parents.find(id); at != parents.end(); at = parents.find(at->second)) {
        ++depth;
        BOOST_REQUIRE(depth < 100);
    }
    return depth;
}

} // namespace

BOOST_AUTO_TEST_SUITE(DistributionTrees)

// Guards against readers that serve a whole failure domain. Two readers sent every change, and to
// each new instance a snapshot, to all others: at 300 instances one of them sent 75 MB a second,
// and at 1,000 its link is saturated.
BOOST_AUTO_TEST_CASE(followersPerInstanceDoNotGrowWithTheDomain)
{
    for (const int count : {20, 200, 400, 2'000}) {
        const std::vector<Member> members = membersOf(count, count / 20);
        const auto parents = parentsOf(members);
        std::map<InstanceId, int> followers;
        int deepest = 0;
        for (const auto &[id, parent] : parents) {
            ++followers[parent];
            deepest = std::max(deepest, depthOf(id, parents));
        }
        for (const Member &member : members) {
            const int most = member.linkMbps_ == WideMbps ? 64 : 12;
            BOOST_TEST(followers[member.id_] <= most,
                       count << " instances: " << followers[member.id_]);
        }
        BOOST_TEST(deepest <= 4, count << " instances: " << deepest);
    }
}

// Guards against a tree that is reshuffled when one instance fails: all followers then change their
// parent, each gets a snapshot from an instance that has just lost its own parent, and no instance
// has current data.
BOOST_AUTO_TEST_CASE(losingAnInstanceMovesOnlyItsFollowers)
{
    const std::vector<Member> members = membersOf(200, 10);
    const auto before = parentsOf(members);
    const InstanceId lost = idOf(5);
    const auto after = parentsOf(members, {lost});
    int moved = 0;
    for (const auto &[id, parent] : before) {
        if (id == lost) {
            continue;
        }
        const auto now = after.find(id);
        BOOST_REQUIRE((now != after.end()));
        BOOST_TEST((now->second != lost));
        moved += parent != lost && now->second != parent ? 1 : 0;
    }
    BOOST_TEST(moved <= 10);
}

BOOST_AUTO_TEST_SUITE_END()
