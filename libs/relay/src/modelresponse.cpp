#include "modelresponse.h"

#include <array>
#include <utility>

namespace almondridge::relay {
namespace {

using nlohmann::json;

struct ApiShape
{
    std::string_view completeObject_;
    std::string_view chunkObject_;
};

constexpr std::array<ApiShape, 2> ApiShapes {{
    {"text_completion", "text_completion"},
    {"chat.completion", "chat.completion.chunk"},
}};

const ApiShape &shapeOf(Api api)
{
    return ApiShapes[static_cast<std::size_t>(api)];
}

json usageJson(const TokenUsage &usage)
{
    json body = {{"prompt_tokens", usage.promptTokens_},
                 {"completion_tokens", usage.completionTokens_},
                 {"total_tokens", usage.promptTokens_ + usage.completionTokens_}};
    if (usage.cachedTokens_ >= 0) {
        body["prompt_tokens_details"] = {{"cached_tokens", usage.cachedTokens_}};
    }
    return body;
}

/** The choices of a generated event that carries only a finish reason. */
json finishChoices(const ResponseFormat &format, const std::string &reason)
{
    json choice = {{"index", 0}, {"finish_reason", reason}};
    if (format.api_ == Api::Chat) {
        choice["delta"] = json::object();
    } else {
        choice["text"] = "";
    }
    return json::array({std::move(choice)});
}

/** The JSON fields shared by all events, serialized once because every token repeats them. */
std::string eventHead(const ResponseFormat &format)
{
    const json fields = {{"id", format.id_},
                         {"object", shapeOf(format.api_).chunkObject_},
                         {"created", format.createdSeconds_},
                         {"model", format.model_}};
    std::string text = "data: " + fields.dump();
    text.pop_back();
    return text;
}

/** Removes the role, which a continuing engine repeats with its first token. */
void dropRole(json &body)
{
    json &choice = body["choices"].front();
    if (choice.contains("delta")) {
        choice["delta"].erase("role");
    }
}

class StreamedResponse : public ModelResponse
{
public:
    explicit StreamedResponse(ResponseFormat format)
        : format_(std::move(format))
        , head_(eventHead(format_))
    { }

    void onTokens(EngineEvent &event, std::int64_t offset) override
    {
        if (tokenSeen_) {
            dropRole(event.body_);
        }
        tokenSeen_ = true;
        finishSent_ |= !event.finishReason_.empty();
        buffer_ += head_;
        buffer_ += ",\"offset\":";
        buffer_ += std::to_string(offset);
        appendChoices(event.body_["choices"]);
    }

    void onOtherEvent(EngineEvent &event) override
    {
        // Engines repeat the role when they continue or resume a stream; the caller gets it once.
        // Usage is sent once, at the end, for the whole response.
        const bool finish = !event.finishReason_.empty() && !std::exchange(finishSent_, true);
        const bool role = event.finishReason_.empty() && !tokenSeen_ && !roleSent_
                          && event.body_.contains("choices") && !event.body_["choices"].empty();
        if (role) {
            roleSent_ = true;
        }
        if (finish || role) {
            buffer_ += head_;
            appendChoices(event.body_["choices"]);
        }
    }

    void setResumeToken(std::string token) override { resumeToken_ = std::move(token); }

    bool flush(net::ServerExchange &caller) override
    {
        if (buffer_.empty()) {
            return true;
        }
        return begin(caller) && caller.writeChunk(std::exchange(buffer_, {}));
    }

    bool keepAlive(net::ServerExchange &caller) override
    {
        return !started_ || caller.writeChunk(": waiting for the engine\n\n");
    }

    bool finish(net::ServerExchange &caller, const ResponseEnd &end) override
    {
        if (!finishSent_) {
            buffer_ += head_;
            appendChoices(finishChoices(format_, end.finishReason_));
        }
        if (format_.includeUsage_) {
            buffer_ += head_ + ",\"usage\":" + usageJson(end.usage_).dump();
            appendChoices(json::array());
        }
        buffer_ += "data: [DONE]\n\n";
        return flush(caller) && caller.endStream();
    }

    bool refuse(net::ServerExchange &caller, const Refusal &refusal) override
    {
        if (!started_) {
            return false;
        }
        buffer_ += "data: " + errorBody(refusal, BootClock::now()) + "\n\n";
        flush(caller);
        caller.endStream();
        return true;
    }

private:
    /** Completes an event whose head is in the buffer. */
    void appendChoices(const json &choices)
    {
        if (started_ && !resumeToken_.empty()) {
            buffer_ += ",\"resume_token\":\"" + std::exchange(resumeToken_, {}) + '"';
        }
        buffer_ += ",\"choices\":";
        buffer_ += choices.dump();
        buffer_ += "}\n\n";
    }

    bool begin(net::ServerExchange &caller)
    {
        if (std::exchange(started_, true)) {
            return true;
        }
        net::Headers headers = format_.headers_;
        headers.push_back({"Cache-Control", "no-cache"});
        if (!resumeToken_.empty()) {
            headers.push_back({"X-Resume-Token", std::exchange(resumeToken_, {})});
        }
        return caller.beginStream(200, "text/event-stream", headers);
    }

    ResponseFormat format_;
    std::string head_;
    std::string buffer_;
    std::string resumeToken_;
    bool started_ = false;
    bool tokenSeen_ = false;
    bool roleSent_ = false;
    bool finishSent_ = false;
};

class BufferedResponse : public ModelResponse
{
public:
    explicit BufferedResponse(ResponseFormat format)
        : format_(std::move(format))
    { }

    void onTokens(EngineEvent & /*event*/, std::int64_t /*offset*/) override { }
    void onOtherEvent(EngineEvent & /*event*/) override { }
    void setResumeToken(std::string /*token*/) override { }
    bool flush(net::ServerExchange & /*caller*/) override { return true; }
    bool keepAlive(net::ServerExchange & /*caller*/) override { return true; }

    bool finish(net::ServerExchange &caller, const ResponseEnd &end) override
    {
        return caller.respond(200, "application/json", completeBody(format_, end),
                              format_.headers_);
    }

    bool refuse(net::ServerExchange & /*caller*/, const Refusal & /*refusal*/) override
    {
        return false;
    }

private:
    ResponseFormat format_;
};

} // namespace

std::string completeBody(const ResponseFormat &format, const ResponseEnd &end)
{
    json choice = {{"index", 0}, {"finish_reason", end.finishReason_}, {"logprobs", nullptr}};
    if (format.api_ == Api::Chat) {
        choice["message"] = {{"role", "assistant"}, {"content", end.text_}};
    } else {
        choice["text"] = end.text_;
    }
    const json body = {{"id", format.id_},
                       {"object", shapeOf(format.api_).completeObject_},
                       {"created", format.createdSeconds_},
                       {"model", format.model_},
                       {"choices", json::array({std::move(choice)})},
                       {"usage", usageJson(end.usage_)}};
    return body.dump();
}

void respondStored(net::ServerExchange &caller, const ResponseFormat &format, bool stream,
                   const DuplicateResponse &duplicate)
{
    const json body = json::parse(duplicate.stored_.body_, nullptr, false);
    const bool isCompletion = body.is_object() && body.contains("choices");
    if (!stream || !isCompletion) {
        caller.respond(duplicate.status_, duplicate.stored_.contentType_, duplicate.stored_.body_,
                       format.headers_);
        return;
    }
    const json &choice = body["choices"].front();
    json replayedChoice = {{"index", 0}};
    if (format.api_ == Api::Chat) {
        replayedChoice["delta"] = choice.value("message", json());
    } else {
        replayedChoice["text"] = choice.value("text", "");
    }
    EngineEvent event;
    event.body_["choices"] = json::array({std::move(replayedChoice)});
    StreamedResponse response(format);
    response.onTokens(event, 0);
    response.finish(caller, {"", choice.value("finish_reason", "stop"), {}});
}

std::unique_ptr<ModelResponse> makeStreamedResponse(ResponseFormat format)
{
    return std::make_unique<StreamedResponse>(std::move(format));
}

std::unique_ptr<ModelResponse> makeBufferedResponse(ResponseFormat format)
{
    return std::make_unique<BufferedResponse>(std::move(format));
}

} // namespace almondridge::relay
