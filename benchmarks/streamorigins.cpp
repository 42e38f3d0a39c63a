/**
 * Cost of knowing where streams began: processor time and bytes of a stream at the instance that
 * begins it and at its holders, of a query, and of choosing an engine among those of three
 * versions.
 */
#include "almondridge/gateway/streamorigins.h"
#include "almondridge/gateway/placement.h"
#include "measure.h"

#include <cstdio>

namespace {

using namespace almondridge;
using namespace almondridge::gateway;
using almondridge::bench::microsecondsOf;

constexpr int Domains = 9;

std::vector<MeshMember> membersOf(int count)
{
    std::vector<MeshMember> members;
    members.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        members.push_back({InstanceId("front-" + std::to_string(number)),
                           DomainId("domain-" + std::to_string(number % Domains))});
    }
    return members;
}

RequestKey keyOf(int number)
{
    return requestKey("secret", {"", "stream", std::to_string(number), ""});
}

void measureOrigins(int instances)
{
    constexpr int Streams = 20'000;
    const StreamOrigin origin {ServiceId("kaarna-llm"), SoftwareVersion("v1.2")};
    const std::vector<MeshMember> members = membersOf(instances);
    StreamOrigins begins;
    begins.setMembers(members[0].id_, members);
    StreamOrigins holds;
    holds.setMembers(members[1].id_, members);
    const TimePoint now = BootClock::now();
    std::vector<MeshDatagram> last;
    std::vector<MeshDatagram> answers;
    const double add =
        microsecondsOf(Streams, [&](int number) { last = begins.add(keyOf(number), origin, now); });
    const std::string record = last.front().bytes_;
    const double receive =
        microsecondsOf(Streams, [&](int) { holds.onDatagram(record, now, answers); });
    std::size_t queries = 0;
    const double ask = microsecondsOf(Streams, [&](int number) {
        queries = holds.ask(keyOf(number)).size();
        holds.endQuery(keyOf(number));
    });
    std::printf("%d instances: begin %.1f us, %zu datagrams of %zu bytes; record %.1f us; "
                "query %.1f us, %zu datagrams\n",
                instances, add, last.size(), record.size(), receive, ask, queries);
}

void measureChoice(int engines, int versions)
{
    constexpr int Choices = 200;
    EndpointTable table;
    const TimePoint now = BootClock::now();
    for (int number = 0; number < engines; ++number) {
        ListedEndpoint listed;
        listed.id_ = EndpointId("engine-" + std::to_string(number));
        listed.service_ = ServiceId("models");
        listed.domain_ = DomainId("domain-" + std::to_string(number % Domains));
        listed.version_ = SoftwareVersion("v1." + std::to_string(number % versions));
        listed.slots_ = 64;
        listed.stage_ = number % 3 == 0 ? Stage::Prefill : Stage::Decode;
        table.list(listed, now);
    }
    const Placement placement({DomainId("domain-0")});
    DecodeQuery query;
    query.service_ = ServiceId("models");
    const double any = microsecondsOf(Choices, [&](int number) {
        placement.chooseDecodeEngine(table, query, static_cast<std::uint64_t>(number), now);
    });
    query.version_ = SoftwareVersion("v1.0");
    const double one = microsecondsOf(Choices, [&](int number) {
        placement.chooseDecodeEngine(table, query, static_cast<std::uint64_t>(number), now);
    });
    std::printf("%d engines of %d versions: a new stream %.0f us, one that goes on %.0f us\n",
                engines, versions, any, one);
}

} // namespace

int main()
{
    for (const int instances : {9, 330, 985, 2'000}) {
        measureOrigins(instances);
    }
    for (const int engines : {18, 1'000, 10'000, 20'000}) {
        for (const int versions : {1, 3}) {
            measureChoice(engines, versions);
        }
    }
    return 0;
}
