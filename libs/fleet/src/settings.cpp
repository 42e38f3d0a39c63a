#include "almondridge/fleet/settings.h"

#include "fieldrules.h"

namespace almondridge::fleet {
namespace {

constexpr std::int64_t HourMillis = 3'600'000;
constexpr std::int64_t MaxCount = 10'000'000;
constexpr std::int64_t MaxStreams = 100'000;
constexpr std::int64_t MaxBody = std::int64_t {1} << 30;
constexpr std::int64_t MaxBodyMemory = std::int64_t {1} << 40;
constexpr IntegerRange MillisRange {1, HourMillis};
constexpr IntegerRange Count {1, MaxCount};

constexpr auto SettingsFields = std::make_tuple(
    required("instance", &Settings::instance_, Text {NameText}),
    required("domain", &Settings::domain_, Text {NameText}),
    required("listen", &Settings::listen_, Text {AddressText}),
    required("peerListen", &Settings::peerListen_, Text {AddressText}),
    required("peerKey", &Settings::peerKey_, Text {PeerKeyText}),
    optional("operatorKey", &Settings::operatorKey_, Text {OperatorKeyText}),
    required("logService", &Settings::logService_, Text {AddressText}),
    required("instanceList", &Settings::instanceList_, Text {AddressText}),
    required("weightStore", &Settings::weightStore_, Text {AddressText}),
    optional("maxStreams", &Settings::maxStreams_, IntegerRange {1, MaxStreams}),
    optional("maxBodyBytes", &Settings::maxBodyBytes_, IntegerRange {1, MaxBody}),
    optional("bodyMemoryBytes", &Settings::bodyMemoryBytes_, IntegerRange {1, MaxBodyMemory}),
    optional("callerTimeoutMillis", &Settings::callerTimeoutMillis_, MillisRange),
    optional("requestDeadlineMillis", &Settings::requestDeadlineMillis_, MillisRange),
    optional("interTokenTimeoutMillis", &Settings::interTokenTimeoutMillis_, MillisRange),
    optional("connectTimeoutMillis", &Settings::connectTimeoutMillis_, MillisRange),
    optional("leaseTermMillis", &Settings::leaseTermMillis_, MillisRange),
    optional("leaseMarginMillis", &Settings::leaseMarginMillis_, MillisRange),
    optional("reportIntervalMillis", &Settings::reportIntervalMillis_, MillisRange),
    optional("reportStaleMillis", &Settings::reportStaleMillis_, MillisRange),
    optional("heartbeatMillis", &Settings::heartbeatMillis_, MillisRange),
    optional("appendsPerSecond", &Settings::appendsPerSecond_, Count),
    optional("snapshotRecords", &Settings::snapshotRecords_, Count),
    optional("shutdownGraceMillis", &Settings::shutdownGraceMillis_, MillisRange),
    optional("timelineEvents", &Settings::timelineEvents_, Count),
    optional("logLevel", &Settings::logLevel_, choice(LogLevelNames)));

/** Checks constraints between fields. */
void checkSettings(const FieldContext &root, const Settings &settings)
{
    if (!settings.listen_.empty() && settings.listen_ == settings.peerListen_) {
        root.member("peerListen")
            .addErrorText(settings.peerListen_, "write an address other than that of listen");
    }
    if (settings.leaseMarginMillis_ >= settings.leaseTermMillis_) {
        root.member("leaseMarginMillis")
            .addErrorText(std::to_string(settings.leaseMarginMillis_),
                          "write less than leaseTermMillis");
    }
    if (settings.reportIntervalMillis_ >= settings.reportStaleMillis_) {
        root.member("reportStaleMillis")
            .addErrorText(std::to_string(settings.reportStaleMillis_),
                          "write more than reportIntervalMillis");
    }
}

} // namespace

Result<Settings> parseSettings(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    std::vector<FieldError> errors;
    Settings settings;
    const FieldContext root(errors);
    object(SettingsFields).read(root, json, settings);
    checkSettings(root, settings);
    BOOST_LEAF_CHECK(failOnErrors(std::move(errors), "settings file"));
    return settings;
}

} // namespace almondridge::fleet
