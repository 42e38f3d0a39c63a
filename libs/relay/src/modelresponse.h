/**
 * The two formats of a model's response to its caller: a stream of events, or one complete body.
 */
#pragma once

#include "engineevent.h"
#include "keyedcall.h"
#include "refusal.h"

#include "almondridge/net/httpserver.h"

#include <memory>
#include <string>

namespace almondridge::relay {

/** The fields repeated in every event and body of one response. */
struct ResponseFormat
{
    Api api_ = Api::Completions;
    std::string id_;
    std::string model_;               ///< The name in the request.
    std::int64_t createdSeconds_ = 0; ///< Wall clock, seconds since the epoch.
    bool includeUsage_ = false;
    net::Headers headers_ {};
};

/** The text and final fields of a complete response. */
struct ResponseEnd
{
    std::string text_;
    std::string finishReason_;
    TokenUsage usage_;
};

/** The JSON body of a complete response. */
std::string completeBody(const ResponseFormat &format, const ResponseEnd &end);

/** Writes the response of one model call. */
class ModelResponse
{
public:
    virtual ~ModelResponse() = default;

    /** Buffers an event with the next tokens; offset counts from the start of the response. */
    virtual void onTokens(EngineEvent &event, std::int64_t offset) = 0;
    /** Buffers an event without tokens, if the caller needs it. */
    virtual void onOtherEvent(EngineEvent &event) = 0;
    /**
     * Sets the resume token to send: in the headers or, once the stream has started, with the next
     * event. It replaces the previous token.
     */
    virtual void setResumeToken(std::string token) = 0;
    /** Sends the buffered events in one write. False when writing to the caller fails. */
    virtual bool flush(net::ServerExchange &caller) = 0;
    /** Sends a comment on a started stream. False when writing to the caller fails. */
    virtual bool keepAlive(net::ServerExchange &caller) = 0;
    /** Sends the rest and ends the response. False when writing to the caller fails. */
    virtual bool finish(net::ServerExchange &caller, const ResponseEnd &end) = 0;
    /** Ends a started stream with an error event. False when nothing has been sent. */
    virtual bool refuse(net::ServerExchange &caller, const Refusal &refusal) = 0;
};

/** Responds with a stored body: unchanged, or as a stream with one token event. */
void respondStored(net::ServerExchange &caller, const ResponseFormat &format, bool stream,
                   const DuplicateResponse &duplicate);

std::unique_ptr<ModelResponse> makeStreamedResponse(ResponseFormat format);
std::unique_ptr<ModelResponse> makeBufferedResponse(ResponseFormat format);

} // namespace almondridge::relay
