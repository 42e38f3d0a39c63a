/**
 * JSON field tables that records and snapshots share. Private to the library.
 */
#pragma once

#include "almondridge/control/records.h"
#include "jsonfields.h"

namespace almondridge::control {

template <>
struct JsonNames<fleet::EngineRole>
{
    static constexpr auto Table = fleet::EngineRoleNames;
};

template <>
struct JsonNames<OrderOutcome>
{
    static constexpr auto Table = OrderOutcomeNames;
};

template <>
struct JsonFields<EngineTarget>
{
    static constexpr auto Table = std::make_tuple(
        jsonField("model", &EngineTarget::model_), jsonField("version", &EngineTarget::version_),
        jsonField("adapters", &EngineTarget::adapters_), jsonField("role", &EngineTarget::role_),
        jsonField("admit", &EngineTarget::admit_));
};

template <>
struct JsonFields<ApplyRecord>
{
    static constexpr auto Table = std::make_tuple(jsonField("base", &ApplyRecord::base_),
                                                  jsonField("fleet", &ApplyRecord::fleetText_),
                                                  jsonField("operator", &ApplyRecord::operator_),
                                                  jsonField("apply_id", &ApplyRecord::applyId_));
};

template <>
struct JsonFields<LeaseClaimRecord>
{
    static constexpr auto Table =
        std::make_tuple(jsonField("domain", &LeaseClaimRecord::domain_),
                        jsonField("holder", &LeaseClaimRecord::holder_),
                        jsonField("previous", &LeaseClaimRecord::previous_),
                        jsonField("term_in_ms", &LeaseClaimRecord::termMillis_));
};

template <>
struct JsonFields<LeaseRenewRecord>
{
    static constexpr auto Table =
        std::make_tuple(jsonField("domain", &LeaseRenewRecord::domain_),
                        jsonField("holder", &LeaseRenewRecord::holder_),
                        jsonField("fence", &LeaseRenewRecord::fence_),
                        jsonField("release", &LeaseRenewRecord::release_));
};

template <>
struct JsonFields<IntentRecord>
{
    static constexpr auto Table = std::make_tuple(
        jsonField("domain", &IntentRecord::domain_), jsonField("fence", &IntentRecord::fence_),
        jsonField("sequence", &IntentRecord::sequence_),
        jsonField("engine", &IntentRecord::engine_), jsonField("target", &IntentRecord::target_));
};

template <>
struct JsonFields<OutcomeRecord>
{
    static constexpr auto Table = std::make_tuple(
        jsonField("domain", &OutcomeRecord::domain_), jsonField("fence", &OutcomeRecord::fence_),
        jsonField("intent", &OutcomeRecord::intent_), jsonField("engine", &OutcomeRecord::engine_),
        jsonField("outcome", &OutcomeRecord::outcome_));
};

template <>
struct JsonFields<KeyClaimRecord>
{
    static constexpr auto Table = std::make_tuple(
        jsonField("key", &KeyClaimRecord::key_), jsonField("request", &KeyClaimRecord::request_),
        jsonField("instance", &KeyClaimRecord::instance_),
        jsonField("wall_ms", &KeyClaimRecord::wallMillis_));
};

template <>
struct JsonFields<KeyOutcomeRecord>
{
    static constexpr auto Table = std::make_tuple(jsonField("key", &KeyOutcomeRecord::key_),
                                                  jsonField("request", &KeyOutcomeRecord::request_),
                                                  jsonField("status", &KeyOutcomeRecord::status_),
                                                  jsonField("body", &KeyOutcomeRecord::body_));
};

} // namespace almondridge::control
