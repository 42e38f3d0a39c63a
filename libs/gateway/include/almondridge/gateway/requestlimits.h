/**
 * Limits that endpoints name in their answers: the requests a second that they take from all
 * instances together. No I/O and no clock: events and the current time are inputs.
 *
 * The requests that a limit allows in a window are divided among the instances: each gets the same
 * number, and what remains goes one each to the instances that rank first for the endpoint. So the
 * quotas add up to the limit in a fleet of any size, without any message. What an instance sent
 * before it knew the limit counts against its quota, and in the first window the quota grows from
 * nothing: the other instances may have sent more than this one.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/base/time.h"
#include "almondridge/gateway/sendwindow.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace almondridge::gateway {

/** Requests a second; a larger limit is invalid. */
inline constexpr double MaxRequestLimit = 1'000'000;

/** What an instance knows of an endpoint's limit, to be told to other instances. */
struct LimitReport
{
    EndpointId endpoint_;
    std::optional<double> perSecond_; ///< Requests a second; nullopt: the limit has ended.
    std::int64_t ageMillis_ = 0;      ///< Since the endpoint's answer.
};

class RequestLimits
{
public:
    /** Upper bound of the number of instances; their ids may not all be known. */
    void setInstances(int count) { instances_ = count; }
    /** Sets the ids of the known instances, this one included. */
    void setMembers(const InstanceId &self, const std::vector<InstanceId> &members);

    /**
     * Records an answer of an endpoint and the limit that it names, if any, in requests a second.
     * True if the limit begins, ends or changes considerably.
     */
    bool onAnswer(const EndpointId &id, std::optional<double> perSecond, TimePoint now);
    /** Requests a second; nullopt: the endpoint names no limit, or has named none for long. */
    std::optional<double> limitOf(const EndpointId &id, TimePoint now) const;
    /** Requests that this instance may send to the endpoint in a window; nullopt: no limit. */
    std::optional<int> quotaOf(const EndpointId &id, TimePoint now) const;
    /** When the limit allows the next request; now if it allows one at once. */
    TimePoint allowedAt(const EndpointId &id, const SendWindow &sent, TimePoint now) const;
    void forget(const EndpointId &id) { limits_.erase(id); }

    /** What other instances should be told now, at most that many endpoints. */
    std::vector<LimitReport> takeReports(std::size_t max, TimePoint now);
    /** Knowledge of another instance; it is ignored unless it is newer. True as for onAnswer(). */
    bool onReport(const LimitReport &report, TimePoint now);

private:
    struct Limit
    {
        std::optional<double> perSecond_; ///< nullopt: the limit has ended.
        TimePoint beganAt_ {};
        TimePoint answeredAt_ {}; ///< Time of the answer that this is known from.
        TimePoint reportedAt_ {}; ///< When this was last reported, by this instance or to it.
        int reportsLeft_ = 0;
        /** Instances that rank before this one; nullopt: this one isn't a known member. */
        std::optional<int> rank_;
    };

    /** Applies an answer, of which this instance or another one knows. */
    bool apply(const EndpointId &id, std::optional<double> perSecond, TimePoint answeredAt,
               TimePoint now);
    const Limit *find(const EndpointId &id, TimePoint now) const;
    std::optional<int> rankFor(const EndpointId &id) const;
    int quotaOf(const Limit &limit) const;
    static int grownQuota(const Limit &limit, int quota, TimePoint now);
    static Duration pauseOf(const Limit &limit);

    std::map<EndpointId, Limit> limits_;
    int instances_ = 1;
    std::uint64_t selfHash_ = 0;
    std::vector<std::uint64_t> memberHashes_; ///< Of all members, or empty if none are known.
};

} // namespace almondridge::gateway
