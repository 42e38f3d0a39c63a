#include "examples.h"

#include "almondridge/fleet/fleetbuilder.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::fleet;

namespace {

const std::vector<std::string> FleetExamples {"kaarna.json", "lagon.json"};

Fleet kaarna()
{
    return parseFleet(readExample("kaarna.json")).value();
}

/** An edit that makes kaarna.json invalid, and the field that the error must name. */
struct InvalidEdit
{
    const char *before_;
    const char *after_;
    const char *field_;
};

const InvalidEdit InvalidEdits[] {
    {R"("name": "kaarna")", R"("name": "")", "name"},
    {R"("name": "kaarna",)", "", "name"},
    {R"("name": "kaarna")", R"("name": "kaarna", "colour": 1)", "colour"},
    {R"("espoo"],)", R"("espoo", "espoo"],)", "domains[3]"},
    {R"("domain": "pasila")", R"("domain": "turku")", "endpoints[0].domain"},
    {R"("id": "matching-02")", R"("id": "matching-01")", "endpoints[1].id"},
    {":21002", ":21001", "endpoints[1].address"},
    {"127.0.0.1:21002", "engine:21002", "endpoints[1].address"},
    {":21002", ":0", "endpoints[1].address"},
    {R"("fencing": "ignores", )", "", "endpoints[0].fencing"},
    {R"("fencing": "ignores")", R"("fencing": "maybe")", "endpoints[0].fencing"},
    {R"("kind": "engine")", R"("kind": "service")", "endpoints[0].fencing"},
    {R"("kind": "engine")", R"("kind": 7)", "endpoints[0].kind"},
    {R"("model": "interpreter-matching")", R"("model": "other")", "endpoints[0].model"},
    {R"("service": "booking-desk")", R"("service": "x")", "endpoints[20].service"},
    {R"("pathPrefix": "/booking")", R"("pathPrefix": "/v1/x")", "services[0].pathPrefix"},
    {R"("repeatability": "non-idempotent")", R"("repeatability": true)",
     "services[0].routes[0].repeatability"},
    {R"("method": "PUT", "pathPrefix": "/notes")",
     R"("method": "POST", "pathPrefix": "/confirmations")", "services[0].routes[2]"},
    {R"("weightBytes": 16000000000)", R"("weightBytes": 1.5)", "models[0].weightBytes"},
    {R"("weightBytes": 16000000000)", R"("weightBytes": 18446744073709551615)",
     "models[0].weightBytes"},
    {R"("share": 4.0)", R"("share": 0)", "accounts[0].share"},
    {R"("priority": 2)", R"("priority": "2")", "accounts[1].priority"},
    {R"("minPrefill": 1)", R"("minPrefill": 6)", "roleBounds[0].minPrefill"},
    {R"("minPrefill": 1, "maxPrefill": 5, "minDecode": 1)",
     R"("minPrefill": 5, "maxPrefill": 5, "minDecode": 5)", "roleBounds[0]"},
    {R"("retryBudget": 0.1)", R"("retryBudget": 1e3)", "policy.retryBudget"},
    {R"("endpoints": [)", R"("endpoints": [[],)", "endpoints[0]"},
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetFile)

BOOST_DATA_TEST_CASE(exampleIsValidAndEqualAfterRoundTrip, FleetExamples, example)
{
    const Fleet fleet = parseFleet(readExample(example)).value();
    BOOST_TEST(fleet.endpoints_.size() >= 23U);
    BOOST_TEST(fleet.domains_.size() >= 3U);
    BOOST_TEST((parseFleet(writeFleet(fleet)).value() == fleet));
}

BOOST_AUTO_TEST_CASE(invalidFieldIsReportedWithRemedy)
{
    const std::string text = readExample("kaarna.json");
    for (const InvalidEdit &edit : InvalidEdits) {
        const std::string wrong = replaced(text, edit.before_, edit.after_);
        const Error error = errorOf([&] { return parseFleet(wrong); });
        BOOST_TEST_CONTEXT(edit.after_ << " gave " << describe(error))
        {
            BOOST_TEST((error.kind_ == ErrorKind::InvalidInput));
            BOOST_TEST(names(error, edit.field_));
            BOOST_TEST(error.fields_.front().remedy_ != "");
        }
    }
}

BOOST_AUTO_TEST_CASE(allInvalidFieldsAreReported)
{
    std::string text = replaced(readExample("kaarna.json"), "\"share\": 3.0", "\"share\": -3");
    text = replaced(text, ":21004", ":99999");
    text = replaced(text, "\"domain\": \"espoo\"", "\"domain\": \"esbo\"");
    const Error error = errorOf([&] { return parseFleet(text); });
    BOOST_TEST(error.fields_.size() == 3U);
}

// Guards against silently losing one of two equal keys, such as a second "policy" in a long file:
// JSON parsers keep only the last one.
BOOST_AUTO_TEST_CASE(duplicateKeyIsRefused)
{
    const std::string text =
        replaced(readExample("kaarna.json"), "\"policy\": {", "\"policy\": {}, \"policy\": {");
    BOOST_TEST(names(errorOf([&] { return parseFleet(text); }), "policy"));
}

BOOST_AUTO_TEST_CASE(invalidSecretIsNotShown)
{
    const std::string text = replaced(readExample("kaarna.json"), "840853d2", "my-raw-api-key-");
    const std::string line = describe(errorOf([&] { return parseFleet(text); }));
    BOOST_TEST(line.find("accounts[0].apiKeySha256") != std::string::npos);
    BOOST_TEST(line.find("my-raw") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(diffNamesChangesByIdIndependentOfOrder)
{
    const Fleet before = kaarna();
    Fleet after = before;
    std::reverse(after.domains_.begin(), after.domains_.end());
    after.endpoints_.at(EndpointId("matching-03")).role_ = EngineRole::Decode;
    after.endpoints_.erase(EndpointId("desk-3"));
    after.models_.at(ModelId("interpreter-matching")).adapters_.push_back({AdapterId("new"), "1"});
    const std::vector<FleetChange> changes = diffFleets(before, after);
    BOOST_REQUIRE(changes.size() == 3U);
    BOOST_TEST(changes[0].path_ == "endpoints.desk-3");
    BOOST_TEST(changes[0].after_ == "");
    BOOST_TEST(changes[1].path_ == "endpoints.matching-03.role");
    BOOST_TEST(changes[1].before_ == "prefill");
    BOOST_TEST(changes[1].after_ == "decode");
    BOOST_TEST(changes[2].path_ == "models.interpreter-matching.adapters.new");
    BOOST_TEST(changes[2].before_ == "");
    BOOST_TEST(diffFleets(before, before).empty());
}

BOOST_AUTO_TEST_CASE(serviceIsFoundByLongestSegmentPrefix)
{
    Fleet fleet = kaarna();
    fleet.services_[ServiceId("notes")] = Service {ServiceId("notes"), "/booking/notes", {}};
    BOOST_TEST(findService(fleet, "/booking/notes/3?x=1")->id_ == ServiceId("notes"));
    BOOST_TEST(findService(fleet, "/booking/notesx")->id_ == ServiceId("booking-desk"));
    BOOST_TEST(findService(fleet, "/booking")->id_ == ServiceId("booking-desk"));
    BOOST_TEST(findService(fleet, "/bookings") == nullptr);
    BOOST_TEST(findService(fleet, "/?/booking") == nullptr);
}

BOOST_AUTO_TEST_CASE(routeDecidesWhetherARequestMayBeRepeated)
{
    const Service service = kaarna().services_.at(ServiceId("booking-desk"));
    const auto repeatable = [&](const char *method, const char *path) {
        return repeatabilityOf(service, method, path) == Repeatability::Idempotent;
    };
    BOOST_TEST(!repeatable("POST", "/confirmations"));
    BOOST_TEST(repeatable("POST", "/rosters/search?day=3"));
    BOOST_TEST(!repeatable("POST", "/rosters/searches"));
    BOOST_TEST(!repeatable("POST", "/undeclared"));
    BOOST_TEST(repeatable("GET", "/rosters/M%C3%BCller%20Oy"));
}

// Guards against repeating a request whose path the endpoint interprets differently: a POST to
// /rosters/search/../confirmations matches the idempotent route /rosters/search here, but the
// endpoint resolves the dots and would send a confirmation for each attempt.
BOOST_AUTO_TEST_CASE(ambiguousPathIsNeverRepeated)
{
    const Service service = kaarna().services_.at(ServiceId("booking-desk"));
    for (const char *path :
         {"/rosters/search/../confirmations", "/rosters/search/%2e%2e/confirmations",
          "/rosters/search//x", "/rosters/search/%63", "/rosters/search/%", "/rosters/search\\x"}) {
        BOOST_TEST((repeatabilityOf(service, "POST", path) == Repeatability::NonIdempotent));
    }
}

BOOST_AUTO_TEST_CASE(builderValidatesLikeTheParser)
{
    FleetBuilder builder;
    builder.name("small").domain(DomainId("pasila")).model({ModelId("m"), "1", {}, 0});
    Endpoint engine;
    engine.id_ = EndpointId("e1");
    engine.domain_ = DomainId("pasila");
    engine.address_ = "127.0.0.1:9001";
    engine.model_ = ModelId("m");
    BOOST_TEST(FleetBuilder(builder).endpoint(engine).build().value().endpoints_.size() == 1U);
    BOOST_TEST(names(
        errorOf([&] { return FleetBuilder(builder).endpoint(engine).endpoint(engine).build(); }),
        "endpoints[1].id"));
    engine.service_ = ServiceId("desk");
    BOOST_TEST(
        names(errorOf([&] { return builder.endpoint(engine).build(); }), "endpoints[0].service"));
}

BOOST_AUTO_TEST_SUITE_END()
