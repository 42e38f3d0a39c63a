#include "almondridge/replication/protocol.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <nlohmann/json.hpp>

namespace almondridge::replication {
namespace {

using Json = nlohmann::json;

constexpr std::string_view NewsPath = "/news?";
constexpr std::string_view PatientMark = "&patient";
constexpr std::string_view UnpacksMark = "&unpacks";
/** A change is topic, key, value, offset; and the value's size where it is packed. */
constexpr std::size_t FieldsOfPacked = 5;
constexpr std::int64_t ConnectMillis = 250;
/** News this much newer than what those who wait were told are told to them. */
constexpr Duration ConfirmStep = millis(300);
constexpr char EndsSeparator = '.';

std::uint64_t numberIn(std::string_view target, std::string_view name)
{
    std::uint64_t number = 0;
    const std::size_t at = target.find(name);
    if (at != std::string_view::npos) {
        const std::string_view digits = target.substr(at + name.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    }
    return number;
}

std::string textOf(const TopicEnds &ends)
{
    return fmt::format("{}", fmt::join(ends, "."));
}

/** Ends that are missing are 0. */
TopicEnds endsIn(std::string_view target, std::string_view name)
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

/** nullopt: the peer has none, or is of a version that tells none. */
std::optional<TimePoint> readProof(const Json &json, std::size_t index, TimePoint askedAt)
{
    const auto proofs = json.find("proofs");
    if (proofs == json.end() || proofs->at(index).is_null()) {
        return std::nullopt;
    }
    return askedAt - millis(proofs->at(index).get<std::int64_t>());
}

Json encodeChange(const Change &change, PackedValues *packed)
{
    const auto topic = static_cast<int>(change.topic_);
    const std::string *bytes = packed != nullptr ? packed->of(change) : nullptr;
    if (bytes == nullptr) {
        return {topic, change.key_, change.value_, change.offset_};
    }
    return {topic, change.key_, Json::binary({bytes->begin(), bytes->end()}), change.offset_,
            change.value_.size()};
}

/** nullopt: it is of an unknown topic, or packed in another way. */
std::optional<Change> decodeChange(const Json &json)
{
    const auto topic = json.at(0).get<std::size_t>();
    if (topic >= TopicCount) {
        return std::nullopt;
    }
    Change change {
        static_cast<Topic>(topic), json.at(1).get<std::string>(), {}, json.at(3).get<LogOffset>()};
    if (json.size() < FieldsOfPacked) {
        change.value_ = json.at(2).get<std::string>();
        return change;
    }
    const Json::binary_t &bytes = json.at(2).get_binary();
    auto value = unpack({reinterpret_cast<const char *>(bytes.data()), bytes.size()},
                        json.at(4).get<std::size_t>());
    if (!value) {
        return std::nullopt;
    }
    change.value_ = std::move(*value);
    return change;
}

} // namespace

std::string encodeChanges(const ChangeSet &set, std::uint64_t lifetime, bool lost, TimePoint now,
                          TimePoint askedAt, PackedValues *packed)
{
    Json changes = Json::array();
    for (const Change &change : set.changes_) {
        changes.push_back(encodeChange(change, packed));
    }
    Json ages = Json::array();
    Json ends = Json::array();
    Json proofs = Json::array();
    for (const TopicState &topic : set.topics_) {
        ages.push_back(topic.readAt_ ? Json(toMillis(now - *topic.readAt_)) : Json(nullptr));
        ends.push_back(topic.end_);
        proofs.push_back(topic.asOf_ ? Json(toMillis(askedAt - *topic.asOf_) + 1) : Json(nullptr));
    }
    const Json json {{"lifetime", lifetime}, {"lost", lost},      {"whole", set.whole_},
                     {"first", set.first_},  {"more", set.more_}, {"next", set.next_},
                     {"base", set.base_},    {"ages", ages},      {"ends", ends},
                     {"proofs", proofs},     {"changes", changes}};
    std::string body;
    Json::to_cbor(json, body);
    return body;
}

std::optional<ReceivedChanges> decodeChanges(const std::string &body, TimePoint now,
                                             TimePoint askedAt)
{
    try {
        const Json json = Json::from_cbor(body);
        ReceivedChanges received;
        received.lifetime_ = json.at("lifetime").get<std::uint64_t>();
        received.lost_ = json.at("lost").get<bool>();
        received.set_.whole_ = json.at("whole").get<bool>();
        received.set_.first_ = json.value("first", received.set_.whole_);
        received.set_.more_ = json.value("more", false);
        received.set_.next_ = json.at("next").get<std::uint64_t>();
        received.set_.base_ = json.value("base", std::uint64_t {0});
        for (std::size_t index = 0; index < TopicCount; ++index) {
            const Json &age = json.at("ages").at(index);
            if (!age.is_null()) {
                received.set_.topics_[index].readAt_ = now - millis(age.get<std::int64_t>());
            }
            received.set_.topics_[index].end_ = json.at("ends").at(index).get<LogOffset>();
            received.set_.topics_[index].asOf_ = readProof(json, index, askedAt);
        }
        for (const Json &entry : json.at("changes")) {
            auto change = decodeChange(entry);
            if (!change) {
                return std::nullopt;
            }
            received.set_.changes_.push_back(std::move(*change));
        }
        return received;
    } catch (const Json::exception &) {
        return std::nullopt; // The caller takes the peer for useless and says so.
    }
}

RelayServer::RelayServer(async::EventLoop &loop, const Board &board, std::uint64_t lifetime)
    : board_(board)
    , lifetime_(lifetime)
    , timer_(loop)
    , loop_(loop)
{ }

bool RelayServer::takes(const async::ServerCall &call) const
{
    return call.head_.target_.starts_with(NewsPath);
}

RelayServer::Question RelayServer::readQuestion(const async::ServerCall &call) const
{
    const std::string &target = call.head_.target_;
    Question question {call.id_,
                       {},
                       endsIn(target, "ends="),
                       call.startedAt_,
                       target.find(UnpacksMark) != std::string::npos};
    if (numberIn(target, "lifetime=") == lifetime_) {
        question.position_ = {numberIn(target, "from="), numberIn(target, "base="),
                              numberIn(target, "listing=") != 0};
    }
    return question;
}

void RelayServer::answer(async::HttpServer &server, const async::ServerCall &call)
{
    server_ = &server;
    const Question question = readQuestion(call);
    const TimePoint now = BootClock::now();
    // With old news the answer would be of no use: this instance may be about to have newer ones,
    // as whoever asks it now was left by the same reader at the same moment.
    if (!board_.isAtEnd(question.position_) && isFresh(now)) {
        respond(question);
        return;
    }
    const bool patient = call.head_.target_.ends_with(PatientMark);
    if (lost_ && !patient) {
        respond(question);
        return;
    }
    waiting_.push_back({question, now + HoldTime, patient});
    if (waiting_.size() == 1) {
        timer_.startAt(waiting_.front().until_, [this] { answerLate(); });
    }
}

ChangeSet RelayServer::answerTo(const Question &question) const
{
    const bool knowsAll = ageOf(board_.topics(), BootClock::now()).has_value();
    if (lost_ || !knowsAll) {
        // Nothing of use, or not yet: whoever asked need not be sent what may be half a list.
        ChangeSet none;
        none.next_ = question.position_.from_;
        none.base_ = question.position_.base_;
        return none;
    }
    const bool isNew = question.position_.base_ == 0;
    const auto missing =
        isNew ? board_.missingAt(question.ends_, MostChangesInAnswer) : std::optional<ChangeSet>();
    return missing ? *missing : board_.after(question.position_, MostChangesInAnswer);
}

void RelayServer::respond(const Question &question)
{
    PackedValues *const packed = question.unpacks_ ? &packed_ : nullptr;
    server_->respond(question.id_, {200,
                                    {},
                                    encodeChanges(answerTo(question), lifetime_, lost_,
                                                  BootClock::now(), question.askedAt_, packed)});
}

void RelayServer::answerLate()
{
    const TimePoint now = BootClock::now();
    while (!waiting_.empty() && waiting_.front().until_ <= now) {
        respond(waiting_.front().question_);
        waiting_.pop_front();
    }
    if (!waiting_.empty()) {
        timer_.startAt(waiting_.front().until_, [this] { answerLate(); });
    }
}

bool RelayServer::isFresh(TimePoint now) const
{
    const auto age = ageOf(board_.topics(), now);
    return age && *age <= UselessAge;
}

void RelayServer::setLost(bool lost)
{
    if (lost == lost_) {
        return;
    }
    lost_ = lost;
    if (lost) {
        answerThose([](const Waiting &one) { return !one.patient_; });
    }
}

void RelayServer::answerThose(const std::function<bool(const Waiting &)> &chosen)
{
    std::list<Waiting> answered;
    for (auto one = waiting_.begin(); one != waiting_.end();) {
        const auto next = std::next(one);
        if (chosen(*one)) {
            answered.splice(answered.end(), waiting_, one);
        }
        one = next;
    }
    for (const Waiting &one : answered) {
        respond(one.question_);
    }
}

void RelayServer::onConfirmed()
{
    const TimePoint now = BootClock::now();
    if (!isFresh(now)) {
        return;
    }
    const TimePoint readAt = now - *ageOf(board_.topics(), now);
    if (readAt < confirmedAt_ + ConfirmStep) {
        answerThose(
            [this](const Waiting &one) { return !board_.isAtEnd(one.question_.position_); });
        return;
    }
    confirmedAt_ = readAt;
    answerThose([](const Waiting &) { return true; });
}

void RelayServer::forget(const async::CallId &id)
{
    waiting_.remove_if([&](const Waiting &one) { return one.question_.id_ == id; });
}

void RelayServer::onNews()
{
    if (waiting_.empty() || newsPosted_) {
        return;
    }
    // Later, so that all changes of one read leave in one answer.
    newsPosted_ = true;
    loop_.post([this] {
        newsPosted_ = false;
        for (const Waiting &one : std::exchange(waiting_, {})) {
            respond(one.question_);
        }
    });
}

RelayClient::RelayClient(async::EventLoop &loop, Events events)
    : client_(loop)
    , events_(std::move(events))
    , timer_(loop)
{ }

void RelayClient::follow(const net::Address &peer, bool patient)
{
    stop();
    patient_ = patient;
    peer_ = peer;
    lifetime_ = 0;
    position_ = {};
    ask();
}

void RelayClient::stop()
{
    peer_.reset();
    timer_.stop();
    client_.cancel(exchange_);
    exchange_ = 0;
}

/** A list that keeps arriving over a narrow link is waited for. */
void RelayClient::awaitWord()
{
    timer_.startAt(std::min(BootClock::now() + LongestSilence, askedAt_ + LongestAnswer),
                   [this] { giveUp(Uselessness::Silent); });
}

void RelayClient::ask()
{
    const TimePoint now = BootClock::now();
    askedAt_ = now;
    progress_ = {};
    awaitWord();
    async::ExchangeRequest request;
    request.peer_ = net::toString(*peer_);
    request.address_ = *peer_;
    request.connectBy_ = now + millis(ConnectMillis);
    request.text_ = fmt::format(
        "GET /news?lifetime={}&from={}&base={}&listing={}&ends={}{}{} HTTP/1.1\r\nHost: {}\r\n\r\n",
        lifetime_, position_.from_, position_.base_, position_.listing_ ? 1 : 0,
        textOf(events_.ends_ ? events_.ends_() : TopicEnds {}), UnpacksMark,
        patient_ ? PatientMark : "", net::toString(*peer_));
    async::ExchangeEvents answer = async::gatherAnswer([this](const async::ExchangeResult &result) {
        onAnswer(result.failure_ ? 0 : result.status_, result.body_);
    });
    answer.onBody_ = [this, gather = std::move(answer.onBody_)](std::string part) {
        progress_.began_ = progress_.bytes_ == 0 ? BootClock::now() : progress_.began_;
        progress_.bytes_ += part.size();
        gather(std::move(part));
        awaitWord();
    };
    exchange_ = client_.start(std::move(request), std::move(answer));
}

void RelayClient::onAnswer(int status, const std::string &body)
{
    const TimePoint now = BootClock::now();
    const auto received = status == 200 ? decodeChanges(body, now, askedAt_) : std::nullopt;
    if (!received) {
        giveUp(status == 0 ? Uselessness::Unanswered : Uselessness::Unreadable);
        return;
    }
    if (received->lost_) {
        giveUp(Uselessness::Lost);
        return;
    }
    lifetime_ = received->lifetime_;
    position_ = received->set_.position();
    timer_.stop();
    // Taken also when it is old: the peer may know a later configuration all the same.
    events_.onChanges_(received->set_);
    // A peer that knows nothing yet is about to: it has not lost the store, and says so.
    const auto age = ageOf(received->set_.topics_, now);
    if (age && *age > UselessAge && !received->set_.more_) {
        giveUp(Uselessness::Old);
        return;
    }
    if (peer_) {
        ask();
    }
}

void RelayClient::giveUp(Uselessness cause)
{
    stop();
    events_.onUseless_(cause);
}

} // namespace almondridge::replication
