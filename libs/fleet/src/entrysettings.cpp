#include "almondridge/fleet/entrysettings.h"

#include "fieldrules.h"

namespace almondridge::fleet {
namespace {

constexpr Whole Millis {1, 3'600'000};
constexpr Whole Seconds {1, 3'600};
constexpr Whole Port {1, 65'535};
constexpr Whole Count {1, 10'000'000};
constexpr Real Ratio {0, 100};
constexpr Whole Domains {0, 100};
constexpr Real Span {0.1, 3'600};
constexpr Real Slack {0, 1'000'000};

constexpr auto EntryFields = std::make_tuple(
    required("instance", &EntrySettings::instance_, Text {NameText}),
    required("domain", &EntrySettings::domain_, Text {NameText}),
    required("ip", &EntrySettings::ip_, Text {NameText}),
    required("listen", &EntrySettings::listen_, Text {AddressText}),
    required("healthListen", &EntrySettings::healthListen_, Text {AddressText}),
    required("firstPeerPort", &EntrySettings::firstPeerPort_, Port),
    required("store", &EntrySettings::store_, Text {AddressText}),
    optional("firstStart", &EntrySettings::isFirstStart_, Flag {}),
    optional("graceSeconds", &EntrySettings::graceSeconds_, Seconds),
    optional("leaseTermMillis", &EntrySettings::leaseTermMillis_, Millis),
    optional("leaveBoundMillis", &EntrySettings::leaveBoundMillis_, Millis),
    optional("configBoundMillis", &EntrySettings::configBoundMillis_, Millis),
    optional("strictRevocation", &EntrySettings::strictRevocation_, Flag {}),
    optional("revokeBoundMillis", &EntrySettings::revokeBoundMillis_, Millis),
    optional("fencesAreChecked", &EntrySettings::fencesAreChecked_, Flag {}),
    optional("operationsApi", &EntrySettings::operationsApi_, Text {AddressText}),
    optional("usageWindowSeconds", &EntrySettings::usageWindowSeconds_, Span),
    optional("usageDueSeconds", &EntrySettings::usageDueSeconds_, Span),
    optional("ordersEndpoints", &EntrySettings::ordersEndpoints_, Flag {}),
    optional("spotLossesBorne", &EntrySettings::spotLossesBorne_, Domains),
    optional("secondSendRatio", &EntrySettings::secondSendRatio_, Ratio),
    optional("secondSendSlack", &EntrySettings::secondSendSlack_, Slack),
    optional("secondSendWindowSeconds", &EntrySettings::secondSendWindowSeconds_, Seconds),
    optional("linkMbps", &EntrySettings::linkMbps_, Slack),
    optional("maxDescriptors", &EntrySettings::maxDescriptors_, Count),
    optional("requestKeySecret", &EntrySettings::requestKeySecret_, Text {OperatorKeyText}),
    optional("logLevel", &EntrySettings::logLevel_, choice(LogLevelNames)));

} // namespace

Result<EntrySettings> parseEntrySettings(std::string_view text)
{
    BOOST_LEAF_AUTO(json, parseJson(text));
    std::vector<FieldError> errors;
    EntrySettings settings;
    const FieldReader root(errors);
    object(EntryFields).read(root, json, settings);
    BOOST_LEAF_CHECK(failOnErrors(std::move(errors), "settings file"));
    return settings;
}

} // namespace almondridge::fleet
