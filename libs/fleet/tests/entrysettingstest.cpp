#include "almondridge/fleet/entrysettings.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::fleet;

namespace {

const std::string RequiredFields = R"("instance":"i-1","domain":"a","ip":"10.0.0.1",
    "listen":"10.0.0.1:80","healthListen":"10.0.0.1:81","firstPeerPort":7000,
    "store":"10.0.0.2:90")";

/** The fields in which a settings text has errors. */
std::vector<std::string> invalidFields(const std::string &text)
{
    const auto captured = capture([&] { return parseEntrySettings(text); });
    std::vector<std::string> fields;
    if (const Error *error = std::get_if<Error>(&captured)) {
        for (const FieldError &field : error->fields_) {
            fields.push_back(field.field_);
        }
    }
    return fields;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EntrySettingsFile)

BOOST_AUTO_TEST_CASE(missingFieldsHaveDefaults)
{
    const EntrySettings settings = parseEntrySettings("{" + RequiredFields + "}").value();
    BOOST_TEST(settings.instance_.value() == "i-1");
    BOOST_TEST(settings.firstPeerPort_ == 7'000);
    BOOST_TEST(settings.leaseTermMillis_ == 3'000);
    BOOST_TEST(settings.leaveBoundMillis_ == 2'000);
    BOOST_TEST(!settings.sharesCapacity_);
    BOOST_TEST(!settings.sizesFollowDemand_);
    BOOST_TEST(settings.obligations_.empty());
}

// Guards against an instance that doesn't start because the platform names an obligation that this
// version doesn't know.
BOOST_AUTO_TEST_CASE(obligationsAreAnyText)
{
    const std::string list =
        R"(,"sharesCapacity":true,"sizesFollowDemand":true,"obligations":["pressure","a b: c",""])";
    const EntrySettings settings = parseEntrySettings("{" + RequiredFields + list + "}").value();
    BOOST_TEST(settings.sharesCapacity_);
    BOOST_TEST(settings.sizesFollowDemand_);
    BOOST_TEST((settings.obligations_ == std::vector<std::string> {"pressure", "a b: c", ""}));
    BOOST_TEST(invalidFields("{" + RequiredFields + R"(,"obligations":"pressure"})").size() == 1U);
    BOOST_TEST(invalidFields("{" + RequiredFields + R"(,"obligations":[1]})").size() == 1U);
    BOOST_TEST(invalidFields("{" + RequiredFields + R"(,"sharesCapacity":1})").size() == 1U);
}

BOOST_AUTO_TEST_CASE(allInvalidFieldsAreReported)
{
    const std::vector<std::string> fields =
        invalidFields("{" + RequiredFields
                      + R"(,"leaseTermMillis":0,"leaveBoundMillis":-1,"secondSendRatio":"much",
               "colour":"red"})");
    BOOST_TEST(fields.size() == 4U);
    BOOST_TEST(invalidFields("{}").size() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
