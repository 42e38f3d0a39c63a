#include "engineevent.h"

namespace almondridge::relay {
namespace {

using nlohmann::json;

constexpr std::string_view DoneSentinel = "[DONE]";

/** The member called name, or null when value has none. */
const json &memberOf(const json &value, const char *name)
{
    static const json null;
    const auto found = value.is_object() ? value.find(name) : value.end();
    return value.is_object() && found != value.end() ? *found : null;
}

std::int64_t numberOf(const json &value, const char *name, std::int64_t fallback)
{
    const json &member = memberOf(value, name);
    return member.is_number_integer() ? member.get<std::int64_t>() : fallback;
}

/** The string that holds a choice's text, or null. */
const json &textMember(Api api, const json &choice)
{
    return api == Api::Chat ? memberOf(memberOf(choice, "delta"), "content")
                            : memberOf(choice, "text");
}

void parseUsage(const json &body, EngineEvent &event)
{
    const json &usage = memberOf(body, "usage");
    if (usage.is_object()) {
        event.usage_ = TokenUsage {
            numberOf(usage, "prompt_tokens", 0), numberOf(usage, "completion_tokens", 0),
            numberOf(memberOf(usage, "prompt_tokens_details"), "cached_tokens", -1)};
    }
}

void parseChoice(Api api, const json &choice, EngineEvent &event)
{
    const json &reason = memberOf(choice, "finish_reason");
    if (reason.is_string()) {
        event.finishReason_ = reason.get<std::string>();
    }
    const json &text = textMember(api, choice);
    if (!text.is_string()) {
        return;
    }
    event.text_ = text.get<std::string>();
    // A token can have no text of its own, as the first bytes of a split letter. An empty text
    // beside a role or a finish reason is no token.
    const bool tokenWithoutText =
        event.finishReason_.empty() && !memberOf(choice, "delta").contains("role");
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
    if (!memberOf(event.body_, "error").is_null()) {
        event.kind_ = EngineEventKind::Failed;
        return event;
    }
    parseUsage(event.body_, event);
    const json &choices = memberOf(event.body_, "choices");
    if (choices.is_array() && !choices.empty()) {
        parseChoice(api, choices.front(), event);
    }
    const std::int64_t offset = numberOf(event.body_, "offset", -1);
    if (event.kind_ == EngineEventKind::Tokens) {
        event.offset_ = offset;
        event.count_ = numberOf(event.body_, "tokens", 1);
        if (offset < 0 || event.count_ < 1) {
            return std::nullopt;
        }
    }
    return event;
}

EngineError parseEngineError(std::string_view body)
{
    const json parsed = json::parse(body, nullptr, false);
    const json &error = memberOf(parsed, "error");
    const auto textOf = [&](const char *name) {
        const json &member = memberOf(error, name);
        return member.is_string() ? member.get<std::string>() : std::string();
    };
    return {textOf("code"), textOf("message")};
}

} // namespace almondridge::relay
