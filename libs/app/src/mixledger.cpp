#include "mixledger.h"

namespace almondridge::app {
namespace {

/** Increase of a running total; a lower total means that the counter restarted from zero. */
double growth(double before, double after)
{
    return after >= before ? after - before : after;
}

} // namespace

void MixLedger::addLocal(const std::vector<relay::ModelDemand> &samples)
{
    const std::lock_guard lock(mutex_);
    for (const relay::ModelDemand &sample : samples) {
        for (Totals *totals : {&local_[sample.model_], &pending_[sample.model_]}) {
            totals->prefillTokens_ += sample.prefillTokens_;
            totals->decodeTokens_ += sample.decodeTokens_;
        }
    }
}

nlohmann::json MixLedger::localTotals() const
{
    const std::lock_guard lock(mutex_);
    nlohmann::json totals = nlohmann::json::object();
    for (const auto &[model, total] : local_) {
        totals[model.value()] = {total.prefillTokens_, total.decodeTokens_};
    }
    return totals;
}

void MixLedger::onRemoteTotals(const InstanceId &instance, const nlohmann::json &totals)
{
    const std::lock_guard lock(mutex_);
    const bool known = remote_.contains(instance);
    for (const auto &[name, pair] : totals.items()) {
        if (!pair.is_array() || pair.size() != 2 || !pair[0].is_number() || !pair[1].is_number()) {
            continue;
        }
        const ModelId model(name);
        const Totals now {pair[0].get<double>(), pair[1].get<double>()};
        Totals &before = remote_[instance][model];
        if (known) {
            pending_[model].prefillTokens_ += growth(before.prefillTokens_, now.prefillTokens_);
            pending_[model].decodeTokens_ += growth(before.decodeTokens_, now.decodeTokens_);
        }
        before = now;
    }
}

std::vector<planner::Demand> MixLedger::takeDemand()
{
    const std::lock_guard lock(mutex_);
    std::vector<planner::Demand> demand;
    for (const auto &[model, total] : pending_) {
        demand.push_back({model, total.prefillTokens_, total.decodeTokens_});
    }
    for (auto &[model, total] : pending_) {
        total = {};
    }
    return demand;
}

} // namespace almondridge::app
