/**
 * Subcommands that call the admin API of entry instances: review, apply, status and timeline.
 */
#include "almondridge/base/time.h"
#include "almondridge/observe/timeline.h"
#include "operatorclient.h"
#include "textfile.h"
#include "verbs.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <random>
#include <thread>

namespace almondridge::app {
namespace {

constexpr OptionSpec EntryOption {"entry", true, "entry instances: IP:PORT, more after commas"};
constexpr OptionSpec KeyOption {"key", true, "the operator's key; else ALMONDRIDGE_KEY"};
constexpr std::int64_t WaitMillis = 30'000;
constexpr std::int64_t WaitPollMillis = 100;

constexpr std::array<OptionSpec, 2> ReviewOptions {{EntryOption, KeyOption}};
constexpr std::array<OptionSpec, 6> ApplyOptions {{
    EntryOption,
    KeyOption,
    {"base", true, "the revision that was reviewed; 'current' takes the one in force"},
    {"operator", true, "your name, for the others"},
    {"apply-id", true, "repeats an apply whose answer was lost"},
    {"wait", false, "return when every live instance has it in force"},
}};
constexpr std::array<OptionSpec, 3> StatusOptions {{
    EntryOption,
    KeyOption,
    {"all", false, "ask every live instance"},
}};
constexpr std::array<OptionSpec, 4> TimelineOptions {{
    EntryOption,
    KeyOption,
    {"format", true, "text, chrome or html"},
    {"out", true, "write to this file"},
}};

ExitCode exitCodeOf(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return ExitCode::Invalid;
    case ErrorKind::Conflict:
        return ExitCode::Conflict;
    case ErrorKind::Interrupted:
        return ExitCode::Unknown;
    case ErrorKind::Unavailable:
    case ErrorKind::Overloaded:
    case ErrorKind::TimedOut:
        return ExitCode::NotRun;
    default:
        return ExitCode::Failed;
    }
}

ExitCode report(const Error &error)
{
    std::fprintf(stderr, "%s\n", describe(error).c_str());
    return exitCodeOf(error.kind_);
}

using Body = std::function<Result<ExitCode>(const Options &)>;

/** Parses the options and runs body. Prints its error to stderr and maps it to an exit code. */
ExitCode runVerb(int argc, char **argv, std::string_view usage, std::span<const OptionSpec> specs,
                 const Body &body)
{
    bool helpAsked = false;
    const auto options = Options::read(argc, argv, usage, specs, helpAsked);
    if (!options) {
        return helpAsked ? ExitCode::Done : ExitCode::Usage;
    }
    return tryOr([&] { return body(*options); }, [](const Error &error) { return report(error); });
}

Result<std::string> readFleetFileArgument(const Options &options)
{
    if (options.arguments().size() != 1) {
        return fail(ErrorKind::InvalidInput, "one fleet file is needed", "name it last");
    }
    return readTextFile(options.arguments().front());
}

/** Converts the error answer of an entry instance to an Error. */
Error errorOf(const OperatorAnswer &answer)
{
    const nlohmann::json error = answer.body_.value("error", nlohmann::json::object());
    Error result;
    result.kind_ = valueOf(ErrorKindNames, error.value("code", "")).value_or(ErrorKind::Internal);
    result.message_ = error.value("message", "status " + std::to_string(answer.status_));
    result.remedy_ = error.value("remedy", "");
    for (const nlohmann::json &field : error.value("fields", nlohmann::json::array())) {
        result.fields_.push_back(
            {field.value("field", ""), field.value("value", ""), field.value("remedy", "")});
    }
    return result;
}

void printChanges(const nlohmann::json &changes)
{
    for (const nlohmann::json &change : changes) {
        std::printf("  %s: %s -> %s\n", change.value("path", "").c_str(),
                    change.value("before", "").c_str(), change.value("after", "").c_str());
    }
}

std::string randomApplyId()
{
    std::random_device random;
    std::string id;
    for (int word = 0; word < 4; ++word) {
        id += std::to_string(random());
    }
    return id;
}

Result<Revision> baseOf(const OperatorClient &client, const Options &options)
{
    const std::string base = options.value("base", "current");
    if (base != "current") {
        const bool digits = base.find_first_not_of("0123456789") == std::string::npos;
        if (!digits || base.empty() || base.size() > 18) {
            return fail(ErrorKind::InvalidInput, "--base '" + base + "' is no revision",
                        "write the number that review printed, or 'current'");
        }
        return std::stoull(base);
    }
    BOOST_LEAF_AUTO(answer, client.call("GET", "/admin/fleet"));
    if (answer.status_ != 200) {
        return fail(errorOf(answer));
    }
    return answer.body_.value("revision", Revision {0});
}

/** Live instances that did not answer or have not applied revision yet. */
Result<std::vector<std::string>> instancesBehind(const OperatorClient &client, Revision revision)
{
    BOOST_LEAF_AUTO(answer, client.call("GET", "/admin/status?all=1"));
    std::vector<std::string> behind;
    std::vector<std::string> answered;
    const auto addStatus = [&](const nlohmann::json &status) {
        answered.push_back(status.value("instance", ""));
        if (status.value("revision_followed", Revision {0}) < revision) {
            behind.push_back(status.value("instance", ""));
        }
    };
    addStatus(answer.body_);
    for (const nlohmann::json &other : answer.body_.value("others", nlohmann::json::array())) {
        addStatus(other);
    }
    for (const nlohmann::json &member : answer.body_.value("members", nlohmann::json::array())) {
        const std::string name = member.value("instance", "");
        const bool unanswered = std::find(answered.begin(), answered.end(), name) == answered.end();
        if (member.value("alive", false) && unanswered) {
            behind.push_back(name);
        }
    }
    return behind;
}

Result<ExitCode> waitEverywhere(const OperatorClient &client, Revision revision)
{
    const TimePoint deadline = BootClock::now() + millis(WaitMillis);
    for (;;) {
        BOOST_LEAF_AUTO(behind, instancesBehind(client, revision));
        if (behind.empty()) {
            std::printf("in force on every live instance\n");
            return ExitCode::Done;
        }
        if (BootClock::now() >= deadline) {
            for (const std::string &instance : behind) {
                std::printf("not yet in force on %s\n", instance.c_str());
            }
            return ExitCode::NotEverywhere;
        }
        std::this_thread::sleep_for(millis(WaitPollMillis));
    }
}

Result<ExitCode> review(const Options &options)
{
    BOOST_LEAF_AUTO(text, readFleetFileArgument(options));
    BOOST_LEAF_AUTO(client, OperatorClient::fromOptions(options));
    BOOST_LEAF_AUTO(answer, client.call("POST", "/admin/review", {{"fleet", text}}));
    if (answer.status_ != 200) {
        return fail(errorOf(answer));
    }
    std::printf("against revision %s\n", answer.body_["base"].dump().c_str());
    printChanges(answer.body_["changes"]);
    for (const nlohmann::json &order : answer.body_["orders"]) {
        std::printf("  order to %s: %s\n", order.value("engine", "").c_str(),
                    order["target"].dump().c_str());
    }
    return ExitCode::Done;
}

Result<ExitCode> apply(const Options &options)
{
    BOOST_LEAF_AUTO(text, readFleetFileArgument(options));
    BOOST_LEAF_AUTO(client, OperatorClient::fromOptions(options));
    BOOST_LEAF_AUTO(base, baseOf(client, options));
    const std::string applyId = options.value("apply-id", randomApplyId());
    std::printf("apply-id %s base %s\n", applyId.c_str(), std::to_string(base).c_str());
    BOOST_LEAF_AUTO(answer, client.call("POST", "/admin/apply",
                                        {{"base", base},
                                         {"fleet", text},
                                         {"operator", options.value("operator")},
                                         {"apply_id", applyId}}));
    if (answer.status_ == 409) {
        const nlohmann::json winner = answer.body_.value("winner", nlohmann::json::object());
        std::printf("revision %s by '%s' won; your file differs in:\n",
                    winner.value("revision", nlohmann::json(0)).dump().c_str(),
                    winner.value("operator", "").c_str());
        printChanges(answer.body_.value("changes", nlohmann::json::array()));
        return ExitCode::Conflict;
    }
    if (answer.status_ != 200) {
        return fail(errorOf(answer));
    }
    const auto revision = answer.body_.value("revision", Revision {0});
    std::printf("revision %s accepted\n", std::to_string(revision).c_str());
    if (!options.has("wait")) {
        return ExitCode::Done;
    }
    return waitEverywhere(client, revision);
}

Result<ExitCode> status(const Options &options)
{
    BOOST_LEAF_AUTO(client, OperatorClient::fromOptions(options));
    BOOST_LEAF_AUTO(
        answer, client.call("GET", options.has("all") ? "/admin/status?all=1" : "/admin/status"));
    if (answer.status_ != 200) {
        return fail(errorOf(answer));
    }
    std::printf("%s\n", answer.body_.dump(2).c_str());
    return ExitCode::Done;
}

struct TimelineFormat
{
    std::string_view name_;
    std::string (*write_)(const std::vector<observe::Event> &);
};

constexpr std::array<TimelineFormat, 3> TimelineFormats {{
    {"text", &observe::timelineText},
    {"chrome", &observe::timelineChromeTrace},
    {"html", &observe::timelineHtml},
}};

Result<ExitCode> timeline(const Options &options)
{
    const std::string name = options.value("format", "text");
    const auto format = std::find_if(TimelineFormats.begin(), TimelineFormats.end(),
                                     [&](const TimelineFormat &row) { return row.name_ == name; });
    if (format == TimelineFormats.end()) {
        return fail(ErrorKind::InvalidInput, "no format '" + name + "'",
                    "write text, chrome or html");
    }
    BOOST_LEAF_AUTO(client, OperatorClient::fromOptions(options));
    BOOST_LEAF_AUTO(answer, client.call("GET", "/admin/timeline?all=1"));
    if (answer.status_ != 200) {
        return fail(errorOf(answer));
    }
    const std::string text = format->write_(observe::eventsFromJson(answer.body_.dump()));
    if (options.has("out")) {
        BOOST_LEAF_CHECK(writeTextFile(options.value("out"), text));
        return ExitCode::Done;
    }
    std::fwrite(text.data(), 1, text.size(), stdout);
    return ExitCode::Done;
}

} // namespace

ExitCode reviewVerb(int argc, char **argv)
{
    return runVerb(argc, argv, "review --entry IP:PORT FILE", ReviewOptions, &review);
}

ExitCode applyVerb(int argc, char **argv)
{
    return runVerb(argc, argv, "apply --entry IP:PORT --base REVISION FILE", ApplyOptions, &apply);
}

ExitCode statusVerb(int argc, char **argv)
{
    return runVerb(argc, argv, "status --entry IP:PORT", StatusOptions, &status);
}

ExitCode timelineVerb(int argc, char **argv)
{
    return runVerb(argc, argv, "timeline --entry IP:PORT", TimelineOptions, &timeline);
}

} // namespace almondridge::app
