#include "almondridge/replication/protocol.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

namespace almondridge::replication {
namespace {

using Json = nlohmann::json;

constexpr std::string_view RequestPath = "/news?";
constexpr std::string_view WaitForLostStoreFlag = "&patient";
constexpr std::string_view AcceptsCompressedFlag = "&unpacks";
/** Offsets are positions across restores of the store. */
constexpr std::string_view KnowsErasFlag = "&eras";
/** Fields of a change: topic, key, value, offset, and, if compressed, the value's size. */
constexpr std::size_t CompressedChangeFields = 5;
/** Of MaxChangesPerResponse changes, each with a record of the largest size that is in use. */
constexpr std::size_t MaxAnswerBytes = 16'777'216;
constexpr std::int64_t ConnectTimeoutMillis = 250;
/** Pending polls are answered when the read time has advanced by this since their last data. */
constexpr Duration MinConfirmationStep = millis(300);
constexpr char EndsSeparator = '.';

std::uint64_t numberParameter(std::string_view target, std::string_view name)
{
    std::uint64_t number = 0;
    const std::size_t at = target.find(name);
    if (at != std::string_view::npos) {
        const std::string_view digits = target.substr(at + name.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    }
    return number;
}

std::string formatEnds(const TopicEnds &ends)
{
    return fmt::format("{}", fmt::join(ends, "."));
}

/** Missing ends are 0. */
TopicEnds endsParameter(std::string_view target, std::string_view name)
{
    TopicEnds ends {};
    std::size_t at = target.find(name);
    at = at != std::string_view::npos ? at + name.size() : target.size();
    for (LogOffset &end : ends) {
        const char *const last = target.data() + target.size();
        const auto read = std::from_chars(target.data() + at, last, end);
        at = static_cast<std::size_t>(read.ptr - target.data());
        if (at >= target.size() || target[at] != EndsSeparator) {
            break;
        }
        ++at;
    }
    return ends;
}

/** nullopt: the peer doesn't know it, or its version doesn't send it. */
std::optional<TimePoint> readAsOf(const Json &json, std::size_t index, TimePoint requestedAt)
{
    const auto proofs = json.find("proofs");
    if (proofs == json.end() || proofs->at(index).is_null()) {
        return std::nullopt;
    }
    return requestedAt - millis(proofs->at(index).get<std::int64_t>());
}

Json encodeChange(const Change &change, CompressedValueCache *compressed)
{
    const auto topic = static_cast<int>(change.topic_);
    const std::string *bytes =
        compressed != nullptr ? compressed->compressedFormOf(change) : nullptr;
    if (bytes == nullptr) {
        return {topic, change.key_, change.value_, change.offset_};
    }
    return {topic, change.key_, Json::binary({bytes->begin(), bytes->end()}), change.offset_,
            change.value_.size()};
}

/** nullopt: the record has none, or the peer's version doesn't send it. */
std::optional<RecordRevision> readRevision(const Json &json, std::size_t index)
{
    const auto revisions = json.find("revisions");
    if (revisions == json.end() || revisions->at(index).is_null()) {
        return std::nullopt;
    }
    const Json &revision = revisions->at(index);
    const bool valid = revision.is_array() && revision.size() == 2
                       && revision.front().is_number_unsigned()
                       && revision.back().is_number_unsigned();
    return valid ? std::optional(RecordRevision {revision.front().get<std::uint64_t>(),
                                                 revision.back().get<std::uint64_t>()})
                 : std::nullopt;
}

/** nullopt: the topic is unknown, or the compressed value is invalid. */
std::optional<Change> decodeChange(const Json &json)
{
    const auto topic = json.at(0).get<std::size_t>();
    if (topic >= TopicCount) {
        return std::nullopt;
    }
    Change change {
        static_cast<Topic>(topic), json.at(1).get<std::string>(), {}, json.at(3).get<LogOffset>()};
    if (json.size() < CompressedChangeFields) {
        change.value_ = json.at(2).get<std::string>();
        return change;
    }
    const Json::binary_t &bytes = json.at(2).get_binary();
    auto value = decompressValue({reinterpret_cast<const char *>(bytes.data()), bytes.size()},
                                 json.at(4).get<std::size_t>());
    if (!value) {
        return std::nullopt;
    }
    change.value_ = std::move(*value);
    return change;
}

std::optional<Change> tryDecodeChange(const Json &json)
{
    try {
        return decodeChange(json);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

/** A change that can't be decoded costs one key, but without the configuration nothing is served.
 */
bool isDispensable(const Json &change)
{
    const bool hasTopic =
        change.is_array() && !change.empty() && change.front().is_number_unsigned();
    return hasTopic && change.front().get<std::size_t>() != static_cast<std::size_t>(Topic::Config);
}

} // namespace

std::string encodeChanges(const ChangeSet &set, std::uint64_t lifetime, bool storeLost,
                          TimePoint now, TimePoint requestedAt, CompressedValueCache *compressed)
{
    Json changes = Json::array();
    Json revisions = Json::array();
    for (const Change &change : set.changes_) {
        changes.push_back(encodeChange(change, compressed));
        revisions.push_back(change.revision_ ? Json::array(
                                {change.revision_->incarnation_, change.revision_->number_})
                                             : Json(nullptr));
    }
    Json ages = Json::array();
    Json ends = Json::array();
    Json proofs = Json::array();
    for (const TopicState &topic : set.topics_) {
        ages.push_back(topic.readAt_ ? Json(toMillis(now - *topic.readAt_)) : Json(nullptr));
        ends.push_back(topic.end_);
        proofs.push_back(topic.asOf_ ? Json(toMillis(requestedAt - *topic.asOf_) + 1)
                                     : Json(nullptr));
    }
    const Json json {{"lifetime", lifetime},      {"lost", storeLost},  {"whole", set.isSnapshot_},
                     {"first", set.isFirstPart_}, {"more", set.more_},  {"next", set.nextSequence_},
                     {"base", set.historyStart_}, {"ages", ages},       {"ends", ends},
                     {"proofs", proofs},          {"changes", changes}, {"revisions", revisions}};
    std::string body;
    Json::to_cbor(json, body);
    return body;
}

std::optional<ReceivedChanges> decodeChanges(const std::string &body, TimePoint now,
                                             TimePoint requestedAt)
{
    try {
        const Json json = Json::from_cbor(body);
        ReceivedChanges received;
        received.lifetime_ = json.at("lifetime").get<std::uint64_t>();
        received.storeLost_ = json.at("lost").get<bool>();
        received.set_.isSnapshot_ = json.at("whole").get<bool>();
        received.set_.isFirstPart_ = json.value("first", received.set_.isSnapshot_);
        received.set_.more_ = json.value("more", false);
        received.set_.nextSequence_ = json.at("next").get<std::uint64_t>();
        received.set_.historyStart_ = json.value("base", std::uint64_t {0});
        for (std::size_t index = 0; index < TopicCount; ++index) {
            const Json &age = json.at("ages").at(index);
            if (!age.is_null()) {
                received.set_.topics_[index].readAt_ = now - millis(age.get<std::int64_t>());
            }
            received.set_.topics_[index].end_ = json.at("ends").at(index).get<LogOffset>();
            received.set_.topics_[index].asOf_ = readAsOf(json, index, requestedAt);
        }
        std::size_t index = 0;
        for (const Json &entry : json.at("changes")) {
            auto change = tryDecodeChange(entry);
            if (change) {
                change->revision_ = readRevision(json, index);
                received.set_.changes_.push_back(std::move(*change));
            } else if (!isDispensable(entry)) {
                return std::nullopt;
            }
            ++index;
        }
        return received;
    } catch (const Json::exception &) {
        return std::nullopt; // The caller reports the peer's response as malformed.
    }
}

ReplicationServer::ReplicationServer(async::EventLoop &loop, const TopicReplica &replica,
                                     std::uint64_t lifetime)
    : replica_(replica)
    , lifetime_(lifetime)
    , timer_(loop)
    , loop_(loop)
{ }

bool ReplicationServer::takes(const async::ServerCall &call) const
{
    return call.head_.target_.starts_with(RequestPath);
}

ReplicationServer::PollRequest
ReplicationServer::readPollRequest(const async::ServerCall &call) const
{
    const std::string &target = call.head_.target_;
    PollRequest pollRequest {call.id_,
                             {},
                             endsParameter(target, "ends="),
                             call.startedAt_,
                             target.find(AcceptsCompressedFlag) != std::string::npos,
                             target.find(KnowsErasFlag) != std::string::npos};
    if (numberParameter(target, "lifetime=") == lifetime_) {
        pollRequest.cursor_ = {numberParameter(target, "from="), numberParameter(target, "base="),
                               numberParameter(target, "listing=") != 0};
    }
    return pollRequest;
}

void ReplicationServer::answer(async::HttpServer &server, const async::ServerCall &call)
{
    server_ = &server;
    const PollRequest pollRequest = readPollRequest(call);
    const TimePoint now = BootClock::now();
    // A response with stale data would be useless. This instance may be about to get newer data: if
    // its own upstream failed, the peer that polls it may have lost the same upstream just now.
    if (!replica_.isAtEnd(pollRequest.cursor_) && isFresh(now)) {
        respond(pollRequest);
        return;
    }
    const bool waitsForLostStore = call.head_.target_.ends_with(WaitForLostStoreFlag);
    if (hasNoDataFor(pollRequest) && !waitsForLostStore) {
        respond(pollRequest);
        return;
    }
    pending_.push_back({pollRequest, now + LongPollTimeout, waitsForLostStore});
    if (pending_.size() == 1) {
        timer_.startAt(pending_.front().until_, [this] { respondToExpired(); });
    }
}

bool ReplicationServer::hasNoDataFor(const PollRequest &pollRequest) const
{
    return storeLost_ || !pollRequest.knowsEras_;
}

ChangeSet ReplicationServer::changesFor(const PollRequest &pollRequest) const
{
    const bool hasAllTopics = oldestReadAge(replica_.topics(), BootClock::now()).has_value();
    if (hasNoDataFor(pollRequest) || !hasAllTopics) {
        // No usable data, or not yet: an incomplete list isn't sent.
        ChangeSet empty;
        empty.nextSequence_ = pollRequest.cursor_.nextSequence_;
        empty.historyStart_ = pollRequest.cursor_.historyStart_;
        return empty;
    }
    const bool isNew = pollRequest.cursor_.historyStart_ == 0;
    const auto missing = isNew ? replica_.changesBeyond(pollRequest.ends_, MaxChangesPerResponse)
                               : std::optional<ChangeSet>();
    return missing ? *missing : replica_.after(pollRequest.cursor_, MaxChangesPerResponse);
}

void ReplicationServer::respond(const PollRequest &pollRequest)
{
    CompressedValueCache *const compressed =
        pollRequest.acceptsCompressed_ ? &compressedValues_ : nullptr;
    server_->respond(pollRequest.id_,
                     {200,
                      {},
                      encodeChanges(changesFor(pollRequest), lifetime_, hasNoDataFor(pollRequest),
                                    BootClock::now(), pollRequest.requestedAt_, compressed)});
}

void ReplicationServer::respondToExpired()
{
    const TimePoint now = BootClock::now();
    while (!pending_.empty() && pending_.front().until_ <= now) {
        respond(pending_.front().request_);
        pending_.pop_front();
    }
    if (!pending_.empty()) {
        timer_.startAt(pending_.front().until_, [this] { respondToExpired(); });
    }
}

bool ReplicationServer::isFresh(TimePoint now) const
{
    const auto age = oldestReadAge(replica_.topics(), now);
    return age && *age <= MaxUsableAge;
}

void ReplicationServer::setStoreLost(bool storeLost)
{
    if (storeLost == storeLost_) {
        return;
    }
    storeLost_ = storeLost;
    if (storeLost) {
        respondWhere(
            [](const PendingPoll &pendingPoll) { return !pendingPoll.waitsForLostStore_; });
    }
}

void ReplicationServer::respondWhere(const std::function<bool(const PendingPoll &)> &predicate)
{
    std::list<PendingPoll> answered;
    for (auto one = pending_.begin(); one != pending_.end();) {
        const auto next = std::next(one);
        if (predicate(*one)) {
            answered.splice(answered.end(), pending_, one);
        }
        one = next;
    }
    for (const PendingPoll &pendingPoll : answered) {
        respond(pendingPoll.request_);
    }
}

void ReplicationServer::onConfirmed()
{
    const TimePoint now = BootClock::now();
    if (!isFresh(now)) {
        return;
    }
    const TimePoint readAt = now - *oldestReadAge(replica_.topics(), now);
    if (readAt < lastConfirmedReadAt_ + MinConfirmationStep) {
        respondWhere([this](const PendingPoll &pendingPoll) {
            return !replica_.isAtEnd(pendingPoll.request_.cursor_);
        });
        return;
    }
    lastConfirmedReadAt_ = readAt;
    respondWhere([](const PendingPoll &) { return true; });
}

void ReplicationServer::forget(const async::CallId &id)
{
    pending_.remove_if(
        [&](const PendingPoll &pendingPoll) { return pendingPoll.request_.id_ == id; });
}

void ReplicationServer::onChanged()
{
    if (pending_.empty() || notificationPosted_) {
        return;
    }
    // Deferred, so that all changes of one read go into one response.
    notificationPosted_ = true;
    loop_.post([this] {
        notificationPosted_ = false;
        for (const PendingPoll &pendingPoll : std::exchange(pending_, {})) {
            respond(pendingPoll.request_);
        }
    });
}

ReplicationClient::ReplicationClient(async::EventLoop &loop, Events events)
    : client_(loop)
    , events_(std::move(events))
    , timer_(loop)
{ }

void ReplicationClient::follow(const net::Address &peer, bool waitsForLostStore)
{
    stop();
    waitsForLostStore_ = waitsForLostStore;
    peer_ = peer;
    lifetime_ = 0;
    cursor_ = {};
    poll();
}

void ReplicationClient::stop()
{
    peer_.reset();
    timer_.stop();
    client_.cancel(exchange_);
    exchange_ = 0;
}

/** Each part that arrives restarts the timeout: a snapshot over a slow link takes longer. */
void ReplicationClient::restartTimeout()
{
    timer_.startAt(std::min(BootClock::now() + ResponseTimeout, requestedAt_ + MaxTransferTime),
                   [this] { fail(PeerFailure::Timeout); });
}

void ReplicationClient::poll()
{
    const TimePoint now = BootClock::now();
    requestedAt_ = now;
    progress_ = {};
    restartTimeout();
    async::ExchangeRequest request;
    request.peer_ = net::toString(*peer_);
    request.address_ = *peer_;
    request.connectBy_ = now + millis(ConnectTimeoutMillis);
    request.maxBodyBytes_ = MaxAnswerBytes;
    request.text_ = fmt::format(
        "GET /news?lifetime={}&from={}&base={}&listing={}&ends={}{}{}{} HTTP/1.1\r\nHost: "
        "{}\r\n\r\n",
        lifetime_, cursor_.nextSequence_, cursor_.historyStart_, cursor_.inSnapshot_ ? 1 : 0,
        formatEnds(events_.ends_ ? events_.ends_() : TopicEnds {}), AcceptsCompressedFlag,
        KnowsErasFlag, waitsForLostStore_ ? WaitForLostStoreFlag : "", net::toString(*peer_));
    async::ExchangeEvents answer = async::gatherAnswer([this](const async::ExchangeResult &result) {
        onAnswer(result.failure_ ? 0 : result.status_, result.body_);
    });
    answer.onBody_ = [this, gather = std::move(answer.onBody_)](std::string part) {
        progress_.began_ = progress_.bytes_ == 0 ? BootClock::now() : progress_.began_;
        progress_.bytes_ += part.size();
        gather(std::move(part));
        restartTimeout();
    };
    exchange_ = client_.start(std::move(request), std::move(answer));
}

void ReplicationClient::onAnswer(int status, const std::string &body)
{
    const TimePoint now = BootClock::now();
    const auto received = status == 200 ? decodeChanges(body, now, requestedAt_) : std::nullopt;
    if (!received) {
        fail(status == 0 ? PeerFailure::Disconnected : PeerFailure::Malformed);
        return;
    }
    if (received->storeLost_) {
        fail(PeerFailure::StoreLost);
        return;
    }
    lifetime_ = received->lifetime_;
    cursor_ = received->set_.cursor();
    timer_.stop();
    // Stale data is applied as well: the peer may still have a later configuration.
    events_.onChanges_(received->set_);
    // No age: the peer has no data yet, but hasn't lost the store, so it is polled again.
    const auto age = oldestReadAge(received->set_.topics_, now);
    if (age && *age > MaxUsableAge && !received->set_.more_) {
        fail(PeerFailure::Stale);
        return;
    }
    if (peer_) {
        poll();
    }
}

void ReplicationClient::fail(PeerFailure cause)
{
    stop();
    events_.onPeerFailed_(cause);
}

} // namespace almondridge::replication
