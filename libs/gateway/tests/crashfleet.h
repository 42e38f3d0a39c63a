/**
 * Instances that exchange crash evidence in virtual time.
 */
#pragma once

#include "almondridge/gateway/crashgossip.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

namespace almondridge::gateway::testing {

inline const TimePoint Start = TimePoint {} + millis(1'000'000);

inline RequestKey request(std::uint64_t number)
{
    return static_cast<RequestKey>(number);
}

inline EndpointCrash crashOf(std::uint64_t number, TimePoint at, int groupSize = 12)
{
    return {static_cast<CrashKey>(number), static_cast<CrashGroup>(1), groupSize, at};
}

/** By then, all reachable instances must quarantine a request after its third crash. */
inline constexpr Duration ConvergenceBound = millis(3'000);

/** Instances that exchange datagrams, some of which are lost, delayed or duplicated. */
class Fleet
{
public:
    Fleet(int size, std::uint64_t seed)
        : random_(seed)
    {
        for (int index = 0; index < size; ++index) {
            ids_.emplace_back("i" + std::to_string(index));
        }
        for (int index = 0; index < size; ++index) {
            restart(index);
        }
    }

    void restart(int index)
    {
        const InstanceId &id = ids_.at(static_cast<std::size_t>(index));
        auto evidence = std::make_unique<CrashEvidence>();
        auto gossip = std::make_unique<CrashGossip>(*evidence, id, random_());
        gossip->setPeers(ids_);
        members_[id] = {std::move(evidence), std::move(gossip)};
    }

    CrashEvidence &at(int index)
    {
        return *members_.at(ids_.at(static_cast<std::size_t>(index))).evidence_;
    }

    void runUntil(TimePoint until)
    {
        constexpr Duration Tick = millis(50);
        for (; now_ < until; now_ += Tick) {
            deliver();
            for (const InstanceId &id : ids_) {
                if (!dead_.contains(id)) {
                    send(id, members_.at(id).gossip_->tick(now_));
                }
            }
        }
    }

    bool allQuarantine(RequestKey key) const { return allQuarantine(RequestKeys {key, {}}); }

    bool allQuarantine(const RequestKeys &keys) const
    {
        return std::all_of(ids_.begin(), ids_.end(), [&](const InstanceId &id) {
            return dead_.contains(id)
                   || members_.at(id).evidence_->assess(keys, now_).level_
                          == Suspicion::Quarantined;
        });
    }

    bool noneRefuses(RequestKey key) const { return noneRefuses(RequestKeys {key, {}}); }

    bool noneRefuses(const RequestKeys &keys) const
    {
        return std::all_of(ids_.begin(), ids_.end(), [&](const InstanceId &id) {
            const Suspicion level = members_.at(id).evidence_->assess(keys, now_).level_;
            return level != Suspicion::Quarantined && level != Suspicion::HalfOpen;
        });
    }

    void partition(const std::set<int> &instances)
    {
        partitioned_.clear();
        for (const int index : instances) {
            partitioned_.insert(ids_.at(static_cast<std::size_t>(index)));
        }
    }
    void kill(int index) { dead_.insert(ids_.at(static_cast<std::size_t>(index))); }

    TimePoint now_ = Start;
    double lossRate_ = 0;
    double duplicateRate_ = 0;
    std::int64_t maxDelayMillis_ = 20;
    std::size_t maxDatagramBytes_ = 0;
    std::size_t bytes_ = 0;

private:
    struct Member
    {
        std::unique_ptr<CrashEvidence> evidence_;
        std::unique_ptr<CrashGossip> gossip_;
    };

    bool happens(double share) { return std::uniform_real_distribution<>(0, 1)(random_) < share; }

    void send(const InstanceId &from, const std::vector<MeshDatagram> &datagrams)
    {
        for (const MeshDatagram &datagram : datagrams) {
            maxDatagramBytes_ = std::max(maxDatagramBytes_, datagram.bytes_.size());
            bytes_ += datagram.bytes_.size();
            if (partitioned_.contains(from) != partitioned_.contains(datagram.to_)
                || happens(lossRate_)) {
                continue;
            }
            const int copies = happens(duplicateRate_) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                std::uniform_int_distribution<std::int64_t> delay(1, maxDelayMillis_);
                inTransit_.emplace(now_ + millis(delay(random_)), datagram);
            }
        }
    }

    void deliver()
    {
        while (!inTransit_.empty() && inTransit_.begin()->first <= now_) {
            const MeshDatagram datagram = inTransit_.begin()->second;
            inTransit_.erase(inTransit_.begin());
            if (!dead_.contains(datagram.to_)) {
                std::vector<MeshDatagram> answers;
                const ReceiveResult taken =
                    members_.at(datagram.to_).gossip_->onDatagram(datagram.bytes_, now_, answers);
                BOOST_TEST((taken == ReceiveResult::Accepted));
                send(datagram.to_, answers);
            }
        }
    }

    std::mt19937_64 random_;
    std::vector<InstanceId> ids_;
    std::map<InstanceId, Member> members_;
    std::multimap<TimePoint, MeshDatagram> inTransit_;
    std::set<InstanceId> partitioned_;
    std::set<InstanceId> dead_;
};

} // namespace almondridge::gateway::testing
