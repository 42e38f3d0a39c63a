#include "engine/enginesettings.h"

namespace almondridge::standins {
namespace {

Result<std::string> text(const Json &json, const char *name, const std::string &fallback)
{
    std::string value = fallback;
    if (json.contains(name)) {
        BOOST_LEAF_CHECK(readValue(name, json[name], value));
    }
    return value;
}

Result<net::Address> address(const Json &json, const char *name)
{
    BOOST_LEAF_AUTO(value, text(json, name, ""));
    return net::parseAddress(value);
}

/** The target that an engine starts with, from the flat fields of its entry. */
Result<Target> initialTarget(const Json &entry)
{
    Json target = {{"adapters", entry.value("adapters", Json::array())}, {"admit", true}};
    BOOST_LEAF_ASSIGN(target["model"], text(entry, "model", ""));
    BOOST_LEAF_ASSIGN(target["version"], text(entry, "version", ""));
    BOOST_LEAF_ASSIGN(target["role"], text(entry, "role", "mixed"));
    return readTarget(target);
}

Result<EngineSettings> readEngine(const Json &entry, const EngineSettings &defaults)
{
    EngineSettings settings = defaults;
    BOOST_LEAF_CHECK(readFields(entry, EngineFields, settings,
                                {"id", "listen", "model", "version", "adapters", "role"}));
    BOOST_LEAF_ASSIGN(settings.id_, text(entry, "id", ""));
    BOOST_LEAF_ASSIGN(settings.listen_, address(entry, "listen"));
    BOOST_LEAF_ASSIGN(settings.initial_, initialTarget(entry));
    BOOST_LEAF_CHECK(checkSettings(settings));
    return settings;
}

} // namespace

Duration EngineSettings::scaled(std::int64_t millis) const
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(millis) / timeScale_));
}

BatchRates EngineSettings::batchRates(Role role) const
{
    const RoleProfile &profile = profileOf(role);
    BatchRates rates;
    rates.prefillTokensPerSecond_ = prefillTokensPerSecond_ * profile.prefillFactor_ * timeScale_;
    rates.decodeTokensPerSecond_ = decodeTokensPerSecond_ * profile.decodeFactor_ * timeScale_;
    rates.maxBatch_ = maxBatch_;
    rates.chunkTokens_ = profile.chunkTokens_;
    rates.kvCapacityTokens_ = kvCapacityTokens_;
    return rates;
}

Result<ProcessSettings> readProcessSettings(const Json &json)
{
    ProcessSettings settings;
    BOOST_LEAF_ASSIGN(settings.control_, address(json, "control"));
    if (json.contains("weights")) {
        BOOST_LEAF_ASSIGN(settings.weights_, address(json, "weights"));
    }
    if (json.contains("shards")) {
        BOOST_LEAF_CHECK(readValue("shards", json["shards"], settings.shards_));
    }
    EngineSettings defaults;
    if (json.contains("time_scale")) {
        BOOST_LEAF_CHECK(readValue("time_scale", json["time_scale"], defaults.timeScale_));
    }
    BOOST_LEAF_CHECK(readFields(json.value("defaults", Json::object()), EngineFields, defaults));
    for (const Json &entry : json.value("engines", Json::array())) {
        BOOST_LEAF_AUTO(engine, readEngine(entry, defaults));
        settings.engines_.push_back(std::move(engine));
    }
    if (settings.engines_.empty() || settings.shards_ < 1) {
        return wrongField("engines", json, "at least one engine and one shard");
    }
    return settings;
}

Result<void> checkSettings(const EngineSettings &settings)
{
    const bool rates = settings.prefillTokensPerSecond_ > 0 && settings.decodeTokensPerSecond_ > 0
                       && settings.kvTransferTokensPerSecond_ > 0 && settings.timeScale_ > 0;
    const bool sizes = settings.maxBatch_ > 0 && settings.workers_ > 0;
    if (!rates || !sizes) {
        return wrongField(settings.id_, showFields(EngineFields, settings),
                          "rates and sizes above zero");
    }
    return {};
}

} // namespace almondridge::standins
