#include "engine/orderbook.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace almondridge::standins {
namespace {

Result<Json> member(const Json &json, const char *name)
{
    if (!json.is_object() || !json.contains(name)) {
        return wrongField(name, json, "all fields of the call in docs/PROTOCOLS.md");
    }
    return json[name];
}

/** Reads json[name], which must be there, into target. */
template <typename T>
Result<void> readMember(const Json &json, const char *name, T &target)
{
    BOOST_LEAF_AUTO(value, member(json, name));
    return readValue(name, value, target);
}

Result<std::uint64_t> readNumber(const Json &json, const char *name)
{
    std::int64_t number = 0;
    BOOST_LEAF_CHECK(readMember(json, name, number));
    return static_cast<std::uint64_t>(number);
}

/** What after has and before does not. */
std::vector<std::string> added(const std::vector<std::string> &before,
                               const std::vector<std::string> &after)
{
    std::vector<std::string> fresh;
    std::copy_if(after.begin(), after.end(), std::back_inserter(fresh), [&](const auto &name) {
        return std::find(before.begin(), before.end(), name) == before.end();
    });
    return fresh;
}

} // namespace

Result<Target> readTarget(const Json &json)
{
    Target target;
    BOOST_LEAF_CHECK(readMember(json, "model", target.model_));
    BOOST_LEAF_CHECK(readMember(json, "version", target.version_));
    BOOST_LEAF_CHECK(readMember(json, "admit", target.admit_));
    std::string role;
    BOOST_LEAF_CHECK(readMember(json, "role", role));
    const std::optional<Role> known = valueOf(RoleNames, role);
    if (!known) {
        return wrongField("role", role, "one of " + namesOf(RoleNames));
    }
    target.role_ = *known;
    BOOST_LEAF_AUTO(adapters, member(json, "adapters"));
    for (const Json &adapter : adapters) {
        BOOST_LEAF_CHECK(readValue("adapters", adapter, target.adapters_.emplace_back()));
    }
    std::sort(target.adapters_.begin(), target.adapters_.end());
    return target;
}

Json toJson(const Target &target)
{
    return {{"model", target.model_},
            {"version", target.version_},
            {"adapters", target.adapters_},
            {"role", nameOf(RoleNames, target.role_)},
            {"admit", target.admit_}};
}

Result<Order> readOrder(const Json &json)
{
    Order order;
    BOOST_LEAF_ASSIGN(order.fence_, readNumber(json, "fence"));
    BOOST_LEAF_ASSIGN(order.sequence_, readNumber(json, "sequence"));
    BOOST_LEAF_CHECK(readMember(json, "holder", order.holder_));
    BOOST_LEAF_AUTO(target, member(json, "target"));
    BOOST_LEAF_ASSIGN(order.target_, readTarget(target));
    return order;
}

OrderBook::OrderBook(Target initial)
    : initial_(initial)
    , target_(std::move(initial))
{ }

OrderEffect OrderBook::take(const Order &order, bool checksFence)
{
    OrderEffect effect;
    effect.stale_ = isStale(order);
    if (effect.stale_ && checksFence) {
        effect.verdict_ = OrderVerdict::StaleFence;
        return effect;
    }
    if (phase_ == Phase::Changing) {
        effect.verdict_ = OrderVerdict::Busy;
        return effect;
    }
    const bool unclear = phase_ == Phase::Unclear;
    const Target &wanted = order.target_;
    effect.loadModel_ =
        unclear || wanted.model_ != target_.model_ || wanted.version_ != target_.version_;
    effect.loadAdapters_ =
        effect.loadModel_ ? wanted.adapters_ : added(target_.adapters_, wanted.adapters_);
    effect.roleChange_ = !unclear && wanted.role_ != target_.role_;
    Target onlyAdmit = target_;
    onlyAdmit.admit_ = wanted.admit_;
    effect.change_ = unclear || onlyAdmit != wanted;
    fence_ = order.fence_;
    sequence_ = order.sequence_;
    target_ = wanted;
    phase_ = effect.change_ ? Phase::Changing : Phase::Ready;
    return effect;
}

void OrderBook::finishChange()
{
    phase_ = Phase::Ready;
}

void OrderBook::crash()
{
    target_ = initial_;
    phase_ = Phase::Ready;
    fence_ = 0;
    sequence_ = 0;
}

void OrderBook::crashUnclear()
{
    crash();
    target_ = Target {};
    target_.admit_ = false;
    phase_ = Phase::Unclear;
}

bool OrderBook::isStale(const Order &order) const
{
    const auto last = std::tie(fence_, sequence_);
    const auto offered = std::tie(order.fence_, order.sequence_);
    return offered < last || (offered == last && order.target_ != target_);
}

} // namespace almondridge::standins
