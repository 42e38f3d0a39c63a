#include "almondridge/observe/timeline.h"

#include <algorithm>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace almondridge::observe {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t MicrosPerMilli = 1'000;
/** The end of the year 9999. */
constexpr std::int64_t MaxWallMillis = 253'402'300'799'999;
constexpr std::int64_t MaxCounter = std::numeric_limits<std::uint32_t>::max();

/** Details may have any bytes: invalid UTF-8 is replaced, as dump() would throw otherwise. */
std::string dumpJson(const Json &json)
{
    return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

Json eventToJson(const Event &event)
{
    return {{"wall_ms", event.time_.wallMillis_},
            {"counter", event.time_.counter_},
            {"instance", event.instance_.value()},
            {"domain", event.domain_.value()},
            {"kind", nameOf(EventKindNames, event.kind_)},
            {"name", event.name_},
            {"subject", event.subject_},
            {"detail", event.detail_},
            {"duration_ms", event.durationMillis_}};
}

std::string stringMember(const Json &json, const char *key)
{
    const auto found = json.find(key);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
}

/** The number, clamped to 0..max so that sums and products of it can't overflow. */
std::int64_t integerMember(const Json &json, const char *key, std::int64_t max)
{
    const auto found = json.find(key);
    const bool readable = found != json.end() && found->is_number_integer();
    return readable ? std::clamp<std::int64_t>(found->get<std::int64_t>(), 0, max) : 0;
}

std::optional<Event> eventFromJson(const Json &json)
{
    const auto kind =
        json.is_object() ? valueOf(EventKindNames, stringMember(json, "kind")) : std::nullopt;
    if (!kind) {
        return std::nullopt;
    }
    Event event;
    event.time_.wallMillis_ = integerMember(json, "wall_ms", MaxWallMillis);
    event.time_.counter_ = static_cast<std::uint32_t>(integerMember(json, "counter", MaxCounter));
    event.instance_ = InstanceId(stringMember(json, "instance"));
    event.domain_ = DomainId(stringMember(json, "domain"));
    event.kind_ = *kind;
    event.name_ = stringMember(json, "name");
    event.subject_ = stringMember(json, "subject");
    event.detail_ = stringMember(json, "detail");
    event.durationMillis_ = integerMember(json, "duration_ms", MaxWallMillis);
    return event;
}

/** Process numbers of instances for the trace, in order of first use. */
class ProcessNumbers
{
public:
    /** The instance's number, and whether it was assigned now. */
    std::pair<int, bool> of(const InstanceId &instance)
    {
        const auto [place, isNew] =
            numbers_.try_emplace(instance, static_cast<int>(numbers_.size()) + 1);
        return {place->second, isNew};
    }

private:
    std::map<InstanceId, int> numbers_;
};

Json traceMetadata(const char *what, int process, int row, const std::string &name)
{
    return {
        {"ph", "M"}, {"name", what}, {"pid", process}, {"tid", row}, {"args", {{"name", name}}}};
}

void addProcess(Json &trace, int process, const Event &event)
{
    trace.push_back(traceMetadata("process_name", process, 0,
                                  event.instance_.value() + " (" + event.domain_.value() + ")"));
    for (const EnumName<EventKind> &row : EventKindNames) {
        trace.push_back(traceMetadata("thread_name", process, static_cast<int>(row.value_),
                                      std::string(row.name_)));
    }
}

Json traceEvent(int process, const Event &event)
{
    // The counter is used as microseconds, so that viewers keep the order within a millisecond.
    const std::int64_t sub = std::min<std::int64_t>(event.time_.counter_, MicrosPerMilli - 1);
    const std::int64_t start = event.time_.wallMillis_ - event.durationMillis_;
    Json json {{"name", event.name_},
               {"cat", nameOf(EventKindNames, event.kind_)},
               {"pid", process},
               {"tid", static_cast<int>(event.kind_)},
               {"ts", start * MicrosPerMilli + sub},
               {"args", {{"subject", event.subject_}, {"detail", event.detail_}}}};
    if (event.durationMillis_ > 0) {
        json["ph"] = "X";
        json["dur"] = event.durationMillis_ * MicrosPerMilli;
    } else {
        json["ph"] = "i";
        json["s"] = "t";
    }
    return json;
}

} // namespace

std::string eventsToJson(const std::vector<Event> &events)
{
    Json list = Json::array();
    for (const Event &event : events) {
        list.push_back(eventToJson(event));
    }
    return dumpJson(list);
}

std::vector<Event> eventsFromJson(std::string_view text)
{
    std::vector<Event> events;
    const Json list = Json::parse(text, nullptr, false);
    if (!list.is_array()) {
        return events;
    }
    for (const Json &entry : list) {
        if (std::optional<Event> event = eventFromJson(entry)) {
            events.push_back(std::move(*event));
        }
    }
    return events;
}

std::string timelineChromeTrace(const std::vector<Event> &events)
{
    Json trace = Json::array();
    ProcessNumbers numbers;
    for (const Event &event : events) {
        const auto [process, isNew] = numbers.of(event.instance_);
        if (isNew) {
            addProcess(trace, process, event);
        }
        trace.push_back(traceEvent(process, event));
    }
    return dumpJson({{"displayTimeUnit", "ms"}, {"traceEvents", std::move(trace)}});
}

} // namespace almondridge::observe
