#include "almondridge/gateway/peerselector.h"

#include "enginefleet.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <set>
#include <string>

using namespace almondridge;
using namespace almondridge::gateway;
using gateway::testing::at;

namespace {

constexpr int Domains = 9;
/** Requests in progress at an instance at the peak. */
constexpr int OpenRequests = 33;

PeerInstance instance(int number)
{
    return {InstanceId("instance-" + std::to_string(number)),
            DomainId("domain-" + std::to_string(number % Domains)),
            {"127.0.0.1", 1}};
}

std::vector<PeerInstance> instances(int count)
{
    std::vector<PeerInstance> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        all.push_back(instance(number));
    }
    return all;
}

/** What a cut makes of the load at the instances that are not cut. */
struct CutLoad
{
    std::map<InstanceId, int> open_; ///< Forwarded requests at each peer.
    std::size_t mostPeers_ = 0;      ///< Peers that one cut instance uses.
    int mostRefused_ = 0;            ///< Refusals that one cut instance meets.
    int unserved_ = 0;

    int worst() const
    {
        int most = 0;
        for (const auto &[id, open] : open_) {
            most = std::max(most, open);
        }
        return most;
    }
};

/** Each cut instance keeps its requests in progress at peers, which refuse if they are cut, too. */
CutLoad forwardAll(int count, const std::function<bool(const PeerInstance &)> &isCut)
{
    constexpr int Requests = 4 * OpenRequests;
    const std::vector<PeerInstance> all = instances(count);
    std::map<InstanceId, bool> cut;
    for (const PeerInstance &one : all) {
        cut[one.id_] = isCut(one);
    }
    CutLoad load;
    for (const PeerInstance &self : all) {
        if (!cut[self.id_]) {
            continue;
        }
        PeerSelector selector;
        selector.setPeers(self.id_, self.domain_, all);
        std::set<InstanceId> used;
        std::deque<InstanceId> open;
        int refused = 0;
        for (int request = 0; request < Requests; ++request) {
            const TimePoint now = at(request);
            std::vector<InstanceId> excluded;
            auto peer = selector.choose(excluded, now);
            while (peer && cut[peer->id_]) {
                ++refused;
                excluded.push_back(peer->id_);
                selector.onCutOff(peer->id_, now);
                peer = selector.choose(excluded, now);
            }
            if (!peer) {
                ++load.unserved_;
                continue;
            }
            selector.onSent(peer->id_);
            used.insert(peer->id_);
            open.push_back(peer->id_);
            if (open.size() > OpenRequests) {
                selector.onEnded(open.front());
                open.pop_front();
            }
        }
        for (const InstanceId &id : open) {
            ++load.open_[id];
        }
        load.mostPeers_ = std::max(load.mostPeers_, used.size());
        load.mostRefused_ = std::max(load.mostRefused_, refused);
    }
    return load;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PeerSelectors)

/** Load pattern: a whole failure domain is cut off from the endpoints, up to twice the size. */
BOOST_AUTO_TEST_CASE(aCutDomainSpreadsOverTheOthers)
{
    for (const int count : {90, 200, 985, 2'000}) {
        const CutLoad load = forwardAll(
            count, [](const PeerInstance &one) { return one.domain_ == DomainId("domain-0"); });
        BOOST_TEST(load.unserved_ == 0, count);
        // No instance gets more than its own load on top of it.
        BOOST_TEST(load.worst() <= OpenRequests, count);
        // A handful of connections each, however large the fleet is.
        BOOST_TEST(load.mostPeers_ <= 12U, count);
        BOOST_TEST(load.mostRefused_ <= 1, count);
        BOOST_TEST_MESSAGE("instances " << count << ": most forwarded requests at a peer "
                                        << load.worst() << ", peers used " << load.mostPeers_);
    }
}

/** Load pattern: two of three instances in each failure domain are cut off, nine in all. */
BOOST_AUTO_TEST_CASE(theInstancesLeftInEachDomainServeTheirNeighbours)
{
    const std::vector<PeerInstance> all = instances(27);
    PeerSelector selector;
    selector.setPeers(all[0].id_, all[0].domain_, all);
    const auto first = selector.choose({}, at(0));
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->domain_ == all[0].domain_);
    // The neighbour is cut off as well: others are asked first, and it again later.
    selector.onCutOff(first->id_, at(0));
    const auto second = selector.choose({first->id_}, at(0));
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST(second->domain_ != all[0].domain_);
    const auto later = selector.choose({}, at(2'000));
    BOOST_TEST(later->domain_ == all[0].domain_);
}

/** Guards against sending all requests to one peer, or to one that has not answered yet. */
BOOST_AUTO_TEST_CASE(requestsGoToThePeerWithTheFewest)
{
    const std::vector<PeerInstance> all = instances(4 * Domains);
    PeerSelector selector;
    selector.setPeers(all[0].id_, all[0].domain_, all);
    std::map<InstanceId, int> sent;
    for (int request = 0; request < 36; ++request) {
        const InstanceId id = selector.choose({}, at(0))->id_;
        selector.onSent(id);
        ++sent[id];
    }
    BOOST_TEST(sent.size() == 12U);
    for (const auto &[id, count] : sent) {
        BOOST_TEST(count == 3, id.value());
    }
}

/** Guards against refusing callers because the only healthy peer is in a domain with a cut one. */
BOOST_AUTO_TEST_CASE(anAvoidedDomainIsBetterThanNone)
{
    const std::vector<PeerInstance> all = {instance(0), instance(1), instance(1 + Domains)};
    PeerSelector selector;
    selector.setPeers(all[0].id_, all[0].domain_, all);
    selector.onCutOff(all[1].id_, at(0));
    BOOST_REQUIRE(selector.choose({}, at(1)).has_value());
    BOOST_TEST(selector.choose({}, at(1))->id_ == all[2].id_);
    selector.onUnavailable(all[2].id_, at(1));
    BOOST_TEST(!selector.choose({}, at(1)).has_value());
}

/** Guards against callers that wait for connections when no peer can be reached. */
BOOST_AUTO_TEST_CASE(aPeerThatStaysUnreachableIsTriedMoreAndMoreRarely)
{
    const std::vector<PeerInstance> all = instances(2);
    PeerSelector selector;
    selector.setPeers(all[0].id_, all[0].domain_, all);
    int tried = 0;
    for (int now = 0; now < 20'000; now += 100) {
        if (const auto peer = selector.choose({}, at(now))) {
            ++tried;
            selector.onUnavailable(peer->id_, at(now));
        }
    }
    BOOST_TEST(tried <= 8);
    BOOST_REQUIRE(selector.choose({}, at(30'000)).has_value());
    selector.onAnswered(all[1].id_);
    selector.onUnavailable(all[1].id_, at(30'000));
    BOOST_TEST(selector.choose({}, at(30'600)).has_value());
}

/** Guards against losing counts when the list of instances is read again. */
BOOST_AUTO_TEST_CASE(aNewListKeepsWhatIsKnownOfPeers)
{
    const std::vector<PeerInstance> all = instances(2);
    PeerSelector selector;
    selector.setPeers(all[0].id_, all[0].domain_, all);
    selector.onUnavailable(all[1].id_, at(0));
    selector.setPeers(all[0].id_, all[0].domain_, all);
    BOOST_TEST(!selector.choose({}, at(100)).has_value());
    BOOST_TEST(selector.choose({}, at(600)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
