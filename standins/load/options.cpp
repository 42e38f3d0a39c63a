#include "load/options.h"

#include "almondridge/base/time.h"

#include <charconv>
#include <getopt.h>
#include <variant>

namespace almondridge::standins {
namespace {

constexpr std::string_view Usage =
    "almondridge-load --entry IP:PORT ... --model NAME ... --phase SECONDS:RATE:PROMPT:OUTPUT ...; "
    "standins/README.md has all options";

boost::leaf::error_id wrongOption(std::string_view what)
{
    return fail(ErrorKind::InvalidInput, std::string(what), std::string(Usage));
}

template <typename Number>
Result<Number> readNumber(std::string_view text)
{
    Number number {};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size()) {
        return wrongOption("not a number: '" + std::string(text) + "'");
    }
    return number;
}

std::vector<std::string_view> split(std::string_view text, char separator)
{
    std::vector<std::string_view> parts;
    for (;;) {
        const std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

Result<void> readInto(std::string_view text, std::vector<net::Address> &target)
{
    for (const std::string_view part : split(text, ',')) {
        BOOST_LEAF_AUTO(address, net::parseAddress(part));
        target.push_back(std::move(address));
    }
    return {};
}

Result<void> readInto(std::string_view text, std::vector<std::string> &target)
{
    for (const std::string_view part : split(text, ',')) {
        target.emplace_back(part);
    }
    return {};
}

Result<void> readInto(std::string_view text, std::vector<PhaseOptions> &target)
{
    const std::vector<std::string_view> parts = split(text, ':');
    constexpr std::size_t Parts = 4;
    if (parts.size() != Parts) {
        return wrongOption("not a phase: '" + std::string(text) + "'");
    }
    PhaseOptions phase;
    BOOST_LEAF_ASSIGN(phase.seconds_, readNumber<double>(parts[0]));
    BOOST_LEAF_ASSIGN(phase.rate_, readNumber<double>(parts[1]));
    BOOST_LEAF_ASSIGN(phase.promptTokens_, readNumber<double>(parts[2]));
    BOOST_LEAF_ASSIGN(phase.outputTokens_, readNumber<double>(parts[3]));
    if (phase.seconds_ <= 0 || phase.rate_ <= 0) {
        return wrongOption("a phase needs seconds and a rate above zero");
    }
    target.push_back(phase);
    return {};
}

Result<void> readInto(std::string_view text, KeyKind &target)
{
    const std::optional<KeyKind> kind = valueOf(KeyKindNames, text);
    if (!kind) {
        return wrongOption("the kind of key is one of " + namesOf(KeyKindNames));
    }
    target = *kind;
    return {};
}

Result<void> readInto(std::string_view text, std::string &target)
{
    target = text;
    return {};
}

template <typename Number>
Result<void> readInto(std::string_view text, Number &target)
{
    BOOST_LEAF_ASSIGN(target, readNumber<Number>(text));
    return {};
}

Result<void> readInto(std::string_view, bool &target)
{
    target = true;
    return {};
}

using OptionMember =
    std::variant<std::vector<net::Address> LoadOptions::*, std::vector<std::string> LoadOptions::*,
                 std::vector<PhaseOptions> LoadOptions::*, KeyKind LoadOptions::*,
                 std::string LoadOptions::*, double LoadOptions::*, int LoadOptions::*,
                 std::int64_t LoadOptions::*, std::uint64_t LoadOptions::*, bool LoadOptions::*>;

struct OptionRow
{
    const char *name_;
    OptionMember member_;
};

constexpr std::array<OptionRow, 22> Rows {{
    {"entry", &LoadOptions::entries_},
    {"phase", &LoadOptions::phases_},
    {"model", &LoadOptions::models_},
    {"streamed", &LoadOptions::streamedShare_},
    {"service", &LoadOptions::serviceShare_},
    {"chat", &LoadOptions::chatShare_},
    {"service-path", &LoadOptions::servicePath_},
    {"service-key", &LoadOptions::keyKind_},
    {"service-repeats", &LoadOptions::serviceRepeats_},
    {"ask-again", &LoadOptions::askAgain_},
    {"key", &LoadOptions::apiKey_},
    {"deadline-in-ms", &LoadOptions::deadlineInMillis_},
    {"patience-in-ms", &LoadOptions::patienceInMillis_},
    {"silence-in-ms", &LoadOptions::silenceInMillis_},
    {"seed", &LoadOptions::seed_},
    {"run", &LoadOptions::runName_},
    {"max-in-flight", &LoadOptions::maxInFlight_},
    {"prefixes", &LoadOptions::prefixes_},
    {"prefix-share", &LoadOptions::prefixShare_},
    {"service-control", &LoadOptions::serviceControls_},
    {"out", &LoadOptions::outFile_},
    {"quiet", &LoadOptions::quiet_},
}};

/** The rows as getopt_long wants them, ended by a row of zeros. */
std::array<option, Rows.size() + 1> optionTable()
{
    std::array<option, Rows.size() + 1> table {};
    for (std::size_t row = 0; row < Rows.size(); ++row) {
        const bool flag = std::holds_alternative<bool LoadOptions::*>(Rows[row].member_);
        table[row] = {Rows[row].name_, flag ? no_argument : required_argument, nullptr,
                      static_cast<int>(row) + 1};
    }
    return table;
}

Result<void> check(const LoadOptions &options)
{
    if (options.entries_.empty() || options.phases_.empty()) {
        return wrongOption("an --entry and a --phase are needed");
    }
    if (options.models_.empty() && options.serviceShare_ < 1) {
        return wrongOption("a --model is needed unless --service is 1");
    }
    if (options.streamedShare_ + options.serviceShare_ > 1 || options.maxInFlight_ < 1
        || options.prefixes_ < 1) {
        return wrongOption("shares add up to 1 at most; counts begin at 1");
    }
    return {};
}

} // namespace

Result<LoadOptions> readLoadOptions(int argc, char **argv)
{
    LoadOptions options;
    const auto table = optionTable();
    int chosen = 0;
    while ((chosen = getopt_long(argc, argv, "", table.data(), nullptr)) != -1) {
        if (chosen < 1 || static_cast<std::size_t>(chosen) > Rows.size()) {
            return wrongOption("unknown option");
        }
        const std::string_view text = optarg == nullptr ? "" : optarg;
        BOOST_LEAF_CHECK(std::visit([&](auto member) { return readInto(text, options.*member); },
                                    Rows[static_cast<std::size_t>(chosen) - 1].member_));
    }
    BOOST_LEAF_CHECK(check(options));
    if (options.runName_.empty()) {
        options.runName_ = "run" + std::to_string(wallMillis());
    }
    return options;
}

} // namespace almondridge::standins
