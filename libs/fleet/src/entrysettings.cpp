#include "almondridge/fleet/entrysettings.h"

#include "fieldrules.h"

namespace almondridge::fleet {
namespace {

constexpr IntegerRange Millis {1, 3'600'000};
constexpr IntegerRange Seconds {1, 3'600};
constexpr IntegerRange Port {1, 65'535};
constexpr IntegerRange Count {1, 10'000'000};
constexpr NumberRange MemoryMb {1, 10'000'000};
constexpr NumberRange Ratio {0, 100};
constexpr IntegerRange Domains {0, 100};
constexpr NumberRange SecondsRange {0.1, 3'600};
constexpr NumberRange Slack {0, 1'000'000};
/** The platform chooses the names, so that one that is unknown here must not prevent a start. */
constexpr TextRule AnyText {[](std::string_view) { return true; }, "write text"};

constexpr auto EntryFields = std::make_tuple(
    required("instance", &EntrySettings::instance_, Text {NameText}),
    required("domain", &EntrySettings::domain_, Text {NameText}),
    required("ip", &EntrySettings::ip_, Text {NameText}),
    required("listen", &EntrySettings::listen_, Text {AddressText}),
    required("healthListen", &EntrySettings::healthListen_, Text {AddressText}),
    required("firstPeerPort", &EntrySettings::firstPeerPort_, Port),
    required("store", &EntrySettings::store_, Text {AddressText}),
    optional("firstStart", &EntrySettings::isFirstStart_, Boolean {}),
    optional("graceSeconds", &EntrySettings::graceSeconds_, Seconds),
    optional("leaseTermMillis", &EntrySettings::leaseTermMillis_, Millis),
    optional("leaveBoundMillis", &EntrySettings::leaveBoundMillis_, Millis),
    optional("configBoundMillis", &EntrySettings::configBoundMillis_, Millis),
    optional("strictRevocation", &EntrySettings::strictRevocation_, Boolean {}),
    optional("revokeBoundMillis", &EntrySettings::revokeBoundMillis_, Millis),
    optional("fencesAreChecked", &EntrySettings::fencesAreChecked_, Boolean {}),
    optional("operationsApi", &EntrySettings::operationsApi_, Text {AddressText}),
    optional("usageWindowSeconds", &EntrySettings::usageWindowSeconds_, SecondsRange),
    optional("usageDueSeconds", &EntrySettings::usageDueSeconds_, SecondsRange),
    optional("ordersEndpoints", &EntrySettings::ordersEndpoints_, Boolean {}),
    optional("sizesFollowDemand", &EntrySettings::sizesFollowDemand_, Boolean {}),
    optional("spotLossesBorne", &EntrySettings::spotLossesBorne_, Domains),
    optional("secondSendRatio", &EntrySettings::secondSendRatio_, Ratio),
    optional("secondSendSlack", &EntrySettings::secondSendSlack_, Slack),
    optional("secondSendWindowSeconds", &EntrySettings::secondSendWindowSeconds_, Seconds),
    optional("linkMbps", &EntrySettings::linkMbps_, Slack),
    optional("maxDescriptors", &EntrySettings::maxDescriptors_, Count),
    optional("memoryMb", &EntrySettings::memoryMb_, MemoryMb),
    optional("requestKeySecret", &EntrySettings::requestKeySecret_, Text {OperatorKeyText}),
    optional("sharesCapacity", &EntrySettings::sharesCapacity_, Boolean {}),
    optional("obligations", &EntrySettings::obligations_, listOf(Text {AnyText})),
    optional("logLevel", &EntrySettings::logLevel_, choice(LogLevelNames)));

} // namespace

Result<EntrySettings> parseEntrySettings(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    std::vector<FieldError> errors;
    EntrySettings settings;
    const FieldContext root(errors);
    object(EntryFields).read(root, json, settings);
    BOOST_LEAF_CHECK(failOnErrors(std::move(errors), "settings file"));
    return settings;
}

} // namespace almondridge::fleet
