/**
 * How many endpoints of each kind a service has in each failure domain. Pure: limits, the listed
 * endpoints and the time go in, orders come out.
 *
 * Spot endpoints cost a part of the others' price and may be taken away, all of a domain at once
 * and with seconds of notice. What is left then takes seconds to be made good, with caches that are
 * empty. So a service has more endpoints than it was found with, some of them lasting, such that
 * as many as it was found with are left after the loss of all spot ones of some domains; if that
 * costs less than lasting ones alone. All follows what is listed, not what was asked: an order
 * without an answer may still come true.
 */
#pragma once

#include "almondridge/gateway/config.h"
#include "almondridge/gateway/endpoints.h"

#include <map>
#include <set>
#include <vector>

namespace almondridge::gateway {

struct SizePlanSettings
{
    /** Failure domains whose spot endpoints may all be gone at once without others being missing.
     */
    int lossesBorne_ = 2;
    /** Below this share of what the service was found with, lasting endpoints stand in. */
    double floorShare_ = 0.6;
};

/** Of what kinds a service's endpoints are to be. */
struct SizeMix
{
    double size_ = 1;    ///< Endpoints, for each that the service was found with.
    double lasting_ = 1; ///< The share of these that are not spot ones.
};

/** The cheapest mix that bears the losses; all lasting where spot endpoints would not save. */
SizeMix cheapestMix(const SizeLimits &limits, const std::map<DomainId, int> &found,
                    int lossesBorne);

/** The number of endpoints of a kind that a domain shall have. */
struct SizeOrder
{
    DomainId domain_;
    bool spot_ = false;
    int count_ = 0;

    friend bool operator==(const SizeOrder &, const SizeOrder &) = default;
};

class SizePlan
{
public:
    explicit SizePlan(SizePlanSettings settings);

    /** Looks at what is listed; to be called some times a second, also without the right to order.
     */
    void watch(const EndpointTable &table, const ServiceTraits &service, TimePoint now);
    /** Whether lasting endpoints of the domain are given back, or will be in a moment. */
    bool givesBack(const DomainId &domain) const;
    /** Orders to give now; each is on its way until onAnswer(). */
    std::vector<SizeOrder> plan(const EndpointTable &table, const ServiceTraits &service,
                                TimePoint now);
    /** taken: the order was accepted; else none are to be had there, or there was no answer. */
    void onAnswer(const SizeOrder &order, bool taken, TimePoint now);
    /** Another instance may have ordered since: begins from what is listed. */
    void forgetOrders() { orders_.clear(); }

private:
    struct Counts
    {
        int lasting_ = 0; ///< Ready ones.
        int spot_ = 0;
    };
    struct Key
    {
        DomainId domain_;
        bool spot_ = false;

        friend auto operator<=>(const Key &, const Key &) = default;
    };
    struct Given
    {
        int count_ = 0;
        bool pending_ = false; ///< Its answer is awaited.
        bool taken_ = false;
        TimePoint againAt_ {}; ///< Not to be given again before.
        int refusals_ = 0;     ///< In a row.
    };

    static std::map<DomainId, Counts> count(const EndpointTable &table, const ServiceId &service);
    int totalOf(int found, const SizeLimits &limits) const;
    int lastingOf(int total, const SizeLimits &limits) const;
    int missingToFloor(const SizeLimits &limits) const;
    void orderIfNew(const SizeOrder &order, int present, const SizeLimits &limits, TimePoint now,
                    std::vector<SizeOrder> &orders);

    SizePlanSettings settings_;
    SizeMix mix_;
    std::map<DomainId, int> found_; ///< Endpoints that each domain was found with.
    std::map<DomainId, Counts> counts_;
    std::set<DomainId> givingBack_;
    bool settled_ = false; ///< The list was whole once.
    std::map<Key, Given> orders_;
    int lastCount_ = 0;
    TimePoint countedAt_ {};                   ///< Since when there are so many endpoints.
    std::map<DomainId, TimePoint> spotsSince_; ///< Since when a domain has all its spot endpoints.
};

} // namespace almondridge::gateway
