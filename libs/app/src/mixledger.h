/**
 * Prompt and output tokens requested per model, over all entry instances of a failure domain.
 *
 * Heartbeats carry running totals rather than differences, so that a lost heartbeat loses no
 * demand. A total that decreased means that the instance restarted.
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
    /** Adds demand received by this instance. */
    void addLocal(const std::vector<relay::ModelDemand> &samples);
    /** Running totals of this instance, as sent in its heartbeats. */
    nlohmann::json localTotals() const;
    /** Records the totals in another instance's heartbeat; malformed entries are ignored. */
    void onRemoteTotals(const InstanceId &instance, const nlohmann::json &totals);
    /** Returns and resets the demand of the whole domain since the previous call. */
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
