#include "modelrequest.h"

#include <array>
#include <limits>
#include <utility>

namespace almondridge::relay {
namespace {

using nlohmann::json;

constexpr std::int64_t DefaultMaxTokens = 16;
constexpr std::int64_t MaxTokensLimit = 1 << 20;
/** Deeper bodies are refused, because serializing JSON recurses and could exhaust the stack. */
constexpr int MaxDepth = 64;
constexpr std::size_t MaxShownValueBytes = 40;

std::string truncatedValue(const json &value)
{
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > MaxShownValueBytes) {
        text.resize(MaxShownValueBytes);
        text += "...";
    }
    return text;
}

/** Reads the fields of a body and collects their errors. */
class BodyReader
{
public:
    explicit BodyReader(const json &body)
        : body_(body)
    { }

    const json *find(const char *name) const
    {
        const auto found = body_.find(name);
        return found == body_.end() || found->is_null() ? nullptr : &*found;
    }

    void addError(const char *name, std::string remedy)
    {
        const json *value = find(name);
        errors_.push_back({name, value ? truncatedValue(*value) : "missing", std::move(remedy)});
    }

    std::string text(const char *name, const char *remedy, bool required)
    {
        const json *value = find(name);
        if (value && value->is_string()) {
            return value->get<std::string>();
        }
        if (value || required) {
            addError(name, remedy);
        }
        return {};
    }

    bool flag(const char *name)
    {
        const json *value = find(name);
        if (value && !value->is_boolean()) {
            addError(name, "write true or false");
        }
        return value && value->is_boolean() && value->get<bool>();
    }

    std::int64_t number(const char *name, std::int64_t fallback, std::int64_t maximum)
    {
        const json *value = find(name);
        if (!value) {
            return fallback;
        }
        const bool isInteger = value->is_number_integer();
        const bool fits =
            isInteger
            && (value->is_number_unsigned()
                    ? value->get<std::uint64_t>() <= static_cast<std::uint64_t>(maximum)
                    : value->get<std::int64_t>() <= maximum);
        if (!fits || value->get<std::int64_t>() < 1) {
            addError(name, "write a whole number from 1 to " + std::to_string(maximum));
            return fallback;
        }
        return value->get<std::int64_t>();
    }

    std::vector<FieldError> takeErrors() { return std::move(errors_); }

private:
    const json &body_;
    std::vector<FieldError> errors_;
};

/** Parses JSON up to MaxDepth. Returns a discarded value for invalid or deeper text. */
json parseBounded(std::string_view text)
{
    bool tooDeep = false;
    const auto watchDepth = [&](int depth, json::parse_event_t, json &) {
        tooDeep |= depth > MaxDepth;
        return !tooDeep;
    };
    json body = json::parse(text, watchDepth, false);
    return tooDeep ? json(json::value_t::discarded) : body;
}

/** Appends a message's text: a string, or text parts joined by spaces. False if invalid. */
bool appendContent(const json &content, std::string &text)
{
    if (content.is_string()) {
        text += text.empty() ? "" : " ";
        text += content.get_ref<const std::string &>();
        return true;
    }
    if (!content.is_array()) {
        return content.is_null();
    }
    for (const json &part : content) {
        const auto found = part.is_object() ? part.find("text") : part.end();
        if (!part.is_object() || found == part.end() || !appendContent(*found, text)) {
            return false;
        }
    }
    return true;
}

std::string parseMessages(BodyReader &reader)
{
    std::string text;
    const json *messages = reader.find("messages");
    const bool isList = messages && messages->is_array() && !messages->empty();
    bool valid = isList;
    for (std::size_t index = 0; isList && index < messages->size(); ++index) {
        const json &message = (*messages)[index];
        const bool hasRole =
            message.is_object() && message.contains("role") && message["role"].is_string();
        valid = valid && hasRole && appendContent(message.value("content", json()), text);
    }
    if (!valid) {
        reader.addError("messages", "write a list of {\"role\": text, \"content\": text}");
    }
    return text;
}

/** Rejects options whose response is not a single text that can be resumed by offset. */
void rejectUnsupported(BodyReader &reader, bool stream)
{
    for (const char *name : {"n", "best_of"}) {
        if (reader.number(name, 1, std::numeric_limits<int>::max()) > 1) {
            reader.addError(name, "ask for one answer a request");
        }
    }
    if (reader.flag("echo")) {
        reader.addError("echo", "leave it out: the caller has the prompt");
    }
    for (const char *name : {"tools", "functions"}) {
        const json *value = reader.find(name);
        if (value && !value->empty()) {
            reader.addError(name, "leave it out: tool calls are not supported");
        }
    }
    const json *probabilities = reader.find("logprobs");
    if (!stream && probabilities && *probabilities != json(false)) {
        reader.addError("logprobs", "ask with \"stream\": true");
    }
}

bool parseIncludeUsage(BodyReader &reader)
{
    const json *options = reader.find("stream_options");
    if (!options) {
        return false;
    }
    const json include =
        options->is_object() ? options->value("include_usage", json(false)) : json();
    if (!include.is_boolean()) {
        reader.addError("stream_options", "write {\"include_usage\": true or false}");
        return false;
    }
    return include.get<bool>();
}

std::string parsePrompt(Api api, BodyReader &reader)
{
    if (api == Api::Chat) {
        return parseMessages(reader);
    }
    return reader.text("prompt", "write one text; send one request for each prompt", true);
}

std::int64_t parseMaxTokens(Api api, BodyReader &reader)
{
    const std::int64_t newName =
        api == Api::Chat ? reader.number("max_completion_tokens", 0, MaxTokensLimit) : 0;
    const std::int64_t oldName =
        reader.number("max_tokens", newName > 0 ? newName : DefaultMaxTokens, MaxTokensLimit);
    return newName > 0 ? newName : oldName;
}

/** Adds the delivered text to the messages as the beginning of the assistant's response. */
void continueChat(json &body, std::string_view delivered)
{
    json &messages = body["messages"];
    json &last = messages.back();
    const bool endsWithAssistant = body.value("continue_final_message", json(false)) == json(true)
                                   && last.value("role", "") == "assistant"
                                   && last.value("content", json()).is_string();
    if (endsWithAssistant) {
        last["content"] = last["content"].get<std::string>() + std::string(delivered);
    } else {
        messages.push_back({{"role", "assistant"}, {"content", delivered}});
    }
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
}

json continuedBody(const ModelRequest &request, std::string_view delivered)
{
    json body = request.body_;
    body.erase("max_completion_tokens");
    if (delivered.empty()) {
        return body;
    }
    if (request.api_ == Api::Chat) {
        continueChat(body, delivered);
    } else {
        body["prompt"] = request.promptText_ + std::string(delivered);
    }
    return body;
}

} // namespace

std::string_view pathOf(Api api) noexcept
{
    constexpr std::array<std::string_view, 2> Paths {"/v1/completions", "/v1/chat/completions"};
    return Paths[static_cast<std::size_t>(api)];
}

Result<ModelRequest> parseModelRequest(Api api, std::string_view body)
{
    ModelRequest request;
    request.api_ = api;
    request.body_ = parseBounded(body);
    if (!request.body_.is_object()) {
        return fail(ErrorKind::InvalidInput, "the body is no JSON object",
                    "send one JSON object in UTF-8, nested at most " + std::to_string(MaxDepth)
                        + " deep");
    }
    BodyReader reader(request.body_);
    request.model_ = ModelId(reader.text("model", "write the name of a model", true));
    request.promptText_ = parsePrompt(api, reader);
    request.maxTokens_ = parseMaxTokens(api, reader);
    request.stream_ = reader.flag("stream");
    request.includeUsage_ = parseIncludeUsage(reader);
    request.resumeText_ = reader.text("resume_text", "write the text received so far", false);
    rejectUnsupported(reader, request.stream_);
    std::vector<FieldError> errors = reader.takeErrors();
    if (!errors.empty()) {
        return fail({ErrorKind::InvalidInput, "the body has wrong fields", "mend the fields named",
                     std::move(errors)});
    }
    request.body_.erase("resume_text");
    return request;
}

std::string engineBody(const ModelRequest &request, const AttemptState &state)
{
    json body = continuedBody(request, state.deliveredText_);
    body["max_tokens"] = request.maxTokens_ - state.deliveredTokens_;
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    if (state.kvTransfer_.is_object()) {
        body["kv_transfer_params"] = state.kvTransfer_;
        body["kv_transfer_params"]["do_remote_prefill"] = true;
    }
    return body.dump();
}

std::string prefillBody(const ModelRequest &request, std::string_view deliveredText)
{
    json body = continuedBody(request, deliveredText);
    body["max_tokens"] = 1;
    body["stream"] = false;
    body.erase("stream_options");
    body["kv_transfer_params"] = {{"do_remote_decode", true}};
    return body.dump();
}

} // namespace almondridge::relay
