#include "almondridge/control/keyclaims.h"
#include "logsupport.h"

#include <boost/test/unit_test.hpp>

using namespace almondridge;
using namespace almondridge::control;
using store::FakeLog;

namespace {

struct Entry
{
    explicit Entry(store::LogService &log, std::int64_t readPause = 0)
        : log_(caughtUp(quickBuilder(log).readPause(readPause)))
        , claims_(*log_, InstanceId("i"))
    { }

    KeyClaimAnswer claim(const std::string &key, const std::string &request)
    {
        return claims_.claim(key, RequestId(request), soon());
    }

    std::unique_ptr<ControlLog> log_;
    LogKeyClaims claims_;
};

std::ostream &printStatus(std::ostream &out, KeyClaimStatus status)
{
    return out << nameOf(KeyClaimStatusNames, status);
}

} // namespace

namespace almondridge::control {
static std::ostream &operator<<(std::ostream &out, KeyClaimStatus status)
{
    return printStatus(out, status);
}
} // namespace almondridge::control

BOOST_AUTO_TEST_SUITE(KeyClaims)

// A confirmation would be sent twice when the caller repeats it through other instances while the
// first request still runs.
BOOST_AUTO_TEST_CASE(ofRacingClaimsThroughSeveralInstancesOneRuns)
{
    FakeLog log;
    std::vector<std::unique_ptr<Entry>> entries;
    std::vector<std::thread> callers;
    entries.reserve(4);
    callers.reserve(4);
    std::atomic<int> claimed = 0;
    std::atomic<int> unknown = 0;
    for (int index = 0; index < 4; ++index) {
        entries.push_back(std::make_unique<Entry>(log));
    }
    for (int index = 0; index < 4; ++index) {
        callers.emplace_back([&, index] {
            const KeyClaimStatus status = entries[index]->claim("k", "same request id").status_;
            claimed += status == KeyClaimStatus::Claimed ? 1 : 0;
            unknown += status == KeyClaimStatus::Unknown ? 1 : 0;
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    BOOST_TEST(claimed == 1);
    BOOST_TEST(unknown == 3);
}

BOOST_AUTO_TEST_CASE(aRepeatGetsTheStoredOutcomeThroughAnotherInstance)
{
    FakeLog log;
    Entry one(log);
    Entry two(log, 600'000); // Does not read again unless an append is pending.
    BOOST_TEST(one.claim("k", "r1").status_ == KeyClaimStatus::Claimed);
    one.claims_.finish("k", RequestId("r1"), 201, "booked");
    BOOST_TEST(one.log_->flush(soon()));
    const KeyClaimAnswer found = two.claims_.lookUp("k", soon());
    BOOST_TEST(found.status_ == KeyClaimStatus::Finished);
    BOOST_TEST(found.httpStatus_ == 201);
    BOOST_TEST(two.claim("k", "r2").body_ == "booked");
}

BOOST_AUTO_TEST_CASE(anOutcomeTooLongToStoreIsUnknown)
{
    FakeLog log;
    Entry entry(log);
    entry.claim("k", "r1");
    entry.claims_.finish("k", RequestId("r1"), 200, std::string(1 << 20, 'x'));
    BOOST_TEST(entry.log_->flush(soon()));
    BOOST_TEST(entry.claim("k", "r2").status_ == KeyClaimStatus::Unknown);
}

// A confirmation would be sent twice if the caller got "not run" and sent it with a new key,
// although the claim may be in the log and only its acknowledgement was lost.
BOOST_AUTO_TEST_CASE(aClaimThatMayBeInTheLogIsUnknown)
{
    FakeLog log;
    Entry entry(log);
    log.delayAppends(1'000'000);
    const KeyClaimAnswer answer =
        entry.claims_.claim("k", RequestId("r"), BootClock::now() + millis(50));
    BOOST_TEST(answer.status_ == KeyClaimStatus::Unknown);
}

BOOST_AUTO_TEST_CASE(withoutTheLogAClaimIsRefusedAndAFoldedOneIsStillReturned)
{
    FakeLog log;
    Entry entry(log);
    entry.claim("done", "r1");
    entry.claims_.finish("done", RequestId("r1"), 200, "ok");
    BOOST_TEST(entry.log_->flush(soon()));
    log.setOutage(true);
    BOOST_TEST(entry.claim("new", "r2").status_ == KeyClaimStatus::LogOut);
    BOOST_TEST(eventually([&] { return !entry.log_->logReachable(); }));
    const int tried = log.outageAppends();
    BOOST_TEST(entry.claim("new", "r2").status_ == KeyClaimStatus::LogOut);
    BOOST_TEST(log.outageAppends() == tried); // Refused without an append call.
    BOOST_TEST(entry.claim("done", "r3").status_ == KeyClaimStatus::Finished);
    BOOST_TEST(entry.claims_.lookUp("done", soon()).status_ == KeyClaimStatus::Finished);
    BOOST_TEST(entry.claims_.lookUp("new", soon()).status_ == KeyClaimStatus::Unknown);
    log.setOutage(false);
    BOOST_TEST(eventually([&] { return entry.log_->logReachable(); }));
    BOOST_TEST(entry.claim("new", "r4").status_ == KeyClaimStatus::Claimed);
}

BOOST_AUTO_TEST_SUITE_END()
