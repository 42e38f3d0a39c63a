#include "load/modelcall.h"

#include <thread>

namespace almondridge::standins {
namespace {

constexpr int Ok = 200;
constexpr int NotFound = 404;
constexpr std::size_t MaxAnswerBytes = std::size_t {64} * 1'024 * 1'024;
constexpr std::size_t ReadBytes = std::size_t {16} * 1'024;
constexpr Duration PauseBetweenResumes = std::chrono::milliseconds(200);

double millisBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

/** The text of an event or of a whole answer; null when there is none. */
Json textOf(const Json &body)
{
    const Json choices = body.value("choices", Json::array());
    if (!choices.is_array() || choices.empty()) {
        return nullptr;
    }
    const Json &choice = choices.front();
    for (const char *holder : {"delta", "message"}) {
        if (choice.contains(holder) && choice[holder].is_object()) {
            return choice[holder].value("content", Json());
        }
    }
    return choice.value("text", Json());
}

} // namespace

ModelCall::ModelCall(const EntryClient &client, const PlannedCall &call, TimePoint planned)
    : client_(client)
    , call_(call)
    , planned_(planned)
    , patienceEnds_(planned + millis(client.options().patienceInMillis_))
    , plannedWallMillis_(wallMillis() - toMillis(BootClock::now() - planned))
    , prompt_(promptOf(call))
    , check_(digestOf(prompt_).hash_, call.outputTokens_)
{ }

CallResult ModelCall::run()
{
    Progress progress = ask(call_.firstEntry_);
    while (progress == Progress::Broken && !answered_
           && result_.repetitions_ < client_.options().askAgain_) {
        ++result_.repetitions_;
        progress = ask(entry_ + 1);
    }
    if (progress == Progress::Broken && !resumeToken_.empty()) {
        resumeUntilOver();
    }
    result_.totalMillis_ = millisBetween(planned_, BootClock::now());
    result_.tokens_ = check_.tokens();
    result_.entry_ = client_.nameOfEntry(entry_);
    const auto deadline = static_cast<double>(client_.options().deadlineInMillis_);
    result_.late_ =
        deadline > 0 && result_.outcome_ == CallOutcome::Whole && result_.totalMillis_ > deadline;
    return std::move(result_);
}

net::Request ModelCall::request() const
{
    net::Request request;
    request.method_ = "POST";
    request.path_ = call_.chat_ ? "/v1/chat/completions" : "/v1/completions";
    request.headers_ = client_.commonHeaders(call_, plannedWallMillis_);
    Json body = {{"model", call_.model_},
                 {"max_tokens", call_.outputTokens_},
                 {"stream", call_.kind_ == CallKind::Streamed}};
    if (call_.chat_) {
        body["messages"] = {{{"role", "system"}, {"content", prompt_.shared_}},
                            {{"role", "user"}, {"content", prompt_.own_}}};
    } else {
        body["prompt"] = prompt_.shared_ + " " + prompt_.own_;
    }
    request.body_ = body.dump();
    return request;
}

ModelCall::Progress ModelCall::ask(std::size_t entry)
{
    entry_ = entry;
    return tryOr([&] { return exchange(entry); },
                 [&](const Error &error) { return broken(error); });
}

Result<ModelCall::Progress> ModelCall::exchange(std::size_t entry)
{
    BOOST_LEAF_AUTO(open, client_.open(request(), entry, patienceEnds_, result_.failovers_));
    entry_ = open.entry_;
    BOOST_LEAF_AUTO(head, open.exchange_.readHead(patienceEnds_));
    answered_ = true;
    result_.status_ = head.status_;
    if (head.status_ != Ok) {
        return refuse(open.exchange_, head);
    }
    resumeToken_ = net::headerValue(head.headers_, "X-Resume-Token");
    if (call_.kind_ == CallKind::Whole) {
        return readWhole(open.exchange_);
    }
    return readEvents(open.exchange_);
}

void ModelCall::resumeUntilOver()
{
    Progress progress = Progress::Broken;
    // Each entry is asked in turn; the one that broke comes last.
    for (std::size_t entry = entry_ + 1; progress == Progress::Broken; ++entry) {
        if (BootClock::now() >= patienceEnds_) {
            return;
        }
        ++result_.resumes_;
        const std::int64_t before = check_.tokens();
        progress = resume(entry);
        if (progress == Progress::Broken && check_.tokens() == before) {
            std::this_thread::sleep_for(PauseBetweenResumes);
        }
    }
}

ModelCall::Progress ModelCall::resume(std::size_t entry)
{
    events_.clear();
    check_.dropPartialToken();
    return tryOr([&] { return exchangeResume(entry); },
                 [&](const Error &error) { return broken(error); });
}

Result<ModelCall::Progress> ModelCall::exchangeResume(std::size_t entry)
{
    net::Request request;
    request.path_ = "/v1/streams/" + resumeToken_ + "?offset=" + std::to_string(check_.tokens());
    request.headers_ = client_.commonHeaders(call_, plannedWallMillis_);
    BOOST_LEAF_AUTO(open, client_.open(request, entry, patienceEnds_, result_.failovers_));
    entry_ = open.entry_;
    BOOST_LEAF_AUTO(head, open.exchange_.readHead(patienceEnds_));
    result_.status_ = head.status_;
    if (head.status_ == Ok) {
        return readEvents(open.exchange_);
    }
    // An entry of another failure domain does not know the token; that tells nothing of the others.
    notFound_ += head.status_ == NotFound ? 1 : 0;
    if (notFound_ >= client_.options().entries_.size()) {
        return end(CallOutcome::Lost, "no entry can resume the stream");
    }
    return broken("resuming was refused with " + std::to_string(head.status_));
}

Result<ModelCall::Progress> ModelCall::readEvents(net::HttpExchange &exchange)
{
    std::array<char, ReadBytes> buffer;
    for (;;) {
        const TimePoint silentAt = BootClock::now() + millis(client_.options().silenceInMillis_);
        BOOST_LEAF_AUTO(read, exchange.readSome(buffer, std::min(silentAt, patienceEnds_)));
        if (read.status_ == net::ReadStatus::End) {
            return broken("the stream ended without [DONE]");
        }
        if (read.status_ != net::ReadStatus::Data) {
            return broken("the stream went silent");
        }
        events_.add({buffer.data(), read.size_});
        const std::int64_t before = check_.tokens();
        const Progress progress = takeEvents();
        noteTokens(before);
        if (progress == Progress::Over) {
            return progress;
        }
    }
}

ModelCall::Progress ModelCall::takeEvents()
{
    while (const std::optional<std::string> event = events_.next()) {
        if (takeEvent(*event) == Progress::Over) {
            return Progress::Over;
        }
    }
    return Progress::Broken;
}

ModelCall::Progress ModelCall::takeEvent(const std::string &data)
{
    if (data == "[DONE]") {
        return check_.complete() ? end(CallOutcome::Whole, "")
                                 : end(CallOutcome::Wrong, "[DONE] before the last token");
    }
    const Json event = Json::parse(data, nullptr, false);
    if (!event.is_object()) {
        return end(CallOutcome::Wrong, "an event that is no JSON object");
    }
    if (event.contains("error")) {
        const RefusalText refusal {result_.status_, {}, data};
        const bool notRun = outcomeOf(refusal) == CallOutcome::NotRun && check_.tokens() == 0;
        return end(notRun ? CallOutcome::NotRun : CallOutcome::Unknown, data);
    }
    return takeText(textOf(event));
}

ModelCall::Progress ModelCall::takeText(const Json &text)
{
    if (text.is_string() && !check_.accept(text.get<std::string>())) {
        return end(CallOutcome::Wrong, "wrong text after token " + std::to_string(check_.tokens())
                                           + ": '" + text.get<std::string>() + "'");
    }
    return Progress::Broken;
}

Result<ModelCall::Progress> ModelCall::readWhole(net::HttpExchange &exchange)
{
    BOOST_LEAF_AUTO(text, exchange.readRest(patienceEnds_, MaxAnswerBytes));
    const Json body = Json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return end(CallOutcome::Wrong, "an answer that is no JSON object");
    }
    const Progress progress = takeText(textOf(body));
    noteTokens(0);
    if (progress == Progress::Over) {
        return progress;
    }
    return check_.complete() ? end(CallOutcome::Whole, "")
                             : end(CallOutcome::Wrong, "tokens are missing");
}

Result<ModelCall::Progress> ModelCall::refuse(net::HttpExchange &exchange,
                                              const net::ResponseHead &head)
{
    RefusalText refusal {head.status_, head.headers_, {}};
    BOOST_LEAF_ASSIGN(refusal.body_, exchange.readRest(patienceEnds_, MaxAnswerBytes));
    return end(outcomeOf(refusal), refusal.body_);
}

ModelCall::Progress ModelCall::end(CallOutcome outcome, std::string detail)
{
    result_.outcome_ = outcome;
    result_.detail_ = std::move(detail);
    return Progress::Over;
}

ModelCall::Progress ModelCall::broken(const Error &error)
{
    broken(describe(error));
    // Once an answer has begun, a resumption that reaches nobody leaves the answer lost.
    result_.outcome_ = answered_ ? CallOutcome::Lost : outcomeOf(error);
    return Progress::Broken;
}

ModelCall::Progress ModelCall::broken(std::string detail)
{
    // Stands unless a resumption brings the rest.
    result_.outcome_ = CallOutcome::Lost;
    result_.detail_ = std::move(detail);
    return Progress::Broken;
}

void ModelCall::noteTokens(std::int64_t before)
{
    const std::int64_t fresh = check_.tokens() - before;
    if (fresh == 0) {
        return;
    }
    const TimePoint now = BootClock::now();
    if (before == 0) {
        result_.firstTokenMillis_ = millisBetween(planned_, now);
    } else {
        result_.interTokenMillis_.push_back(millisBetween(lastToken_, now));
    }
    // Tokens that come together came at no time after each other.
    if (call_.kind_ == CallKind::Streamed) {
        result_.interTokenMillis_.insert(result_.interTokenMillis_.end(),
                                         static_cast<std::size_t>(fresh - 1), 0.0);
    }
    lastToken_ = now;
}

} // namespace almondridge::standins
