#include "almondridge/gateway/placement.h"
#include "enginefleet.h"
#include "prompts.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::gateway;
using namespace almondridge::gateway::testing;

namespace {

const SoftwareVersion Old("v1");
const SoftwareVersion New("v1.1");

ListedEndpoint engineOf(int number, Stage stage, const SoftwareVersion &version)
{
    ListedEndpoint listed = engine(number, stage);
    listed.version_ = version;
    return listed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Versions)

/** Guards against copying parts of a prompt from an engine of another version. */
BOOST_AUTO_TEST_CASE(partsAreCopiedOnlyWithinAVersion)
{
    const Prompt prompt = promptWith(1);
    for (const SoftwareVersion &version : {Old, New}) {
        EndpointTable table;
        table.list(engineOf(1, Stage::Decode, New), at(0));
        table.list(engineOf(2, Stage::Prefill, New), at(0));
        const ListedEndpoint source = engineOf(3, Stage::Decode, version);
        table.list(source, at(0));
        Placement placement({DomainId("a")});
        placement.onPromptSent(source, prompt, at(-5'000));
        const PromptPlan plan = *planFor(placement, table, prompt);
        BOOST_TEST((plan.prefill_ == engine(2, Stage::Prefill).id_));
        BOOST_TEST(plan.copyFrom_.has_value() == (version == New));
    }
}

BOOST_AUTO_TEST_SUITE_END()
