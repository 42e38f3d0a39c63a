#include "engine/generation.h"

#include <algorithm>

namespace almondridge::standins {
namespace {

/** The text of a message's content: a string, or an array of parts with texts. */
Result<std::string> contentText(const Json &content)
{
    if (content.is_string()) {
        return content.get<std::string>();
    }
    if (!content.is_array()) {
        return wrongField("content", content, "a string or an array of text parts");
    }
    std::string joined;
    for (const Json &part : content) {
        std::string text;
        BOOST_LEAF_CHECK(readValue("text", part.value("text", Json()), text));
        joined += joined.empty() ? text : " " + text;
    }
    return joined;
}

Result<std::string> chatPrompt(const Json &body)
{
    const Json messages = body.value("messages", Json());
    if (!messages.is_array() || messages.empty()) {
        return wrongField("messages", messages, "at least one message");
    }
    std::string prompt;
    for (const Json &message : messages) {
        BOOST_LEAF_AUTO(text, contentText(message.value("content", Json())));
        prompt += " " + text;
    }
    return prompt;
}

Result<std::string> plainPrompt(const Json &body)
{
    const Json prompt = body.value("prompt", Json());
    if (!prompt.is_string()) {
        return wrongField("prompt", prompt, "one string");
    }
    return prompt.get<std::string>();
}

Result<void> readMaxTokens(const Json &body, std::int64_t &maxTokens)
{
    for (const char *name : {"max_tokens", "max_completion_tokens"}) {
        if (body.contains(name) && !body[name].is_null()) {
            BOOST_LEAF_CHECK(readValue(name, body[name], maxTokens));
        }
    }
    maxTokens = std::max<std::int64_t>(maxTokens, 1);
    return {};
}

Result<void> readKvTransfer(const Json &body, GenerationRequest &request)
{
    const Json params = body.value("kv_transfer_params", Json());
    if (!params.is_object()) {
        return {};
    }
    request.exportsKv_ = params.value("do_remote_decode", false);
    if (params.value("do_remote_prefill", false)) {
        KvSource source;
        BOOST_LEAF_ASSIGN(source.address_, net::parseAddress(params.value("remote_address", "")));
        source.ticket_ = params.value("ticket", "");
        request.kvSource_ = std::move(source);
    }
    return {};
}

} // namespace

Result<GenerationRequest> readGeneration(const Json &body, bool chat)
{
    if (!body.is_object()) {
        return wrongField("", body, "a JSON object");
    }
    GenerationRequest request;
    request.shape_.chat_ = chat;
    if (body.contains("model")) {
        BOOST_LEAF_CHECK(readValue("model", body["model"], request.shape_.model_));
    }
    if (body.contains("stream") && !body["stream"].is_null()) {
        BOOST_LEAF_CHECK(readValue("stream", body["stream"], request.shape_.streamed_));
    }
    const Json options = body.value("stream_options", Json());
    request.shape_.includeUsage_ = options.is_object() && options.value("include_usage", false);
    BOOST_LEAF_AUTO(prompt, chat ? chatPrompt(body) : plainPrompt(body));
    request.prompt_ = digestPrompt(prompt);
    BOOST_LEAF_CHECK(readMaxTokens(body, request.maxTokens_));
    BOOST_LEAF_CHECK(readKvTransfer(body, request));
    return request;
}

} // namespace almondridge::standins
