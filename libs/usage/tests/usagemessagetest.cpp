#include "almondridge/usage/usagemessage.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace almondridge;
using namespace almondridge::usage;

namespace {

UsageUpdate updateWith(std::size_t accounts)
{
    UsageUpdate update {InstanceId("a-1"), 7, 3, 1'764'750'000'123, 1'764'750'000'120, {}};
    WindowCounts part {352'950'000, true, 0, {}};
    for (std::size_t number = 0; number < accounts; ++number) {
        part.counts_[AccountId("account-" + std::to_string(number))] = number + 1;
        part.total_ += number + 1;
    }
    update.parts_.push_back(part);
    return update;
}

} // namespace

BOOST_AUTO_TEST_SUITE(UsageMessages)

BOOST_AUTO_TEST_CASE(anUpdateIsEncodedAndDecoded)
{
    for (const std::size_t accounts : {0U, 1U, 20U}) {
        const UsageUpdate sent = updateWith(accounts);
        const std::vector<std::string> datagrams = encodeUpdate(sent);
        BOOST_REQUIRE(datagrams.size() == 1U);
        const auto message = decodeUsageMessage(datagrams.front());
        BOOST_REQUIRE(message.has_value());
        BOOST_REQUIRE(message->update_.has_value());
        const UsageUpdate &got = *message->update_;
        BOOST_TEST(got.sender_ == sent.sender_);
        BOOST_TEST(got.lifetime_ == sent.lifetime_);
        BOOST_TEST(got.timeMillis_ == sent.timeMillis_);
        BOOST_TEST(got.wallMillis_ == sent.wallMillis_);
        BOOST_REQUIRE(got.parts_.size() == 1U);
        BOOST_TEST(got.parts_[0].window_ == sent.parts_[0].window_);
        BOOST_TEST(got.parts_[0].closed_);
        BOOST_TEST(got.parts_[0].total_ == sent.parts_[0].total_);
        BOOST_TEST((got.parts_[0].counts_ == sent.parts_[0].counts_));
    }
}

// Guards against an update of a busy instance that is fragmented by the network and then lost.
BOOST_AUTO_TEST_CASE(aLongUpdateIsSplitIntoSeveralDatagrams)
{
    constexpr std::size_t PacketBytes = 1'400;
    const UsageUpdate sent = updateWith(400);
    AccountCounts got;
    for (const std::string &datagram : encodeUpdate(sent)) {
        BOOST_TEST(datagram.size() <= PacketBytes);
        const auto message = decodeUsageMessage(datagram);
        BOOST_REQUIRE(message.has_value());
        for (const WindowCounts &part : message->update_->parts_) {
            BOOST_TEST(part.total_ == sent.parts_[0].total_);
            got.insert(part.counts_.begin(), part.counts_.end());
        }
    }
    BOOST_TEST((got == sent.parts_[0].counts_));
}

BOOST_AUTO_TEST_CASE(queriesAndCorrectionsAreEncodedAndDecoded)
{
    const auto query = decodeUsageMessage(encodeQuery({InstanceId("a-1"), 352'950'000, true}));
    BOOST_REQUIRE(query.has_value());
    BOOST_REQUIRE(query->query_.has_value());
    BOOST_TEST(query->query_->from_ == 352'950'000);
    BOOST_TEST(query->query_->includesOthers_);
    for (const std::int64_t by : {-1'500L, 80L}) {
        const auto correction = decodeUsageMessage(encodeCorrection({InstanceId("a-1"), 3, by}));
        BOOST_REQUIRE(correction.has_value());
        BOOST_TEST(correction->correction_->offsetMillis_ == by);
        BOOST_TEST(correction->correction_->updateNumber_ == 3U);
    }
}

// Guards against arbitrary datagrams that crash the process or contain impossible counts.
BOOST_AUTO_TEST_CASE(corruptedDatagramsAreRejectedOrHarmless)
{
    std::mt19937 random(11);
    const std::string sound = encodeUpdate(updateWith(20)).front();
    for (int round = 0; round < 20'000; ++round) {
        std::string bytes = sound;
        for (int change = 0; change < 3; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        if (random() % 4 == 0) {
            bytes.resize(random() % bytes.size());
        }
        const auto message = decodeUsageMessage(bytes);
        if (!message || !message->update_) {
            continue;
        }
        for (const WindowCounts &part : message->update_->parts_) {
            std::uint64_t sum = 0;
            for (const auto &[account, count] : part.counts_) {
                sum += count;
            }
            BOOST_REQUIRE(sum <= part.total_);
        }
    }
    BOOST_TEST(!decodeUsageMessage("").has_value());
    BOOST_TEST(!decodeUsageMessage("U").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
