/**
 * Translation between the messages on the wire and the gateway's own types. The implementation of
 * Dialect knows the names of headers and the formats of bodies that callers and endpoints use.
 */
#pragma once

#include "almondridge/async/parser.h"
#include "almondridge/gateway/credentials.h"
#include "almondridge/gateway/endpoints.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondridge::gateway {

/** A part of a prompt that requests can share; parts with equal ids have equal text. */
struct PromptPart
{
    std::uint64_t id_ = 0;
    std::int64_t tokens_ = 0;
};

struct Prompt
{
    std::string model_;
    std::int64_t tokens_ = 0;       ///< Length of the whole prompt.
    std::int64_t outputTokens_ = 0; ///< Upper limit for the generated tokens.
    std::vector<PromptPart> parts_; ///< In order; only the last one isn't shared.

    /** Tokens of the last part, which no other request shares. */
    std::int64_t unsharedTokens() const noexcept
    {
        return parts_.empty() ? tokens_ : parts_.back().tokens_;
    }
};

/** Metadata from the head of a caller's request. */
struct RequestInfo
{
    std::string requestId_;
    std::optional<std::int64_t> maxWaitMillis_; ///< How long the caller waits for the answer.
    std::optional<Prompt> prompt_;
    std::string lastEventId_; ///< A resumed stream continues after this event; empty: new stream.
    std::string resumes_;     ///< Id of the request that brought the resumed stream's first event.
};

/** A prefilled prompt that an engine keeps until another engine fetches its KV cache. */
struct PromptHandle
{
    net::Address source_; ///< Of the engine that prefilled the prompt.
    std::string handle_;
};

/** What the gateway adds to a caller's request when it sends it to an endpoint. */
struct DispatchOptions
{
    EndpointId endpoint_;
    AccountId account_;                  ///< The account that made the request; empty: none.
    std::int64_t maxWaitMillis_ = 0;     ///< Time left until the request's deadline.
    std::optional<int> urgency_;         ///< Engines serve lower values first.
    bool prefillOnly_ = false;           ///< Prefill the prompt and answer with a handle.
    std::optional<PromptHandle> prompt_; ///< Fetch this prompt instead of prefilling it.
    /** An engine that has parts of the prompt cached; they are copied instead of prefilled. */
    std::optional<net::Address> copyPartsFrom_;
    std::string resumeAfter_; ///< Continue the stream after this event; empty: as the caller asked.
};

/** Metadata from the head of an endpoint's response, apart from the status. */
struct ResponseInfo
{
    bool notRun_ = false; ///< The endpoint asserts that it didn't execute the request.
    /** The endpoint doesn't serve such requests, or isn't the one addressed; notRun_ is set too. */
    bool misdirected_ = false;
    bool signed_ = false;  ///< The response carries the endpoint's signature.
    bool encoded_ = false; ///< The body has a content coding, which no request asks for.
    std::optional<LoadSample> load_;
    /** The value of a load header that is invalid in whole or in part, cut; empty: none is. */
    std::string invalidLoad_;
    /** How long the endpoint, which refused the request, wants no other of this instance. */
    std::optional<std::int64_t> backoffMillis_;
    bool leaving_ = false; ///< The endpoint is shutting down.
    /** Requests a second that the endpoint takes from all instances together. */
    std::optional<double> limitPerSecond_;
};

/** An engine's answer to a status query. */
struct EngineStatus
{
    Stage stage_ = Stage::None;
    bool changing_ = false;            ///< A stage change is in progress.
    std::uint64_t orders_ = 0;         ///< Number of orders accepted since the engine started.
    std::int64_t startedAtMillis_ = 0; ///< Start time, as in ListedEndpoint::startedAtMillis_.
};

/** An order to an engine to change its stage. */
struct StageOrder
{
    net::Address address_;
    EndpointId engine_;
    Stage stage_ = Stage::None;
    std::string holder_; ///< The instance that gives the order: the holder of the leader lease.
    Fence fence_ = 0;    ///< Engines refuse orders with a lower number than they have seen.
    std::uint64_t expectedOrders_ = 0; ///< Refused if EngineStatus::orders_ differs.
};

/** Parser and serializer of the messages of callers and endpoints. */
class Dialect
{
public:
    virtual ~Dialect() = default;

    virtual RequestInfo parseRequest(const async::RequestHead &head) const = 0;
    /** Returns the API key of a request and removes it from the head. */
    virtual Credentials takeCredentials(async::RequestHead &head) const = 0;
    /** The request as sent to an endpoint, head and body. */
    virtual std::string serializeRequest(const async::RequestHead &head, const std::string &body,
                                         const DispatchOptions &options) const = 0;
    virtual ResponseInfo parseResponse(const async::ResponseHead &head) const = 0;
    /** The headers of an endpoint's response that are forwarded to the caller. */
    virtual net::Headers callerHeaders(const net::Headers &headers) const = 0;
    /** The handle in the response body of a prefill; empty if there is none. */
    virtual std::string parsePromptHandle(const std::string &body) const = 0;
    /** The request that makes an engine release a handle that no engine will fetch. */
    virtual std::string serializeHandleRelease(const net::Address &address,
                                               const std::string &handle) const = 0;
    /** The request for an engine's status. */
    virtual std::string serializeStatusQuery(const net::Address &address) const = 0;
    /** The response body of a status query; nullopt if it isn't valid. */
    virtual std::optional<EngineStatus> parseEngineStatus(const std::string &body) const = 0;
    virtual std::string serializeOrder(const StageOrder &order) const = 0;
    /** An error response, with the time after which the caller should retry if there is one. */
    virtual net::Response refusal(int status, std::optional<std::int64_t> retryAfterMillis,
                                  std::string_view reason) const = 0;
};

} // namespace almondridge::gateway
