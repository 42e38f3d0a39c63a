/**
 * Decides whether what an endpoint or a peer sent is an answer to the request that it was sent, and
 * one that may be used as the request needs it. Until then it changes nothing: what uses an answer
 * takes an AcceptedAnswer, and only acceptAnswer() makes one.
 */
#pragma once

#include "almondridge/base/enumnames.h"
#include "almondridge/gateway/dialect.h"
#include "almondridge/gateway/streamorigin.h"
#include "peerrequest.h"

#include <array>
#include <optional>
#include <variant>

namespace almondridge::gateway {

/** What the answer to a request is used for. */
enum class AnswerUse {
    Whole,        ///< Passed on once it is complete.
    Stream,       ///< The first of a stream.
    ResumeStream, ///< The first that the caller gets, who asks for what follows an event.
    GoOnStream,   ///< Goes on with what the caller has of an earlier answer.
    PromptHandle, ///< For this instance: names a prompt that was read.
    OwnRequest,   ///< For this instance: a report, or the result of an order.
};

enum class AnswerSender { Endpoint, Peer };

/** Why an answer isn't accepted. */
enum class AnswerDefect {
    Unsigned,     ///< A success without the endpoint's signature.
    Encoded,      ///< Callers ask for no content coding, so that this isn't the body signed.
    OtherStatus,  ///< A success that can't go on with a stream.
    OtherType,    ///< No event stream, where a stream goes on.
    OtherVersion, ///< Not surely of the software version that began the stream.
    OtherPlace,   ///< Its events don't follow those that the caller has.
};

inline constexpr std::array<EnumName<AnswerDefect>, 6> AnswerDefectNames {{
    {AnswerDefect::Unsigned, "unsigned"},
    {AnswerDefect::Encoded, "encoded"},
    {AnswerDefect::OtherStatus, "other-status"},
    {AnswerDefect::OtherType, "other-type"},
    {AnswerDefect::OtherVersion, "other-version"},
    {AnswerDefect::OtherPlace, "other-place"},
}};

/** What an answer has to be, apart from a valid head with the request's id (async::HttpClient). */
struct AnswerTerms
{
    AnswerUse use_ = AnswerUse::Whole;
    AnswerSender sender_ = AnswerSender::Endpoint;
    /** Of what the sender streams; the answer of a peer tells it. */
    StreamOrigin origin_ {};
    /** A success has to be of this version; nullopt: of any. */
    std::optional<SoftwareVersion> version_ {};
};

class AcceptedAnswer;

std::variant<AcceptedAnswer, AnswerDefect>
acceptAnswer(const Dialect &dialect, async::ResponseHead head, const AnswerTerms &terms);

class AcceptedAnswer
{
public:
    int status() const noexcept { return head_.status_; }
    const async::ResponseHead &head() const noexcept { return head_; }
    const ResponseInfo &info() const noexcept { return info_; }
    /** Of what it streams; its version is empty if it isn't known. */
    const StreamOrigin &origin() const noexcept { return origin_; }
    /** The peer sent the request to no endpoint; nullopt: an endpoint's answer. */
    std::optional<PeerRefusal> peerRefusal() const noexcept { return peerRefusal_; }
    /** Whether its body is taken for events: also one of no named type, on a streaming route. */
    bool mayHoldEvents() const;
    /** Whether its sender states that the request wasn't and won't be executed. */
    bool isNotRun() const noexcept { return info_.notRun_; }

    /** Why it isn't accepted any more, as the list of endpoints may have changed; nullopt: it is.
     */
    std::optional<AnswerDefect> defectUnder(const AnswerTerms &terms) const;

private:
    friend std::variant<AcceptedAnswer, AnswerDefect>
    acceptAnswer(const Dialect &dialect, async::ResponseHead head, const AnswerTerms &terms);
    AcceptedAnswer(async::ResponseHead head, ResponseInfo info, StreamOrigin origin,
                   std::optional<PeerRefusal> peerRefusal);

    async::ResponseHead head_;
    ResponseInfo info_;
    StreamOrigin origin_;
    std::optional<PeerRefusal> peerRefusal_;
};

} // namespace almondridge::gateway
