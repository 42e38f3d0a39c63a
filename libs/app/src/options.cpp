#include "options.h"

#include <cstdio>
#include <getopt.h>

namespace almondridge::app {
namespace {

constexpr int HelpCode = 'h';
constexpr int FirstOptionCode = 1'000;

void printUsage(FILE *out, std::string_view usage, std::span<const OptionSpec> specs)
{
    std::fprintf(out, "usage: almondridge %.*s\n", static_cast<int>(usage.size()), usage.data());
    for (const OptionSpec &spec : specs) {
        const std::string left =
            std::string("--") + spec.name_ + (spec.takesValue_ ? " VALUE" : "");
        std::fprintf(out, "  %-24s %.*s\n", left.c_str(), static_cast<int>(spec.help_.size()),
                     spec.help_.data());
    }
    std::fprintf(out, "  %-24s show this\n", "--help");
}

std::vector<option> longOptions(std::span<const OptionSpec> specs)
{
    std::vector<option> options;
    int code = FirstOptionCode;
    for (const OptionSpec &spec : specs) {
        options.push_back(
            {spec.name_, spec.takesValue_ ? required_argument : no_argument, nullptr, code++});
    }
    options.push_back({"help", no_argument, nullptr, HelpCode});
    options.push_back({nullptr, 0, nullptr, 0});
    return options;
}

} // namespace

std::optional<Options> Options::read(int argc, char **argv, std::string_view usage,
                                     std::span<const OptionSpec> specs, bool &helpAsked)
{
    const std::vector<option> known = longOptions(specs);
    Options read;
    helpAsked = false;
    optind = 1;
    for (;;) {
        const int code = getopt_long(argc, argv, "h", known.data(), nullptr);
        if (code == -1) {
            break;
        }
        const auto index = static_cast<std::size_t>(code - FirstOptionCode);
        if (code < FirstOptionCode || index >= specs.size()) {
            helpAsked = code == HelpCode;
            printUsage(helpAsked ? stdout : stderr, usage, specs);
            return std::nullopt;
        }
        read.values_[specs[index].name_] = optarg == nullptr ? "" : optarg;
    }
    for (int index = optind; index < argc; ++index) {
        read.arguments_.emplace_back(argv[index]);
    }
    return read;
}

std::string Options::value(const std::string &name, const std::string &fallback) const
{
    const auto found = values_.find(name);
    return found == values_.end() ? fallback : found->second;
}

} // namespace almondridge::app
