#include "engine/answerwriter.h"

namespace almondridge::standins {
namespace {

std::string objectName(const AnswerShape &shape)
{
    if (!shape.chat_) {
        return "text_completion";
    }
    return shape.streamed_ ? "chat.completion.chunk" : "chat.completion";
}

/** The fields that all events of a stream share, as text: events are built for each token. */
std::string eventHead(const StreamStart &stream)
{
    const Json fields = {{"id", "cmpl-" + stream.attempt_},
                         {"object", objectName(stream.shape_)},
                         {"created", stream.shape_.createdSeconds_},
                         {"model", stream.shape_.model_}};
    std::string text = fields.dump();
    text.pop_back();
    return "data: " + text + ",\"offset\":";
}

} // namespace

AnswerWriter::AnswerWriter(const StreamStart &stream, std::int64_t offset)
    : stream_(stream)
    , text_(stream.prompt_)
    , offset_(std::min(offset, stream.maxTokens_))
    , head_(eventHead(stream))
{
    text_.skip(offset_);
}

std::string AnswerWriter::nextEvent(const AnswerEnd &end)
{
    const std::string word = " " + text_.next();
    std::string event = head_ + std::to_string(offset_) + ",\"choices\":[{\"index\":0,";
    if (stream_.shape_.chat_) {
        event += R"("delta":{)";
        event += offset_ == 0 ? R"("role":"assistant",)" : "";
        event += R"("content":")" + word + "\"}";
    } else {
        event += R"("text":")" + word + "\"";
    }
    ++offset_;
    if (offset_ < stream_.maxTokens_) {
        return event + ",\"finish_reason\":null}]}\n\n";
    }
    event += ",\"finish_reason\":\"length\"}]";
    if (stream_.shape_.includeUsage_) {
        event += ",\"usage\":" + usage(end).dump();
    }
    if (!end.kvTransferParams_.is_null()) {
        event += ",\"kv_transfer_params\":" + end.kvTransferParams_.dump();
    }
    return event + "}\n\n";
}

Json AnswerWriter::wholeAnswer(const AnswerEnd &end)
{
    std::string text;
    for (; offset_ < stream_.maxTokens_; ++offset_) {
        text += " " + text_.next();
    }
    Json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (stream_.shape_.chat_) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    Json answer = {
        {"id", "cmpl-" + stream_.attempt_},          {"object", objectName(stream_.shape_)},
        {"created", stream_.shape_.createdSeconds_}, {"model", stream_.shape_.model_},
        {"choices", Json::array({choice})},          {"usage", usage(end)}};
    if (!end.kvTransferParams_.is_null()) {
        answer["kv_transfer_params"] = end.kvTransferParams_;
    }
    return answer;
}

Json AnswerWriter::usage(const AnswerEnd &end) const
{
    const auto prompt = static_cast<std::int64_t>(stream_.prompt_.words());
    return {{"prompt_tokens", prompt},
            {"completion_tokens", stream_.maxTokens_},
            {"total_tokens", prompt + stream_.maxTokens_},
            {"prompt_tokens_details", {{"cached_tokens", end.cachedTokens_}}}};
}

std::string errorEvent(std::string_view code, std::string_view message)
{
    const Json body = {{"error", {{"code", code}, {"message", message}}}};
    return "data: " + body.dump() + "\n\n";
}

} // namespace almondridge::standins
