#include "almondridge/replication/valuecompression.h"
#include "almondridge/replication/protocol.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::replication;

namespace {

constexpr TimePoint Now {millis(1'000'000)};
constexpr std::size_t LargeBytes = 200'000;

std::string largeValue(char letter)
{
    return std::string(LargeBytes, letter);
}

ChangeSet setOf(const Change &change)
{
    ChangeSet set;
    set.changes_ = {change};
    return set;
}

std::string encoded(const Change &change, CompressedValueCache *compressed)
{
    return encodeChanges(setOf(change), 1, false, Now, Now, compressed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ValueCompression)

BOOST_AUTO_TEST_CASE(aLargeValueIsCompressedAndRestored)
{
    CompressedValueCache compressed;
    const Change change {Topic::Config, "config", largeValue('a'), 4};
    const std::string body = encoded(change, &compressed);
    BOOST_TEST(body.size() < LargeBytes / 10);
    const auto received = decodeChanges(body, Now, Now);
    BOOST_REQUIRE(received.has_value());
    BOOST_REQUIRE(received->set_.changes_.size() == 1U);
    BOOST_TEST((received->set_.changes_[0].value_ == change.value_));
    BOOST_TEST(received->set_.changes_[0].offset_ == 4U);
}

// Guards against a stale cache entry: followers would get the previous configuration.
BOOST_AUTO_TEST_CASE(aLaterValueOfAKeyIsCompressedAgain)
{
    CompressedValueCache compressed;
    encoded({Topic::Config, "config", largeValue('a'), 4}, &compressed);
    const std::string body = encoded({Topic::Config, "config", largeValue('b'), 5}, &compressed);
    const auto received = decodeChanges(body, Now, Now);
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST((received->set_.changes_[0].value_ == largeValue('b')));
}

BOOST_AUTO_TEST_CASE(smallValuesAndThoseForPeersWithoutSupportAreSentUncompressed)
{
    CompressedValueCache compressed;
    BOOST_TEST((compressed.compressedFormOf({Topic::Endpoints, "e", "1", 2}) == nullptr));
    const std::string body = encoded({Topic::Config, "config", largeValue('a'), 4}, nullptr);
    BOOST_TEST(body.size() > LargeBytes);
    BOOST_TEST((decodeChanges(body, Now, Now)->set_.changes_[0].value_ == largeValue('a')));
}

// Guards against invalid data of a faulty peer that crashes the process or exhausts its memory.
BOOST_AUTO_TEST_CASE(invalidCompressedDataIsRejected)
{
    const std::string value = largeValue('a');
    const std::string compressed = compressValue(value);
    BOOST_TEST((decompressValue(compressed, value.size()) == value));
    BOOST_TEST(!decompressValue(compressed, value.size() - 1).has_value());
    BOOST_TEST(!decompressValue(compressed, value.size() + 1).has_value());
    BOOST_TEST(!decompressValue(compressed, std::size_t {1} << 40U).has_value());
    BOOST_TEST(
        !decompressValue(compressed.substr(0, compressed.size() / 2), value.size()).has_value());
    BOOST_TEST(!decompressValue("", value.size()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
