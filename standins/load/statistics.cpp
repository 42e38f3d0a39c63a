#include "load/statistics.h"

#include <fmt/format.h>

namespace almondridge::standins {
namespace {

constexpr unsigned Bins = 1'500;
constexpr double LeastMillis = 0.1;
constexpr double MostMillis = 600'000;

constexpr std::array<Field<CallCounts>, 14> CountFields {{
    {"asked", &CallCounts::asked_},
    {"whole", &CallCounts::whole_},
    {"refused_not_run", &CallCounts::notRun_},
    {"unknown", &CallCounts::unknown_},
    {"rejected", &CallCounts::rejected_},
    {"unreached", &CallCounts::unreached_},
    {"lost", &CallCounts::lost_},
    {"wrong", &CallCounts::wrong_},
    {"late", &CallCounts::late_},
    {"client_limited", &CallCounts::clientLimited_},
    {"tokens", &CallCounts::tokens_},
    {"resumes", &CallCounts::resumes_},
    {"failovers", &CallCounts::failovers_},
    {"repetitions", &CallCounts::repetitions_},
}};

/** The count of each outcome, in the order of CallOutcome. */
constexpr std::array<std::int64_t CallCounts::*, CallOutcomeNames.size()> OutcomeCounts {
    &CallCounts::whole_,     &CallCounts::notRun_, &CallCounts::unknown_, &CallCounts::rejected_,
    &CallCounts::unreached_, &CallCounts::lost_,   &CallCounts::wrong_};

double rounded(double value)
{
    constexpr double Steps = 100;
    return std::round(value * Steps) / Steps;
}

} // namespace

TimeDistribution::TimeDistribution()
    : histogram_(boost::histogram::make_histogram(Axis(Bins, LeastMillis, MostMillis)))
{ }

void TimeDistribution::add(double millis)
{
    histogram_(millis);
    ++count_;
}

double TimeDistribution::quantile(double share) const
{
    if (count_ == 0) {
        return 0;
    }
    const double wanted = share * static_cast<double>(count_);
    double seen = histogram_.at(-1);
    if (seen >= wanted) {
        return LeastMillis;
    }
    for (unsigned bin = 0; bin < Bins; ++bin) {
        seen += histogram_.at(static_cast<int>(bin));
        if (seen >= wanted) {
            return histogram_.axis().bin(static_cast<int>(bin)).upper();
        }
    }
    return MostMillis;
}

Json TimeDistribution::show() const
{
    constexpr double Half = 0.5;
    constexpr double NinetyFive = 0.95;
    constexpr double NinetyNine = 0.99;
    return {{"count", count_},
            {"p50", rounded(quantile(Half))},
            {"p95", rounded(quantile(NinetyFive))},
            {"p99", rounded(quantile(NinetyNine))}};
}

void CallStatistics::add(CallKind kind, const CallResult &result)
{
    count(result, counts_);
    count(result, byKind_[static_cast<std::size_t>(kind)]);
    if (kind == CallKind::Streamed && result.firstTokenMillis_ >= 0) {
        firstToken_.add(result.firstTokenMillis_);
    }
    for (const double gap : result.interTokenMillis_) {
        interToken_.add(gap);
    }
    if (result.outcome_ == CallOutcome::Whole) {
        whole_.add(result.totalMillis_);
    }
}

void CallStatistics::count(const CallResult &result, CallCounts &counts)
{
    ++counts.asked_;
    ++(counts.*OutcomeCounts[static_cast<std::size_t>(result.outcome_)]);
    counts.late_ += result.late_ ? 1 : 0;
    counts.tokens_ += result.tokens_;
    counts.resumes_ += result.resumes_;
    counts.failovers_ += result.failovers_;
    counts.repetitions_ += result.repetitions_;
}

Json CallStatistics::show(double seconds) const
{
    Json shown = showFields(CountFields, counts_);
    shown["seconds"] = seconds;
    shown["goodput_per_second"] =
        rounded(static_cast<double>(counts_.whole_ - counts_.late_) / seconds);
    shown["tokens_per_second"] = rounded(static_cast<double>(counts_.tokens_) / seconds);
    shown["first_token_ms"] = firstToken_.show();
    shown["inter_token_ms"] = interToken_.show();
    shown["whole_ms"] = whole_.show();
    for (const EnumName<CallKind> &kind : CallKindNames) {
        const CallCounts &counts = byKind_[static_cast<std::size_t>(kind.value_)];
        if (counts.asked_ > 0) {
            shown["by_kind"][std::string(kind.name_)] = showFields(CountFields, counts);
        }
    }
    return shown;
}

RunStatistics::RunStatistics(const std::vector<PhaseOptions> &phases)
    : options_(phases)
    , phases_(phases.size())
{ }

void RunStatistics::add(const PlannedCall &call, const CallResult &result)
{
    const std::lock_guard guard(lock_);
    all_.add(call.kind_, result);
    phases_[call.phase_].add(call.kind_, result);
}

void RunStatistics::addClientLimited(const PlannedCall &call)
{
    const std::lock_guard guard(lock_);
    all_.addClientLimited();
    phases_[call.phase_].addClientLimited();
}

std::string RunStatistics::progressLine(double seconds, int inFlight) const
{
    const std::lock_guard guard(lock_);
    const CallCounts &counts = all_.counts();
    return fmt::format(
        "t={:.0f}s in_flight={} ended={} whole={} not_run={} unknown={} unreached={} lost={} "
        "wrong={} late={} client_limited={} resumes={} first_token_p95_ms={:.0f}",
        seconds, inFlight, counts.asked_, counts.whole_, counts.notRun_, counts.unknown_,
        counts.unreached_, counts.lost_, counts.wrong_, counts.late_, counts.clientLimited_,
        counts.resumes_, all_.firstTokenP95());
}

Json RunStatistics::show() const
{
    const std::lock_guard guard(lock_);
    double seconds = 0;
    Json phases = Json::array();
    for (std::size_t phase = 0; phase < phases_.size(); ++phase) {
        seconds += options_[phase].seconds_;
        Json shown = phases_[phase].show(options_[phase].seconds_);
        shown["rate"] = options_[phase].rate_;
        shown["prompt"] = options_[phase].promptTokens_;
        shown["output"] = options_[phase].outputTokens_;
        phases.push_back(std::move(shown));
    }
    Json shown = all_.show(seconds);
    shown["phases"] = std::move(phases);
    return shown;
}

} // namespace almondridge::standins
