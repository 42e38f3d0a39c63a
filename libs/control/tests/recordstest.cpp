#include "foldsupport.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace almondridge;
using namespace almondridge::control;

namespace {

const std::vector<Record> &sampleRecords()
{
    static const std::vector<Record> samples {
        fleetApply(4, "one", "a-1"),
        leaseClaim("i1", 7),
        leaseRenewal("i1", 8, true),
        intent(8, 3),
        outcome(8, 9),
        keyClaim("k", "r", 12),
        keyOutcome("k", "r"),
        SnapshotRecord {5, Fold(Horizon).snapshot()},
    };
    return samples;
}

ErrorKind kindOfFailure(std::string_view body)
{
    const auto decoded = capture([&] { return decodeRecord(body); });
    BOOST_REQUIRE(decoded.index() == 1);
    return std::get<Error>(decoded).kind_;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Records)

BOOST_AUTO_TEST_CASE(everyKindIsDecodedAsItWasEncoded)
{
    BOOST_TEST(sampleRecords().size() == std::variant_size_v<Record>);
    for (const Record &record : sampleRecords()) {
        const std::string body = encodeRecord(record, "id-1");
        const IdentifiedRecord decoded = decodeIdentified(body).value();
        BOOST_TEST(decoded.id_ == "id-1");
        BOOST_TEST(decoded.record_.index() == record.index());
        BOOST_TEST(encodeRecord(decoded.record_, "id-1") == body);
    }
}

// A caller would get another request's stored response when two keys that are not UTF-8 become the
// same key, because JSON text replaces their invalid bytes.
BOOST_AUTO_TEST_CASE(bytesThatAreNotUtf8ArePreserved)
{
    const std::string bytes = std::string("\xff\x00\xfe", 3) + "\"\\";
    const Record decoded =
        decodeRecord(encodeRecord(KeyOutcomeRecord {bytes, RequestId("r"), 200, bytes})).value();
    BOOST_TEST(std::get<KeyOutcomeRecord>(decoded).key_ == bytes);
    BOOST_TEST(std::get<KeyOutcomeRecord>(decoded).body_ == bytes);
}

BOOST_AUTO_TEST_CASE(aForeignBodyIsAProtocolError)
{
    for (
        const std::string_view body :
        {"", "null", "[]", "{}", R"({"kind":7})", R"({"kind":"order"})",
         R"({"kind":"lease-claim","domain":"d","holder":"h","previous":-1,"term_in_ms":6000})",
         R"({"kind":"lease-claim","domain":"d","holder":"h","previous":1,"term_in_ms":1e3})",
         R"({"kind":"lease-claim","domain":"d","holder":"h","previous":1,"term_in_ms":18446744073709551615})",
         R"({"kind":"snapshot","through":1,"state":"text"})"}) {
        BOOST_TEST((kindOfFailure(body) == ErrorKind::Protocol), body);
    }
}

// Every instance would crash at the same record, again after each restart, when a foreign writer
// appends a hundred thousand brackets: serialising such JSON recurses and overflows the stack.
BOOST_AUTO_TEST_CASE(deepNestingIsRefused)
{
    const std::string deep(100'000, '[');
    BOOST_TEST((kindOfFailure(R"({"kind":"snapshot","through":1,"state":{"a":)" + deep
                              + std::string(100'000, ']') + "}}")
                == ErrorKind::Protocol));
}

// Every instance would crash at the same record, again after each restart, if the decoder trusted a
// corrupted record. The records are folded into a state that is not empty.
BOOST_AUTO_TEST_CASE(changedBytesNeverCrashTheFold)
{
    std::mt19937_64 random(17);
    FoldDriver fold;
    for (int round = 0; round < 20'000; ++round) {
        std::string body = encodeRecord(sampleRecords()[random() % sampleRecords().size()]);
        for (std::uint64_t changes = 1 + random() % 4; changes > 0; --changes) {
            const std::size_t at = random() % body.size();
            if (random() % 3 == 0) {
                body.erase(at, 1 + random() % 5);
            } else {
                body[at] = static_cast<char>(random());
            }
            body += body.empty() ? "{" : "";
        }
        const store::LogRecord record {fold.next() + random() % 2, body};
        if (fold.fold_.canFold(record)) {
            fold.fold_.fold(record);
        }
        capture([&] { return fold.fold_.restore(fold.next(), body); });
    }
    BOOST_TEST(fold.next() > 1U);
}

BOOST_AUTO_TEST_SUITE_END()
