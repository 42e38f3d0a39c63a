/**
 * Links: processing of answers.
 */
#include "errormessage.h"
#include "links.h"

namespace almondridge::peers {

bool Links::processEvents(std::uint64_t token)
{
    const auto found = links_.find(token);
    Link &link = found->second;
    for (const H2Event &event : link.connection_.session().takeEvents()) {
        const auto entry = link.pendingRequests_.find(event.stream_);
        if (entry == link.pendingRequests_.end()) {
            continue;
        }
        const PendingRequest pending = std::move(entry->second);
        link.pendingRequests_.erase(entry);
        if (event.kind_ == H2EventKind::Message) {
            if (!processAnswer(link, pending, event.message_)) {
                return false;
            }
        } else if (pending.call_ != 0 && event.refused_) {
            calls_.finish(pending.call_,
                          Error {ErrorKind::Unavailable, "the peer refused the stream",
                                 "try again, or send it to another instance"});
        } else if (pending.call_ != 0) {
            calls_.failCall(pending.call_, event.kind_ == H2EventKind::TooLarge
                                               ? "the answer is too large"
                                               : "the peer reset the stream");
        } else {
            onRefused(token, {ErrorKind::Protocol, "the peer reset a heartbeat",
                              "check that an entry instance listens there"});
            return false;
        }
    }
    return true;
}

bool Links::processAnswer(Link &link, const PendingRequest &pending, const H2Message &answer)
{
    if (!context_.credentials_.checkAnswer(answer, pending.nonce_)) {
        // A peer that rejects an unauthenticated request answers without a proof.
        const bool unauthenticated = answer.proof_.empty() && answer.status_ == StatusUnauthorized;
        const Error error =
            unauthenticated
                ? decodeError(answer.status_, answer.body_)
                : Error {
                    ErrorKind::Unauthorized, "the answer's proof is wrong",
                    "set the same peerKey on all entry instances, and check what listens there"};
        if (pending.call_ != 0) {
            calls_.finish(pending.call_, error);
        }
        onRefused(link.token_, error);
        return false;
    }
    if (pending.call_ == 0) {
        return processHeartbeatAnswer(link, pending, answer);
    }
    processCallAnswer(pending, answer);
    return true;
}

bool Links::processHeartbeatAnswer(Link &link, const PendingRequest &pending,
                                   const H2Message &answer)
{
    if (answer.status_ != StatusOk) {
        onRefused(link.token_, decodeError(answer.status_, answer.body_));
        return false;
    }
    const auto decoded = capture([&] {
        return decodeHeartbeat(answer.body_, InstanceId(answer.instance_),
                               DomainId(answer.domain_));
    });
    if (const Error *error = std::get_if<Error>(&decoded)) {
        onRefused(link.token_, *error);
        return false;
    }
    const Heartbeat &heartbeat = std::get<Heartbeat>(decoded);
    const HeartbeatResult result = context_.membership_.onHeartbeat(heartbeat, link.address_);
    context_.membership_.onExchanged(pending.bodyBytes_ + answer.body_.size());
    if (result != HeartbeatResult::Fresh && result != HeartbeatResult::Stale) {
        close(link.token_, "the instance there was not accepted as a member: "
                               + std::string(nameOf(HeartbeatResultNames, result)));
        return false;
    }
    onHeartbeatAnswer(link, heartbeat.sender_);
    return true;
}

void Links::processCallAnswer(const PendingRequest &pending, const H2Message &answer)
{
    if (answer.status_ != StatusOk) {
        calls_.finish(pending.call_, decodeError(answer.status_, answer.body_));
        return;
    }
    std::optional<nlohmann::json> value = decodeCbor(answer.body_);
    if (!value) {
        calls_.finish(pending.call_,
                      Error {ErrorKind::Protocol, "the answer is not CBOR",
                             "run the same version of almondridge on all entry instances"});
        return;
    }
    calls_.finish(pending.call_, std::move(*value));
}

} // namespace almondridge::peers
