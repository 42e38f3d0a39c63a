#include "acceptedanswer.h"

#include "almondridge/gateway/endpoints.h"
#include "almondridge/net/bodyend.h"

#include <algorithm>
#include <utility>

namespace almondridge::gateway {
namespace {

constexpr int Ok = 200;
constexpr int FirstNotSuccess = 300;
/** The status of all refusals of peers. */
constexpr int Unavailable = 503;

/** What is asked of a success. */
struct Demands
{
    AnswerUse use_;
    bool signed_;
    bool goesOnWithStream_; ///< Its events follow others.
    bool onlyOk_;           ///< No other status of a success makes sense.
};

constexpr std::array<Demands, 6> DemandsByUse {{
    {AnswerUse::Whole, true, false, false},
    {AnswerUse::Stream, true, false, false},
    {AnswerUse::ResumeStream, true, true, false},
    {AnswerUse::GoOnStream, true, true, true},
    {AnswerUse::PromptHandle, false, false, false},
    {AnswerUse::OwnRequest, false, false, false},
}};

const Demands &demandsOf(AnswerUse use)
{
    return *std::find_if(DemandsByUse.begin(), DemandsByUse.end(),
                         [use](const Demands &row) { return row.use_ == use; });
}

bool mayHoldEvents(const net::Headers &headers)
{
    return net::headerValue(headers, "Content-Type").empty() || net::isEventStream(headers);
}

std::optional<AnswerDefect> defectOf(const async::ResponseHead &head, const ResponseInfo &info,
                                     const StreamOrigin &origin, const AnswerTerms &terms)
{
    if (info.encoded_) {
        return AnswerDefect::Encoded;
    }
    if (head.status_ >= FirstNotSuccess) {
        return std::nullopt;
    }
    const Demands &demands = demandsOf(terms.use_);
    if (demands.signed_ && !info.signed_) {
        return AnswerDefect::Unsigned;
    }
    if (demands.onlyOk_ && head.status_ != Ok) {
        return AnswerDefect::OtherStatus;
    }
    if (demands.goesOnWithStream_ && head.status_ == Ok && !mayHoldEvents(head.headers_)) {
        return AnswerDefect::OtherType;
    }
    const bool isOtherVersion = terms.version_ && !isSameVersion(origin.version_, *terms.version_);
    return isOtherVersion ? std::optional(AnswerDefect::OtherVersion) : std::nullopt;
}

/** Only a peer's own word counts, not that of the endpoint whose answer it passes on. */
void takeRefusal(ResponseInfo &info, std::optional<PeerRefusal> refusal)
{
    info.notRun_ = refusal.has_value();
    info.misdirected_ = false;
}

} // namespace

AcceptedAnswer::AcceptedAnswer(async::ResponseHead head, ResponseInfo info, StreamOrigin origin,
                               std::optional<PeerRefusal> peerRefusal)
    : head_(std::move(head))
    , info_(std::move(info))
    , origin_(std::move(origin))
    , peerRefusal_(peerRefusal)
{ }

bool AcceptedAnswer::mayHoldEvents() const
{
    return gateway::mayHoldEvents(head_.headers_);
}

std::optional<AnswerDefect> AcceptedAnswer::defectUnder(const AnswerTerms &terms) const
{
    const bool isPeers = terms.sender_ == AnswerSender::Peer;
    return defectOf(head_, info_, isPeers ? origin_ : terms.origin_, terms);
}

std::variant<AcceptedAnswer, AnswerDefect>
acceptAnswer(const Dialect &dialect, async::ResponseHead head, const AnswerTerms &terms)
{
    ResponseInfo info = dialect.parseResponse(head);
    const PeerAnswerInfo told = takePeerAnswerInfo(head.headers_);
    StreamOrigin origin = terms.origin_;
    std::optional<PeerRefusal> refusal;
    if (terms.sender_ == AnswerSender::Peer) {
        origin = told.origin_.value_or(StreamOrigin {terms.origin_.service_, {}});
        refusal = head.status_ == Unavailable && !info.signed_ ? told.refusal_ : std::nullopt;
        takeRefusal(info, refusal);
    }
    if (const auto defect = defectOf(head, info, origin, terms)) {
        return *defect;
    }
    return AcceptedAnswer(std::move(head), std::move(info), std::move(origin), refusal);
}

} // namespace almondridge::gateway
