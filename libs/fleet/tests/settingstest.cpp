#include "examples.h"

#include "almondridge/fleet/settings.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::fleet;

BOOST_AUTO_TEST_SUITE(SettingsFile)

BOOST_AUTO_TEST_CASE(exampleIsParsedAndMissingFieldsHaveDefaults)
{
    const Settings settings = parseSettings(readExample("settings.json")).value();
    BOOST_TEST(settings.instance_ == InstanceId("pasila-entry-1"));
    BOOST_TEST(settings.leaseTermMillis_ == 6'000);
    BOOST_TEST(settings.heartbeatMillis_ == Settings().heartbeatMillis_);
}

BOOST_AUTO_TEST_CASE(allInvalidSettingsAreReportedWithoutSecrets)
{
    std::string text = replaced(readExample("settings.json"), "change-me-change-me", "short-key");
    text = replaced(text, "\"logLevel\": \"info\"", "\"logLevel\": \"loud\", \"shards\": 3");
    text = replaced(text, "127.0.0.1:20901", "log.example:1");
    text = replaced(text, "\"leaseMarginMillis\": 1000", "\"leaseMarginMillis\": 6000");
    const Error error = errorOf([&] { return parseSettings(text); });
    for (const char *field : {"peerKey", "logLevel", "shards", "logService", "leaseMarginMillis"}) {
        BOOST_TEST(names(error, field));
    }
    BOOST_TEST(error.fields_.size() == 5U);
    BOOST_TEST(describe(error).find("short-key") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
