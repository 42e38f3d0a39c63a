/**
 * Links: processing of answers.
 */
#include "errormessage.h"
#include "links.h"

namespace almondridge::peers {

bool Links::takeEvents(std::uint64_t token)
{
    const auto found = links_.find(token);
    Link &link = found->second;
    for (const H2Event &event : link.connection_.session().takeEvents()) {
        const auto entry = link.exchanges_.find(event.stream_);
        if (entry == link.exchanges_.end()) {
            continue;
        }
        const Exchange exchange = std::move(entry->second);
        link.exchanges_.erase(entry);
        if (event.kind_ == H2EventKind::Message) {
            if (!takeAnswer(link, exchange, event.message_)) {
                return false;
            }
        } else if (exchange.call_ != 0 && event.refused_) {
            calls_.finish(exchange.call_,
                          Error {ErrorKind::Unavailable, "the peer refused the stream",
                                 "try again, or send it to another instance"});
        } else if (exchange.call_ != 0) {
            calls_.giveUp(exchange.call_, event.kind_ == H2EventKind::TooLarge
                                              ? "the answer is too large"
                                              : "the peer reset the stream");
        } else {
            refused(token, {ErrorKind::Protocol, "the peer reset a heartbeat",
                            "check that an entry instance listens there"});
            return false;
        }
    }
    return true;
}

bool Links::takeAnswer(Link &link, const Exchange &exchange, const H2Message &answer)
{
    if (!parts_.credentials_.checkAnswer(answer, exchange.nonce_)) {
        // A peer that rejects an unauthenticated request answers without a proof.
        const bool unproved = answer.proof_.empty() && answer.status_ == StatusUnauthorized;
        const Error error =
            unproved
                ? decodeError(answer.status_, answer.body_)
                : Error {
                    ErrorKind::Unauthorized, "the answer's proof is wrong",
                    "set the same peerKey on all entry instances, and check what listens there"};
        if (exchange.call_ != 0) {
            calls_.finish(exchange.call_, error);
        }
        refused(link.token_, error);
        return false;
    }
    if (exchange.call_ == 0) {
        return takeHeartbeat(link, exchange, answer);
    }
    takeCallAnswer(exchange, answer);
    return true;
}

bool Links::takeHeartbeat(Link &link, const Exchange &exchange, const H2Message &answer)
{
    if (answer.status_ != StatusOk) {
        refused(link.token_, decodeError(answer.status_, answer.body_));
        return false;
    }
    const auto decoded = capture([&] {
        return decodeHeartbeat(answer.body_, InstanceId(answer.instance_),
                               DomainId(answer.domain_));
    });
    if (const Error *error = std::get_if<Error>(&decoded)) {
        refused(link.token_, *error);
        return false;
    }
    const Heartbeat &heartbeat = std::get<Heartbeat>(decoded);
    const HeardVerdict verdict = parts_.membership_.onHeartbeat(heartbeat, link.address_);
    parts_.membership_.exchanged(exchange.bodyBytes_ + answer.body_.size());
    if (verdict != HeardVerdict::Fresh && verdict != HeardVerdict::Late) {
        close(link.token_, "the instance there was not accepted as a member: "
                               + std::string(nameOf(HeardVerdictNames, verdict)));
        return false;
    }
    greeted(link, heartbeat.sender_);
    return true;
}

void Links::takeCallAnswer(const Exchange &exchange, const H2Message &answer)
{
    if (answer.status_ != StatusOk) {
        calls_.finish(exchange.call_, decodeError(answer.status_, answer.body_));
        return;
    }
    std::optional<nlohmann::json> value = decodeCbor(answer.body_);
    if (!value) {
        calls_.finish(exchange.call_,
                      Error {ErrorKind::Protocol, "the answer is not CBOR",
                             "run the same version of almondridge on all entry instances"});
        return;
    }
    calls_.finish(exchange.call_, std::move(*value));
}

} // namespace almondridge::peers
