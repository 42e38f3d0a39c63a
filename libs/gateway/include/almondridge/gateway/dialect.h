/**
 * What the gateway needs to know of messages on the wire, in its own terms. One implementation
 * knows the names of headers and bodies that callers and endpoints use.
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

/** A part of a prompt. Requests share parts; equal ids are equal text. */
struct PromptPart
{
    std::uint64_t id_ = 0;
    std::int64_t tokens_ = 0;
};

struct Prompt
{
    std::string model_;
    std::int64_t tokens_ = 0;       ///< Of the whole prompt.
    std::int64_t outputTokens_ = 0; ///< At most.
    std::vector<PromptPart> parts_; ///< In order; the last one is the request's own.

    std::int64_t ownTokens() const noexcept
    {
        return parts_.empty() ? tokens_ : parts_.back().tokens_;
    }
};

/** What a caller's request says of itself. */
struct CallFacts
{
    std::string requestId_;
    std::optional<std::int64_t> patienceMillis_; ///< How long the caller will wait.
    std::optional<Prompt> prompt_;
    std::string lastEventId_; ///< The caller resumes a stream after this event.
};

/** A prompt that an engine has read and keeps for another engine to fetch. */
struct PromptHandle
{
    net::Address source_;
    std::string handle_;
};

/** What is asked of an endpoint beside the caller's own words. */
struct SendOrder
{
    EndpointId endpoint_;
    AccountId account_; ///< Whose request it is; empty: nobody's.
    std::int64_t patienceMillis_ = 0;
    std::optional<int> urgency_; ///< Engines serve 0 first.
    bool prefillOnly_ = false;
    std::optional<PromptHandle> prompt_;
    /** Another engine that has parts of the prompt cached: they are copied instead of read. */
    std::optional<net::Address> copyPartsFrom_;
    std::string resumeAfter_; ///< Go on after this event; empty: as the caller asked.
};

/** What the head of an endpoint's answer says beside its status. */
struct AnswerFacts
{
    bool notRun_ = false;      ///< The endpoint promises that it did not run the request.
    bool misdirected_ = false; ///< And that it takes no such requests, or is another one.
    bool signed_ = false;      ///< It vouches for the answer as its own.
    std::optional<LoadSample> load_;
    std::optional<std::int64_t> retryAfterMillis_;
};

/** What an engine tells of itself when asked. */
struct EngineReport
{
    Stage stage_ = Stage::None;
    bool changing_ = false;            ///< An order is being carried out.
    std::uint64_t orders_ = 0;         ///< Orders accepted in this lifetime.
    std::int64_t startedAtMillis_ = 0; ///< As ListedEndpoint::startedAtMillis_.
};

/** An order that changes what an engine does. */
struct StageOrder
{
    net::Address address_;
    EndpointId engine_;
    Stage stage_ = Stage::None;
    std::string holder_; ///< Who gives it.
    Fence fence_ = 0;
    std::uint64_t expectedOrders_ = 0; ///< Refused if the engine took others since.
};

class Dialect
{
public:
    virtual ~Dialect() = default;

    virtual CallFacts readCall(const async::RequestHead &head) const = 0;
    /** The key that a caller shows; it is taken off the request. */
    virtual Credentials takeCredentials(async::RequestHead &head) const = 0;
    /** The request as it is sent to an endpoint, head and body. */
    virtual std::string requestText(const async::RequestHead &head, const std::string &body,
                                    const SendOrder &order) const = 0;
    virtual AnswerFacts readAnswer(const async::ResponseHead &head) const = 0;
    /** The headers of an endpoint's answer that its caller gets. */
    virtual net::Headers callerHeaders(const net::Headers &headers) const = 0;
    /** The handle in the answer to a prefill; empty when there is none. */
    virtual std::string readHandle(const std::string &body) const = 0;
    /** The request that frees a handle that nobody will fetch. */
    virtual std::string dropHandleText(const net::Address &address,
                                       const std::string &handle) const = 0;
    virtual std::string reportText(const net::Address &address) const = 0;
    virtual std::optional<EngineReport> readReport(const std::string &body) const = 0;
    virtual std::string orderText(const StageOrder &order) const = 0;
    /** A refusal that tells the caller when to come back. */
    virtual net::Response refusal(int status, std::optional<std::int64_t> retryAfterMillis,
                                  std::string_view reason) const = 0;
};

} // namespace almondridge::gateway
