#include "engineevent.h"

namespace almondridge::relay {
namespace {

using nlohmann::json;

constexpr std::string_view DoneSentinel = "[DONE]";

/** The member called name, or null when value has none. */
const json &jsonMember(const json &value, const char *name)
{
    static const json null;
    const auto found = value.is_object() ? value.find(name) : value.end();
    return value.is_object() && found != value.end() ? *found : null;
}

std::int64_t jsonInteger(const json &value, const char *name, std::int64_t fallback)
{
    const json &member = jsonMember(value, name);
    return member.is_number_integer() ? member.get<std::int64_t>() : fallback;
}

/** The string that holds a choice's text, or null. */
const json &textMember(Api api, const json &choice)
{
    return api == Api::Chat ? jsonMember(jsonMember(choice, "delta"), "content")
                            : jsonMember(choice, "text");
}

void parseUsage(const json &body, EngineEvent &event)
{
    const json &usage = jsonMember(body, "usage");
    if (usage.is_object()) {
        event.usage_ = TokenUsage {
            jsonInteger(usage, "prompt_tokens", 0), jsonInteger(usage, "completion_tokens", 0),
            jsonInteger(jsonMember(usage, "prompt_tokens_details"), "cached_tokens", -1)};
    }
}

void parseChoice(Api api, const json &choice, EngineEvent &event)
{
    const json &reason = jsonMember(choice, "finish_reason");
    if (reason.is_string()) {
        event.finishReason_ = reason.get<std::string>();
    }
    const json &text = textMember(api, choice);
    if (!text.is_string()) {
        return;
    }
    event.text_ = text.get<std::string>();
    // A token can have an empty text, such as the first bytes of a split character. An empty text
    // with a role or a finish reason is not a token.
    const bool tokenWithoutText =
        event.finishReason_.empty() && !jsonMember(choice, "delta").contains("role");
    if (!event.text_.empty() || tokenWithoutText) {
        event.kind_ = EngineEventKind::Tokens;
    }
}

} // namespace

std::optional<EngineEvent> parseEngineEvent(Api api, std::string_view data)
{
    EngineEvent event;
    if (data == DoneSentinel) {
        event.kind_ = EngineEventKind::Done;
        return event;
    }
    event.body_ = json::parse(data, nullptr, false);
    if (!event.body_.is_object()) {
        return std::nullopt;
    }
    if (!jsonMember(event.body_, "error").is_null()) {
        event.kind_ = EngineEventKind::Failed;
        return event;
    }
    parseUsage(event.body_, event);
    const json &choices = jsonMember(event.body_, "choices");
    if (choices.is_array() && !choices.empty()) {
        parseChoice(api, choices.front(), event);
    }
    const std::int64_t offset = jsonInteger(event.body_, "offset", -1);
    if (event.kind_ == EngineEventKind::Tokens) {
        event.offset_ = offset;
        event.count_ = jsonInteger(event.body_, "tokens", 1);
        if (offset < 0 || event.count_ < 1) {
            return std::nullopt;
        }
    }
    return event;
}

EngineError parseEngineError(std::string_view body)
{
    const json parsed = json::parse(body, nullptr, false);
    const json &error = jsonMember(parsed, "error");
    const auto textOf = [&](const char *name) {
        const json &member = jsonMember(error, name);
        return member.is_string() ? member.get<std::string>() : std::string();
    };
    return {textOf("code"), textOf("message")};
}

} // namespace almondridge::relay
