/**
 * Admission of requests while a service is asked for more work than its engines can do: client
 * accounts get weighted max-min shares of the room, by rank. No I/O and no clock.
 *
 * Each instance counts what its own callers ask and takes what its peers report; all instances
 * compute the same shares from that, without a leader. An instance admits its part of an account's
 * share: the part of the account's demand that came to it.
 */
#pragma once

#include "almondridge/base/time.h"
#include "almondridge/gateway/accountdemand.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace almondridge::gateway {

/** A request, as admission sees it. */
struct ShareRequest
{
    ServiceId service_;
    AccountId account_;
    std::uint64_t session_ = 0; ///< The last shared part of its prompt.
    int rank_ = 0;              ///< 0 is the most urgent.
    double workMillis_ = 0;     ///< Prefill time of the tokens that are not cached.
};

/** Why a request was refused, for the log. Rates are milliseconds of work per second. */
struct ShareRefusal
{
    std::int64_t retryAfterMillis_ = 0;
    double asked_ = 0;                    ///< By the account, in the whole fleet.
    double share_ = 0;                    ///< Of the account, in the whole fleet.
    double room_ = 0;                     ///< Of the service.
    std::int64_t oldestReportMillis_ = 0; ///< Age of the oldest report that was used.
};

class ShareAdmission
{
public:
    /** Work that the usable engines of a service can do, in milliseconds per second. */
    void setRoom(const ServiceId &service, double room);
    /** Number of instances that share the endpoints, this one included. */
    void setInstances(int count);
    /** Replaces what the sender reported before; older and doubled reports are ignored. */
    void onReport(const ShareReport &report, TimePoint now);
    /**
     * Counts the request as asked for, and as admitted unless it returns a refusal. random: 64
     * uniform bits. They spread the times after which refused requests return, and the initial
     * levels of buckets, so that instances with few requests each don't all admit their first one.
     */
    std::optional<ShareRefusal> admit(const ShareRequest &request, std::uint64_t random,
                                      TimePoint now);
    /** The demand of this instance's callers; the sender, lifetime and sequence are not set. */
    ShareReport report(TimePoint now) const;
    /** Whether the fleet asks for more than the service's room. */
    bool isShort(const ServiceId &service, TimePoint now) const;

private:
    /** Work per second over the last second. */
    class WorkWindow
    {
    public:
        void add(double workMillis, TimePoint now);
        double perSecond(TimePoint now) const;

    private:
        /** One more than a second has: the oldest counts in part. */
        static constexpr std::size_t Slices = 21;

        std::array<double, Slices> work_ {};
        std::int64_t newest_ = 0; ///< Number of the newest slice since the clock's epoch.
    };

    /** Requests with the same last shared part, of one account. */
    struct Session
    {
        std::uint64_t id_ = 0;
        TimePoint seenAt_;
        std::optional<TimePoint> refusedSince_; ///< First refusal since it was last admitted.
        double admitted_ = 0;                   ///< Number of admitted requests; decays.
        TimePoint decayedAt_;
    };

    /** The largest request of the last few seconds. */
    struct LargestWork
    {
        void add(double work, TimePoint now);
        double value() const { return std::max(current_, previous_); }

        TimePoint rotateAt_;
        double current_ = 0;
        double previous_ = 0;
    };

    using AccountKey = std::pair<int, AccountId>;

    struct AccountKeyHash
    {
        std::size_t operator()(const AccountKey &key) const noexcept
        {
            return std::hash<AccountId> {}(key.second) * 31 + static_cast<std::size_t>(key.first);
        }
    };

    /** What only an instance that got requests of the account has. */
    struct OwnDemand
    {
        WorkWindow asked_;
        WorkWindow admitted_;
        TimePoint askedAt_;
        TimePoint filledAt_;
        double bucket_ = 0;      ///< Milliseconds of work; negative: debt.
        double fraction_ = 0;    ///< Of the account's demand that is its share.
        bool hasBucket_ = false; ///< False until the first request while the account is limited.
        LargestWork largest_;
        std::vector<Session> sessions_;
    };

    /** An account at one rank, or the sum of the accounts that are not counted by themselves. */
    struct Account
    {
        AccountKey key_;
        std::optional<OwnDemand> own_;
        int reports_ = 0;       ///< Reports that list it.
        double peersAsked_ = 0; ///< By these reports.
        /** Sums over these reports: their rest at this rank, and the bound of an account of it. */
        double restBeside_ = 0;
        double boundBeside_ = 0;
        double ownAsked_ = 0; ///< As of the last computation, like the following ones.
        double asked_ = 0;    ///< In the whole fleet.
        double share_ = 0;
        bool isLimited_ = false;
    };

    /** Sums over the reports of peers at one rank. */
    struct RankSums
    {
        double rest_ = 0;
        double bound_ = 0; ///< The most that one account can have of the rest.
    };

    struct ListedAccount
    {
        AccountKey key_;
        double asked_ = 0;
        double rest_ = 0;
        double bound_ = 0;
    };

    /** What a report adds to the sums of a service. */
    struct Contribution
    {
        std::vector<ListedAccount> accounts_;
        std::map<int, RankSums> ranks_;
        double asked_ = 0;
    };

    struct Peer
    {
        std::uint64_t lifetime_ = 0;
        std::uint64_t sequence_ = 0;
        TimePoint receivedAt_;
        /** Its place in the list of peers with a fresh report. */
        std::optional<std::list<InstanceId>::iterator> heard_;
        std::map<ServiceId, Contribution> demand_;
    };

    struct Service
    {
        std::optional<double> room_;
        std::unordered_map<AccountKey, Account, AccountKeyHash> accounts_;
        std::size_t ownAccounts_ = 0;
        std::map<int, RankSums> ranks_;
        std::optional<TimePoint> computedAt_;
        TimePoint sweepAt_;
        double usedRoom_ = 0;
        bool isShort_ = false;
    };

    static bool isFresh(const Peer &peer, TimePoint now);
    static Contribution contributionOf(const std::vector<AccountDemand> &demand);
    void add(const ServiceId &id, const Contribution &contribution);
    void remove(const ServiceId &id, const Contribution &contribution);
    void removeExpired(TimePoint now);
    bool hearsPeers(TimePoint now) const;
    double usableRoom(double room, TimePoint now) const;
    Account &ownAccount(Service &service, const ShareRequest &request, TimePoint now);
    void compute(Service &service, TimePoint now);
    static void sweep(Service &service, TimePoint now);
    static std::map<int, std::vector<Account *>> sumDemand(Service &service, TimePoint now);
    static double attributeRest(const std::vector<Account *> &accounts, const RankSums &sums);
    static void fill(OwnDemand &own, TimePoint now);
    static void startBucket(Account &account, double work, std::uint64_t random, TimePoint now);
    static double reserveFor(Account &account, std::uint64_t id, TimePoint now);
    static Session *seenSession(OwnDemand &own, std::uint64_t id, TimePoint now);
    ShareRefusal refusal(const Service &service, const Account &account, double missing,
                         std::uint64_t random, TimePoint now) const;

    int instances_ = 1;
    std::map<ServiceId, Service> services_;
    std::map<InstanceId, Peer> peers_;
    std::list<InstanceId> heard_; ///< Peers with a fresh report; the oldest report is first.
    TimePoint forgetAt_;          ///< When peers that were not heard for long are next removed.
};

} // namespace almondridge::gateway
