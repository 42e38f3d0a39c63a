/**
 * The two forms in which a caller gets a model's answer: as a stream of events, or whole.
 */
#pragma once

#include "engineevent.h"
#include "keyedcall.h"
#include "refusal.h"

#include "almondridge/net/httpserver.h"

#include <memory>
#include <string>

namespace almondridge::relay {

/** What every event and body of one answer repeats. */
struct ResponseFormat
{
    Api api_ = Api::Completions;
    std::string id_;
    std::string model_; ///< As the caller named it.
    std::int64_t createdSeconds_ = 0;
    bool includeUsage_ = false;
    net::Headers headers_ {};
};

/** How an answer ends. */
struct ResponseEnd
{
    std::string text_;
    std::string finishReason_;
    TokenUsage usage_;
};

/** The body of a whole answer. */
std::string completeBody(const ResponseFormat &format, const ResponseEnd &end);

class ModelResponse
{
public:
    virtual ~ModelResponse() = default;

    /** Takes an event whose tokens are the next ones; offset is in the whole answer. */
    virtual void token(EngineEvent &event, std::int64_t offset) = 0;
    /** Takes an event without tokens. */
    virtual void onOtherEvent(EngineEvent &event) = 0;
    /**
     * Callers of a stream get it in the headers or, once begun, with the next event; the one
     * before is then of no use any more.
     */
    virtual void resumeToken(std::string token) = 0;
    /** Sends what was taken, in one write. False when the caller cannot be written to. */
    virtual bool flush(net::ServerExchange &caller) = 0;
    /** Says on a begun stream that there is nothing yet. False when the caller is gone. */
    virtual bool keepAlive(net::ServerExchange &caller) = 0;
    /** Sends what is left, and the end. */
    virtual bool finish(net::ServerExchange &caller, const ResponseEnd &end) = 0;
    /** Ends a begun stream by an error. False when nothing was begun. */
    virtual bool refuse(net::ServerExchange &caller, const Refusal &refusal) = 0;
};

/** Answers with a stored whole body: as it is, or as a stream of one event. */
void respondStored(net::ServerExchange &caller, const ResponseFormat &format, bool stream,
                   const DuplicateResponse &duplicate);

std::unique_ptr<ModelResponse> makeStreamedResponse(ResponseFormat format);
std::unique_ptr<ModelResponse> makeBufferedResponse(ResponseFormat format);

} // namespace almondridge::relay
