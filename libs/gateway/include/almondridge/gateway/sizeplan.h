/**
 * Plans how many on-demand and spot endpoints a service has in each failure domain. Pure: its
 * inputs are the limits, the listed endpoints and the time; its output is a list of orders.
 *
 * Spot endpoints cost a fraction of the price of on-demand ones, but all spot endpoints of a
 * failure domain may be reclaimed at once with a few seconds of notice. Replacing them takes
 * seconds, and the replacements start with empty caches. A service is therefore given more
 * endpoints than its baseline (the number it started with), some of them on-demand, so that the
 * baseline remains after the loss of all spot endpoints of some failure domains. This is done only
 * if it costs less than on-demand endpoints alone. The plan relies on the listed endpoints and not
 * on the orders given, since an order without an answer may still be carried out.
 */
#pragma once

#include "almondridge/gateway/config.h"
#include "almondridge/gateway/endpoints.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace almondridge::gateway {

struct SizePlanSettings
{
    /**
     * Failure domains that may lose all their spot endpoints at once while the baseline is still
     * met.
     */
    int toleratedLosses_ = 2;
    /**
     * If fewer endpoints than this share of the baseline are left, on-demand endpoints are added.
     */
    double floorShare_ = 0.6;
    /** Whether baselines follow the demand; false: they stay as found at the start. */
    bool followsDemand_ = false;
};

/** The mix of on-demand and spot endpoints of a service. */
struct SizeMix
{
    double size_ = 1;     ///< Number of endpoints as a multiple of the baseline.
    double onDemand_ = 1; ///< Share of these that is on-demand; the rest is spot.
};

/**
 * Returns the cheapest mix that tolerates the losses, or all on-demand if spot endpoints would not
 * save enough. baseline: endpoints per failure domain.
 */
SizeMix cheapestMix(const SizeLimits &limits, const std::map<DomainId, int> &baseline,
                    int toleratedLosses);

/** Listed endpoints of a failure domain. */
struct SizeCounts
{
    int onDemand_ = 0;
    int spot_ = 0;
};

/**
 * Returns the mix that a list with spot endpoints shows, which is the result of an earlier plan;
 * nullopt: no failure domain has more spot than on-demand endpoints, so no plan was completed.
 */
std::optional<SizeMix> listedMix(const std::map<DomainId, SizeCounts> &counts, int toleratedLosses);

/** The number of endpoints of one kind that a failure domain should have. */
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

    /**
     * Updates counts and baselines from the listed endpoints. Call it several times a second, also
     * while this instance is not entitled to give orders.
     */
    void observe(const EndpointTable &table, const ServiceTraits &service, TimePoint now);
    /**
     * Sets how many endpoints the demand requires, without the allowance for spot losses. They are
     * spread over the failure domains in proportion to the baselines found at the start. Ignored
     * unless the settings say followsDemand_.
     */
    void setNeed(int endpoints);
    /** Endpoints found at the start, over all failure domains; 0: the list is not complete yet. */
    int found() const;
    /** Number of failure domains in which endpoints were found at the start. */
    int domains() const;
    /** Whether on-demand endpoints of the failure domain are being released or will be soon. */
    bool isReleasing(const DomainId &domain) const;
    /** Returns the orders to give now; each is pending until onAnswer() is called for it. */
    std::vector<SizeOrder> plan(const EndpointTable &table, const ServiceTraits &service,
                                TimePoint now);
    /**
     * accepted: whether the order was accepted. If not, no such endpoints are available in the
     * failure domain, or there was no answer.
     */
    void onAnswer(const SizeOrder &order, bool accepted, TimePoint now);
    /**
     * Drops all order state and continues from the listed endpoints; another instance may have
     * given orders in the meantime.
     */
    void resetOrders() { orders_.clear(); }

private:
    struct Key
    {
        DomainId domain_;
        bool spot_ = false;

        friend auto operator<=>(const Key &, const Key &) = default;
    };
    struct OrderState
    {
        int count_ = 0;
        bool pending_ = false; ///< The order has not been answered yet.
        bool accepted_ = false;
        TimePoint retryAt_ {}; ///< Earliest time to give the order again.
        int refusals_ = 0;     ///< Consecutive refusals.
    };

    static std::map<DomainId, SizeCounts> count(const EndpointTable &table,
                                                const ServiceId &service);
    void updateBaselines();
    /** Returns the endpoints per failure domain that have to remain after tolerated losses. */
    std::map<DomainId, int> required(const SizeLimits &limits) const;
    int totalOf(int baseline, const SizeLimits &limits) const;
    int onDemandOf(int total, const SizeLimits &limits) const;
    int shortfallToFloor(const SizeLimits &limits) const;
    void addOrderIfDue(const SizeOrder &order, int present, const SizeLimits &limits, TimePoint now,
                       std::vector<SizeOrder> &orders);

    SizePlanSettings settings_;
    SizeMix mix_;
    std::optional<SizeMix> listedMix_; ///< Found at the start; only if sizes follow the demand.
    /** Endpoints per failure domain that the service started with. */
    std::map<DomainId, int> baseline_;
    std::optional<int> need_; ///< Endpoints that the demand requires; nullopt: not known.
    std::map<DomainId, SizeCounts> counts_;
    std::set<DomainId> releasing_;
    bool listComplete_ = false; ///< The list has been complete at least once since the start.
    std::map<Key, OrderState> orders_;
    int lastCount_ = 0;
    TimePoint countChangedAt_ {}; ///< When the number of listed endpoints last changed.
    /** Since when a failure domain has had all its spot endpoints. */
    std::map<DomainId, TimePoint> spotsCompleteSince_;
};

} // namespace almondridge::gateway
