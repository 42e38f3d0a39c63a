#include "almondridge/usage/usagereporter.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <set>

using namespace almondridge;
using namespace almondridge::usage;

namespace {

constexpr ReporterSettings Settings {5'000, 10'000};
constexpr std::int64_t Epoch = 1'764'750'000'000;
constexpr Window First = Epoch / 5'000;

AccountCounts counted(std::uint64_t count)
{
    return {{AccountId("acme"), count}};
}

/** The log of reports, and the reports that the billing API accepted, from all reporters. */
struct Backends
{
    std::vector<ReportRecord> log_;
    std::map<Window, std::set<std::uint64_t>> accepted_;

    LogOffset append(Window window, std::uint64_t count)
    {
        log_.push_back({window, counted(count), log_.size()});
        return log_.size() - 1;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(UsageReports)

BOOST_AUTO_TEST_CASE(aWindowIsLoggedThenSent)
{
    UsageReporter reporter(Settings);
    reporter.setKnownSince(Epoch - 1);
    reporter.setFence(1);
    auto action = reporter.next(Epoch + 7'000);
    BOOST_REQUIRE((action && action->step_ == ReportStep::ReadLog));
    reporter.onLogRead({}, 0, true, Epoch + 7'000);
    action = reporter.next(Epoch + 7'000);
    BOOST_REQUIRE((action && action->step_ == ReportStep::Append));
    BOOST_TEST(action->window_ == First);
    BOOST_TEST(!reporter.next(Epoch + 7'000).has_value());
    reporter.onAppended(First, counted(3), 0);
    action = reporter.next(Epoch + 7'000);
    BOOST_REQUIRE((action && action->step_ == ReportStep::Send));
    BOOST_TEST((action->counts_ == counted(3)));
    reporter.onSent(First);
    BOOST_TEST(!reporter.next(Epoch + 7'000).has_value());
}

BOOST_AUTO_TEST_CASE(withoutALeaseNothingIsDone)
{
    UsageReporter reporter(Settings);
    reporter.setKnownSince(Epoch - 1);
    BOOST_TEST(!reporter.next(Epoch + 7'000).has_value());
}

// Guards against a report without requests when all instances that had their counts are gone.
BOOST_AUTO_TEST_CASE(aWindowThatBeganBeforeCountsAreKnownIsNotReported)
{
    UsageReporter reporter(Settings);
    reporter.setKnownSince(Epoch + 1'000);
    reporter.setFence(1);
    reporter.next(Epoch + 7'000);
    reporter.onLogRead({}, 0, true, Epoch + 7'000);
    BOOST_TEST(!reporter.next(Epoch + 7'000).has_value());
    const auto action = reporter.next(Epoch + 12'000);
    BOOST_REQUIRE(action.has_value());
    BOOST_TEST(action->window_ == First + 1);
}

// Guards against old windows that delay the reports of windows whose deadline hasn't passed.
BOOST_AUTO_TEST_CASE(windowsPastTheirDeadlineAreSkipped)
{
    UsageReporter reporter(Settings);
    reporter.setKnownSince(Epoch - 1);
    reporter.setFence(1);
    reporter.next(Epoch + 7'000);
    reporter.onLogRead({}, 0, true, Epoch + 7'000);
    const auto action = reporter.next(Epoch + 100'000);
    BOOST_REQUIRE(action.has_value());
    BOOST_TEST(action->window_ == First + 18);
}

/** Guards against differing reports: reporters change, and calls are lost, late or run anyway. */
BOOST_AUTO_TEST_CASE(noTwoReportsOfAWindowDiffer)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        Backends backends;
        std::vector<UsageReporter> reporters(3, UsageReporter(Settings));
        std::vector<std::pair<Window, std::uint64_t>> lateAppends;
        std::vector<std::pair<Window, std::uint64_t>> lateSends;
        for (UsageReporter &reporter : reporters) {
            reporter.setKnownSince(Epoch - 1);
        }
        Fence fence = 0;
        for (std::int64_t now = Epoch; now < Epoch + 60'000; now += 100) {
            UsageReporter &reporter = reporters[random() % reporters.size()];
            if (random() % 20 == 0) {
                // The previous holder keeps its lease, as a suspended process would.
                reporter.setFence(++fence);
            }
            if (random() % 40 == 0) {
                reporter.setFence(std::nullopt);
            }
            const auto late = [&](auto &calls, const auto &run) {
                if (!calls.empty() && random() % 10 == 0) {
                    run(calls.front());
                    calls.erase(calls.begin());
                }
            };
            late(lateAppends, [&](const auto &call) { backends.append(call.first, call.second); });
            late(lateSends,
                 [&](const auto &call) { backends.accepted_[call.first].insert(call.second); });
            const auto action = reporter.next(now);
            if (!action) {
                continue;
            }
            const auto fate = random() % 4;
            if (action->step_ == ReportStep::ReadLog) {
                const std::vector<ReportRecord> records(
                    backends.log_.begin() + static_cast<std::ptrdiff_t>(action->from_),
                    backends.log_.end());
                reporter.onLogRead(records, backends.log_.size(), true, now);
            } else if (action->step_ == ReportStep::Append) {
                const std::uint64_t count = random() % 1'000;
                if (fate == 0) {
                    lateAppends.emplace_back(action->window_, count);
                    reporter.onFailed(action->step_, now);
                } else if (fate == 1) {
                    backends.append(action->window_, count);
                    reporter.onFailed(action->step_, now);
                } else {
                    const LogOffset offset = backends.append(action->window_, count);
                    reporter.onAppended(action->window_, counted(count), offset);
                }
            } else {
                const std::uint64_t count = action->counts_.begin()->second;
                if (fate == 0) {
                    lateSends.emplace_back(action->window_, count);
                    reporter.onFailed(action->step_, now);
                } else {
                    backends.accepted_[action->window_].insert(count);
                    reporter.onSent(action->window_);
                }
            }
        }
        for (const auto &[window, counts] : backends.accepted_) {
            BOOST_TEST(counts.size() == 1U, "seed " << seed << ", window " << window);
        }
        BOOST_TEST(!backends.accepted_.empty());
    }
}

// Guards against a second report of a window with other counts: the log came back from a copy that
// lacks the first one, and the next reporter would compose the window anew.
BOOST_AUTO_TEST_CASE(aReportThatTheLogLostIsAppendedAgainBeforeAnythingElse)
{
    constexpr LogOffset RestoredAt = 1'000'000;
    UsageReporter reporter(Settings);
    reporter.setKnownSince(Epoch - 1);
    reporter.setFence(1);
    reporter.next(Epoch + 7'000);
    reporter.onLogRead({}, 0, true, Epoch + 7'000);
    reporter.next(Epoch + 7'000);
    reporter.onAppended(First, counted(3), 0);
    reporter.next(Epoch + 7'000);
    reporter.onSent(First);

    auto action = reporter.next(Epoch + 12'000);
    BOOST_REQUIRE((action && action->step_ == ReportStep::Append));
    reporter.onAppended(First + 1, counted(5), RestoredAt); // In the restored log.
    action = reporter.next(Epoch + 12'000);
    BOOST_REQUIRE((action && action->step_ == ReportStep::ReadLog));
    reporter.onLogGap(RestoredAt);
    action = reporter.next(Epoch + 12'000);
    BOOST_REQUIRE((action && action->step_ == ReportStep::ReadLog));
    BOOST_TEST(action->from_ == RestoredAt);
    reporter.onLogRead({{First + 1, counted(5), RestoredAt}}, RestoredAt + 1, true, Epoch + 12'000);

    action = reporter.next(Epoch + 12'000);
    BOOST_REQUIRE((action && action->step_ == ReportStep::Restore));
    BOOST_TEST(action->window_ == First);
    BOOST_TEST((action->counts_ == counted(3)));
    reporter.onAppended(First, counted(3), RestoredAt + 1);
    action = reporter.next(Epoch + 12'000);
    BOOST_REQUIRE((action && action->step_ == ReportStep::Send));
    BOOST_TEST(action->window_ == First + 1);
    reporter.onSent(First + 1);
    BOOST_TEST(!reporter.next(Epoch + 12'000).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
