#include "load/servicecheck.h"

namespace almondridge::standins {
namespace {

constexpr std::size_t MaxExamples = 10;

void checkCall(const std::string &id, const ServiceClaim &claim, std::int64_t runs,
               ServiceFindings &findings)
{
    const bool doubled = runs > 1;
    const bool wronglyNotRun = runs > 0 && claim.outcome_ == CallOutcome::NotRun;
    const bool wholeWithoutRun = runs == 0 && claim.outcome_ == CallOutcome::Whole;
    ++findings.checked_;
    findings.ran_ += runs > 0 ? 1 : 0;
    findings.doubled_ += doubled ? 1 : 0;
    findings.wronglyNotRun_ += wronglyNotRun ? 1 : 0;
    findings.wholeWithoutRun_ += wholeWithoutRun ? 1 : 0;
    findings.notRunAfterUnknown_ += runs > 0 && claim.notRunAfterUnknown_ ? 1 : 0;
    const bool fault = doubled || wronglyNotRun || wholeWithoutRun;
    if (fault && findings.examples_.size() < MaxExamples) {
        findings.examples_.push_back(id);
    }
}

} // namespace

void addRuns(const Json &control, RunsById &runs)
{
    const Json paths = control.is_object() ? control.value("paths", Json::object()) : Json();
    for (const auto &[path, count] : paths.items()) {
        runs[path.substr(path.rfind('/') + 1)] += count.template get<std::int64_t>();
    }
}

ServiceFindings checkService(const std::map<std::string, ServiceClaim> &claims,
                             const RunsById &runs)
{
    ServiceFindings findings;
    for (const auto &[id, claim] : claims) {
        const auto found = runs.find(id);
        checkCall(id, claim, found == runs.end() ? 0 : found->second, findings);
    }
    return findings;
}

Json toJson(const ServiceFindings &findings)
{
    return {{"checked", findings.checked_},
            {"ran", findings.ran_},
            {"doubled", findings.doubled_},
            {"wrongly_not_run", findings.wronglyNotRun_},
            {"whole_without_run", findings.wholeWithoutRun_},
            {"not_run_after_unknown", findings.notRunAfterUnknown_},
            {"examples", findings.examples_}};
}

} // namespace almondridge::standins
