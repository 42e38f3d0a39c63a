/**
 * Parses the options of a subcommand with getopt_long from a table of OptionSpec.
 */
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace almondridge::app {

/** One long option of a subcommand. */
struct OptionSpec
{
    const char *name_;
    bool takesValue_;
    std::string_view help_;
};

/** Parsed options and positional arguments. */
class Options
{
public:
    /**
     * Parses argv, whose first element is the subcommand. Prints the usage and returns nullopt
     * if --help was given (then helpAsked is true) or an option is invalid.
     */
    static std::optional<Options> read(int argc, char **argv, std::string_view usage,
                                       std::span<const OptionSpec> specs, bool &helpAsked);

    bool has(const std::string &name) const { return values_.contains(name); }
    /** Value of the option, or fallback if it was not given. */
    std::string value(const std::string &name, const std::string &fallback = {}) const;
    /** Positional arguments. */
    const std::vector<std::string> &arguments() const noexcept { return arguments_; }

private:
    std::map<std::string, std::string> values_;
    std::vector<std::string> arguments_;
};

} // namespace almondridge::app
