/**
 * How many prompt and output tokens were asked for, over all entry instances of a domain.
 *
 * Heartbeats carry running totals rather than differences: a lost heartbeat then loses nothing,
 * and a restarted instance is recognised by a total that went down.
 */
#pragma once

#include "almondridge/base/ids.h"
#include "almondridge/planner/planner.h"
#include "almondridge/relay/relay.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <vector>

namespace almondridge::app {

class MixLedger
{
public:
    /** Adds what was asked of this instance. */
    void addLocal(const std::vector<relay::ModelDemand> &samples);
    /** This instance's totals, for its heartbeats. */
    nlohmann::json localTotals() const;
    /** Takes over another instance's totals; malformed ones are ignored. */
    void onRemoteTotals(const InstanceId &instance, const nlohmann::json &totals);
    /** What was asked since the last call, here and elsewhere in the domain. */
    std::vector<planner::Demand> takeDemand();

private:
    struct Totals
    {
        double prefillTokens_ = 0;
        double decodeTokens_ = 0;
    };

    mutable std::mutex mutex_;
    std::map<ModelId, Totals> local_;
    std::map<InstanceId, std::map<ModelId, Totals>> remote_;
    std::map<ModelId, Totals> pending_;
};

} // namespace almondridge::app
