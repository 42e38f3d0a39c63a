#include "ledger.h"

namespace almondridge::soak {

void Ledger::onSent(const std::string &id, Kind kind)
{
    entries_[id].kind_ = kind;
    ++sent_;
}

void Ledger::onRun(const std::string &id, const std::string &endpoint)
{
    if (id == MisbehavingId) {
        return;
    }
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        violate(Promise::OwnAnswer, endpoint + " ran " + id + ", which no caller sent");
        return;
    }
    Entry &entry = found->second;
    ++entry.runs_;
    const bool repeatable = entry.kind_ == Kind::Safe || entry.kind_ == Kind::ResumableStream;
    if (!repeatable && entry.runs_ > 1) {
        violate(Promise::AtMostOnce, endpoint + " ran " + id + " once more");
    }
    if (!repeatable && entry.notRunTold_) {
        violate(Promise::TruthfulNotRun, endpoint + " ran " + id + " after it was called not run");
    }
}

void Ledger::onNotRunTold(const std::string &id)
{
    Entry &entry = entries_[id];
    entry.notRunTold_ = true;
    ++notRun_;
    const bool repeatable = entry.kind_ == Kind::Safe || entry.kind_ == Kind::ResumableStream;
    if (!repeatable && entry.runs_ > 0) {
        violate(Promise::TruthfulNotRun, id + " was called not run and has run");
    }
}

void Ledger::onCrash(const std::string &endpoint, CrashCause cause)
{
    constexpr int AllowedRetries = 3;
    constexpr Duration KnownWithin = millis(3'000);
    const bool isPart = cause == CrashCause::Part;
    const int crashesUntilKnown = isPart ? 5 : 3;
    const TimePoint now = BootClock::now();
    Crashes &crashes = crashes_[cause];
    if (++crashes.count_ == crashesUntilKnown) {
        crashes.knownFrom_ = now + KnownWithin;
    }
    const bool late = crashes.count_ > crashesUntilKnown && now > crashes.knownFrom_ && inTouch_;
    crashes.late_ += late ? 1 : 0;
    if (late && crashes.late_ > AllowedRetries) {
        violate(isPart ? Promise::FewPartCrashes : Promise::FewCrashes,
                (isPart ? "the same part crashed " : "the same request crashed ") + endpoint
                    + ", the " + std::to_string(crashes.count_) + "th endpoint");
    }
}

void Ledger::onServed(const std::string &)
{
    ++served_;
}

void Ledger::onOrder(const std::string &engine, const std::string &holder, std::uint64_t fence)
{
    std::uint64_t &highest = fences_[engine];
    if (fence >= highest) {
        highest = fence;
    }
    const auto [place, added] = holders_.try_emplace(fence, holder);
    if (!added && place->second != holder) {
        violate(Promise::OneHolder, holder + " and " + place->second + " share fence "
                                        + std::to_string(fence) + " at " + engine);
    }
}

void Ledger::checkTakenUp()
{
    constexpr std::uint64_t LeastTakenUp = 12;
    constexpr double LeastRatio = 0.5;
    const double wentOnShare = static_cast<double>(wentOn_) / static_cast<double>(takenUp_ + 1);
    const double servedShare = static_cast<double>(served_) / static_cast<double>(sent_ + 1);
    if (takenUp_ >= LeastTakenUp && wentOnShare < LeastRatio * servedShare) {
        violate(Promise::StreamsGoOn, std::to_string(wentOn_) + " of " + std::to_string(takenUp_)
                                          + " streams that were taken up went on");
    }
}

bool Ledger::wasJustReplaced(const std::string &endpoint) const
{
    constexpr Duration EntryTime = millis(5'000);
    const auto found = replacedAt_.find(endpoint);
    return found != replacedAt_.end() && BootClock::now() < found->second + EntryTime;
}

void Ledger::violate(Promise promise, std::string what)
{
    violations_.push_back({promise, std::move(what)});
}

} // namespace almondridge::soak
