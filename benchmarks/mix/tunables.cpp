#include "tunables.h"

#include <array>
#include <charconv>

namespace almondridge::mix {
namespace {

struct TunableName
{
    std::string_view name_;
    double Tunables::*value_;
};

constexpr std::array<TunableName, 17> Names {{
    {"low-weight", &Tunables::lowWeight_},
    {"high-weight", &Tunables::highWeight_},
    {"greedy-threshold", &Tunables::greedyThreshold_},
    {"hysteresis", &Tunables::hysteresis_},
    {"shift-threshold", &Tunables::shiftThreshold_},
    {"noise-factor", &Tunables::noiseFactor_},
    {"usable", &Tunables::usable_},
    {"fast", &Tunables::fastSeconds_},
    {"slow", &Tunables::slowSeconds_},
    {"dwell", &Tunables::dwellSeconds_},
    {"rate-error", &Tunables::rateError_},
    {"stretch", &Tunables::stretch_},
    {"candidates", &Tunables::candidates_},
    {"spill-over", &Tunables::spillOver_},
    {"own-dispatches", &Tunables::ownDispatches_},
    {"observations", &Tunables::observations_},
    {"overdue", &Tunables::overdue_},
}};

std::string allNames()
{
    std::string names;
    for (const TunableName &row : Names) {
        names += names.empty() ? "" : ", ";
        names += row.name_;
    }
    return names;
}

} // namespace

Result<void> setTunable(Tunables &tunables, std::string_view setting)
{
    const std::size_t split = setting.find('=');
    const std::string_view text =
        split == std::string_view::npos ? std::string_view {} : setting.substr(split + 1);
    double value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    for (const TunableName &row : Names) {
        const bool whole = parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size();
        if (row.name_ == setting.substr(0, split) && whole && !text.empty()) {
            tunables.*row.value_ = value;
            return {};
        }
    }
    return fail(ErrorKind::InvalidInput, "cannot set " + std::string(setting),
                "write name=number with one of: " + allNames());
}

} // namespace almondridge::mix
