#include "enginejson.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace almondridge::control {
namespace {

using nlohmann::json;

json toJson(const EngineTarget &target)
{
    return {{"model", target.model_.value()},
            {"version", target.version_},
            {"adapters", target.adapters_},
            {"role", nameOf(fleet::EngineRoleNames, target.role_)},
            {"admit", target.admit_}};
}

/** Throws json::exception when a field is missing or has another type. */
EngineTarget targetFromJson(const json &body)
{
    EngineTarget target;
    target.model_ = ModelId(body.at("model").get<std::string>());
    target.version_ = body.at("version").get<std::string>();
    target.adapters_ = body.at("adapters").get<std::vector<std::string>>();
    std::sort(target.adapters_.begin(), target.adapters_.end());
    const auto role = valueOf(fleet::EngineRoleNames, body.at("role").get<std::string>());
    // An engine without a model has no role yet; its target differs in the model anyway.
    target.role_ = role.value_or(fleet::EngineRole::Mixed);
    target.admit_ = body.at("admit").get<bool>();
    return target;
}

EngineState stateFromJson(const json &body)
{
    EngineState state;
    state.target_ = targetFromJson(body.at("target"));
    const auto phase = valueOf(EnginePhaseNames, body.at("phase").get<std::string>());
    state.phase_ = phase.value_or(EnginePhase::Unclear);
    state.running_ = body.at("running").get<int>();
    state.fence_ = body.at("fence").get<Fence>();
    state.sequence_ = body.at("sequence").get<std::uint64_t>();
    return state;
}

} // namespace

Result<EngineState> decodeEngineState(std::string_view body)
{
    try {
        return stateFromJson(json::parse(body));
    } catch (const json::exception &error) {
        return fail(ErrorKind::Protocol, std::string("not an engine's state: ") + error.what(),
                    "check that the engine speaks the protocol of docs/PROTOCOLS.md");
    }
}

std::string encodeOrder(const EngineOrder &order)
{
    const json body = {{"fence", order.fence_},
                       {"sequence", order.sequence_},
                       {"holder", order.holder_.value()},
                       {"target", toJson(order.target_)}};
    return body.dump();
}

std::string errorCode(std::string_view body)
{
    try {
        return json::parse(body).at("error").at("code").get<std::string>();
    } catch (const json::exception &) {
        return {};
    }
}

} // namespace almondridge::control
