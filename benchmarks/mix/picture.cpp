#include "picture.h"

#include <algorithm>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <iterator>

namespace almondridge::mix {
namespace {

constexpr double Width = 960;
constexpr double Left = 60;
constexpr double Right = 190; ///< Room for the legend.
constexpr double Top = 40;
constexpr double PanelGap = 30;
constexpr double GoodputHeight = 200;
constexpr double MixHeight = 70;
constexpr double LaneHeight = 16;

constexpr std::array<const char *, 8> Colours {"#9e9e9e", "#e08214", "#1b7837", "#2166ac",
                                               "#b2182b", "#762a83", "#4d9221", "#35978f"};
constexpr std::array<const char *, 3> RoleColours {"#c6dbef", "#fdd0a2", "#c7e9c0"};

/** Draws the panels of one scenario under each other. */
class Picture
{
public:
    Picture(const ScenarioResult &result, const std::vector<Policy> &policies)
        : result_(result)
        , policies_(policies)
        , slots_(static_cast<std::size_t>(first(0).seconds_ / SlotSeconds))
    { }

    std::string draw()
    {
        double top = Top;
        text(Left, 20, "#000", 14,
             fmt::format("{} ({}), first seed", result_.plan_->day_.title_,
                         nameOf(FaultNames, result_.fault_)));
        drawGoodput(top);
        top += GoodputHeight + PanelGap;
        drawMix(top);
        top += MixHeight + PanelGap;
        top = drawChanges(top);
        drawTimeAxis(top);
        return fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
                           "height=\"{1:.0f}\" viewBox=\"0 0 {0} {1:.0f}\" "
                           "font-family=\"sans-serif\">\n<rect width=\"100%\" height=\"100%\" "
                           "fill=\"#fff\"/>\n{2}</svg>\n",
                           Width, top + 40, body_);
    }

private:
    const Measures &first(std::size_t policy) const { return result_.cells_[policy].runs_.front(); }

    double x(double seconds) const
    {
        return Left + (Width - Left - Right) * seconds / first(0).seconds_;
    }

    template <typename... Arguments>
    void add(fmt::format_string<Arguments...> format, Arguments &&...arguments)
    {
        fmt::format_to(std::back_inserter(body_), format, std::forward<Arguments>(arguments)...);
    }

    void text(double left, double base, const char *colour, int size, const std::string &words)
    {
        add("<text x=\"{:.0f}\" y=\"{:.0f}\" fill=\"{}\" font-size=\"{}\">{}</text>\n", left, base,
            colour, size, words);
    }

    void frame(double top, double height, const std::string &title)
    {
        add("<rect x=\"{:.0f}\" y=\"{:.0f}\" width=\"{:.0f}\" height=\"{:.0f}\" fill=\"none\" "
            "stroke=\"#bbb\"/>\n",
            Left, top, Width - Left - Right, height);
        text(Left, top - 6, "#333", 11, title);
    }

    double slotValue(std::size_t policy, std::size_t slot) const
    {
        const std::vector<TimeSlot> &slots = first(policy).slots_;
        return slot < slots.size() ? slots[slot].useful_ / SlotSeconds : 0;
    }

    void drawGoodput(double top)
    {
        double most = 1;
        for (std::size_t policy = 0; policy < policies_.size(); ++policy) {
            for (std::size_t slot = 0; slot < slots_; ++slot) {
                most = std::max(most, slotValue(policy, slot));
            }
        }
        frame(top, GoodputHeight, "goodput: whole answers in time per second");
        text(8, top + 10, "#333", 10, fmt::format("{:.0f}/s", most));
        for (std::size_t policy = 0; policy < policies_.size(); ++policy) {
            const char *colour = Colours[policy % Colours.size()];
            add("<polyline fill=\"none\" stroke=\"{}\" stroke-width=\"1.6\" points=\"", colour);
            for (std::size_t slot = 0; slot < slots_; ++slot) {
                add("{:.1f},{:.1f} ", x((static_cast<double>(slot) + 0.5) * SlotSeconds),
                    top + GoodputHeight * (1 - slotValue(policy, slot) / most));
            }
            add("\"/>\n");
            const double base = top + 14 + 16 * static_cast<double>(policy);
            text(Width - Right + 10, base, colour, 12,
                 fmt::format("{} {:.1f}/s", policies_[policy].name_, first(policy).goodput()));
        }
    }

    void drawMix(double top)
    {
        frame(top, MixHeight, "share of prefill in the work asked for");
        add("<polyline fill=\"none\" stroke=\"#333\" points=\"");
        const std::vector<TimeSlot> &slots = first(0).slots_;
        for (std::size_t slot = 0; slot < slots_; ++slot) {
            const double work = slots[slot].prefillWork_ + slots[slot].decodeWork_;
            const double share = work > 0 ? slots[slot].prefillWork_ / work : 0;
            add("{:.1f},{:.1f} ", x((static_cast<double>(slot) + 0.5) * SlotSeconds),
                top + MixHeight * (1 - share));
        }
        add("\"/>\n");
    }

    /** Engines in service by role as stacked bands, and a tick for each change. */
    void drawRoles(std::size_t policy, double top)
    {
        const std::vector<TimeSlot> &slots = first(policy).slots_;
        const double engines = result_.plan_->day_.engines();
        const double width = x(SlotSeconds) - x(0);
        for (std::size_t slot = 0; slot < std::min(slots_, slots.size()); ++slot) {
            double base = top;
            for (std::size_t role = 0; role < RoleColours.size(); ++role) {
                const double height = 2 * LaneHeight * slots[slot].engines_[role] / engines;
                add("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.2f}\" height=\"{:.1f}\" "
                    "fill=\"{}\"/>\n",
                    x(static_cast<double>(slot) * SlotSeconds), base, width + 0.2, height,
                    RoleColours[role]);
                base += height;
            }
        }
        for (const RoleChangeMark &mark : first(policy).changes_) {
            add("<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"{1:.1f}\" y2=\"{2:.1f}\" "
                "stroke=\"#000\" stroke-width=\"0.7\"/>\n",
                x(mark.seconds_), top, top + 2 * LaneHeight);
        }
    }

    double drawChanges(double top)
    {
        text(Left, top - 6, "#333", 11,
             "engines in service: prefill (blue), decode (orange), mixed (green); each line is a "
             "role change");
        for (std::size_t policy = 0; policy < policies_.size(); ++policy) {
            drawRoles(policy, top);
            text(Width - Right + 10, top + LaneHeight, Colours[policy % Colours.size()], 11,
                 fmt::format("{}: {}", policies_[policy].name_, first(policy).changes_.size()));
            top += 2 * LaneHeight + 6;
        }
        return top;
    }

    void drawTimeAxis(double top)
    {
        for (double second = 0; second <= first(0).seconds_; second += 60) {
            add("<line x1=\"{0:.1f}\" x2=\"{0:.1f}\" y1=\"{1:.0f}\" y2=\"{2:.0f}\" "
                "stroke=\"#ddd\" stroke-dasharray=\"2 3\"/>\n",
                x(second), Top, top);
            text(x(second) - 8, top + 14, "#333", 10, fmt::format("{:.0f}s", second));
        }
    }

    const ScenarioResult &result_;
    const std::vector<Policy> &policies_;
    std::size_t slots_;
    std::string body_;
};

Result<void> writeFile(const std::filesystem::path &path, const std::string &content)
{
    std::ofstream file(path);
    file << content;
    file.close();
    if (!file) {
        return fail(ErrorKind::Unavailable, "cannot write " + path.string(),
                    "give a directory that can be written with --out");
    }
    return {};
}

} // namespace

std::string pictureOf(const ScenarioResult &result, const std::vector<Policy> &policies)
{
    return Picture(result, policies).draw();
}

Result<void> writePictures(const Comparison &comparison, const std::string &directory)
{
    std::error_code ignored; // A directory that cannot be made shows when a file is written.
    std::filesystem::create_directories(directory, ignored);
    std::string page = "<!doctype html>\n<meta charset=\"utf-8\">\n<title>bench-mix</title>\n";
    for (const ScenarioResult &result : comparison.results_) {
        const std::string name =
            fmt::format("{}-{}.svg", result.plan_->day_.name_, nameOf(FaultNames, result.fault_));
        const std::string picture = pictureOf(result, comparison.policies_);
        BOOST_LEAF_CHECK(writeFile(std::filesystem::path(directory) / name, picture));
        page += picture;
    }
    return writeFile(std::filesystem::path(directory) / "index.html", page);
}

} // namespace almondridge::mix
