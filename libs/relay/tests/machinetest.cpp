#include "almondridge/relay/machine.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace almondridge;
using namespace almondridge::relay;

namespace {

const EndpointId First("e1");
const EndpointId Second("e2");

/** A machine with its clock, and what it did last. */
struct Run
{
    explicit Run(Recovery recovery, std::int64_t maxTokens = 10)
        : machine_(RequestMachine::Builder().spec(specOf(recovery, maxTokens)).build())
    { }

    static RequestSpec specOf(Recovery recovery, std::int64_t maxTokens)
    {
        RequestSpec spec;
        spec.request_ = RequestId("r");
        spec.recovery_ = recovery;
        spec.deadline_ = TimePoint(millis(60'000));
        spec.maxTokens_ = maxTokens;
        return spec;
    }

    Run &operator()(const Event &event)
    {
        actions_ = machine_.on(event, now_);
        for (const Action &action : actions_) {
            collect(action);
        }
        return *this;
    }

    void collect(const Action &action)
    {
        if (const auto *deliver = std::get_if<Deliver>(&action)) {
            for (std::int64_t token = 0; token < deliver->count_; ++token) {
                delivered_.push_back(deliver->offset_ + token);
            }
        }
        finalActions_ += std::holds_alternative<Finish>(action)
                         || std::holds_alternative<Refuse>(action)
                         || std::holds_alternative<Abandon>(action);
    }

    /** Lets the time pass until the machine asks to be woken. */
    Run &advanceToWake()
    {
        now_ = machine_.wakeAt();
        return (*this)(TimePassed {});
    }

    /** To the point where an endpoint has the request. */
    Run &sentTo(const EndpointId &endpoint)
    {
        (*this)(EndpointChosen {endpoint, std::nullopt, now_ + millis(100)});
        connection_ = lastAction<SendRequest>()->connection_;
        return *this;
    }
    Run &acceptedBy(const EndpointId &endpoint)
    {
        sentTo(endpoint);
        return (*this)(HeadReceived {connection_, HeadKind::Accepted, {}});
    }
    Run &tokens(std::int64_t from, std::int64_t count)
    {
        for (std::int64_t offset = from; offset < from + count; ++offset) {
            (*this)(TokensReceived {connection_, offset, 1});
        }
        return *this;
    }
    Run &resumed()
    {
        connection_ = lastAction<ResumeStream>()->connection_;
        return (*this)(HeadReceived {connection_, HeadKind::Accepted, {}});
    }
    /** After a silence: the engine answers a check, and its stream is resumed. */
    Run &checkedAlive()
    {
        advanceToWake();
        return (*this)(EngineChecked {lastAction<CheckEngine>()->connection_, true});
    }

    template <typename Wanted>
    const Wanted *lastAction() const
    {
        for (const Action &action : actions_) {
            if (const Wanted *found = std::get_if<Wanted>(&action)) {
                return found;
            }
        }
        return nullptr;
    }
    bool refused(Outcome outcome, RefusalCause cause) const
    {
        const auto *refuse = lastAction<Refuse>();
        return refuse && refuse->outcome_ == outcome && refuse->cause_ == cause
               && refuse->retryAt_ > now_;
    }
    bool deliveredAllOnce(std::int64_t count) const
    {
        for (std::size_t index = 0; index < delivered_.size(); ++index) {
            if (delivered_[index] != static_cast<std::int64_t>(index)) {
                return false;
            }
        }
        return delivered_.size() == static_cast<std::size_t>(count);
    }

    RequestMachine machine_;
    TimePoint now_ = TimePoint(millis(1'000));
    Actions actions_;
    ConnectionNumber connection_ = 0;
    std::vector<std::int64_t> delivered_;
    int finalActions_ = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Machine)

BOOST_AUTO_TEST_CASE(aStreamIsDeliveredAndFinishedOnce)
{
    Run run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 10);
    run(ResponseEnded {run.connection_});
    BOOST_TEST(run.lastAction<Finish>());
    BOOST_TEST(run.lastAction<AttemptEnded>()->succeeded_);
    BOOST_TEST(run.deliveredAllOnce(10));
    run(ResponseEnded {run.connection_});
    run(CallerGone {});
    BOOST_TEST(run.finalActions_ == 1);
    BOOST_TEST(run.machine_.staleEvents() == 2U);
}

// A user would see an answer with a hole, or a repeated sentence, in the middle.
// The engine crashes after four tokens and forgets its streams; another one continues from
// prompt and delivered text, and its tokens count from 0 again.
// Cause: an engine's own offsets taken for those of the whole answer.
BOOST_AUTO_TEST_CASE(anEngineThatDiesMidStreamIsContinuedElsewhereWithoutGapOrRepeat)
{
    Run run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 4);
    run(ConnectionLost {run.connection_, true});
    BOOST_TEST(run.lastAction<ResumeStream>()->offset_ == 4);
    BOOST_TEST(run.lastAction<ResumeStream>()->attempt_ == AttemptId("r.1"));
    run(HeadReceived {run.lastAction<ResumeStream>()->connection_, HeadKind::StreamNotFound, {}});
    BOOST_TEST(!run.lastAction<AttemptEnded>()->succeeded_);
    BOOST_TEST(run.lastAction<ChooseEndpoint>()->attempt_ == AttemptId("r.2"));
    BOOST_TEST((run.lastAction<ChooseEndpoint>()->excluded_ == std::vector {First}));
    BOOST_TEST(!run.lastAction<ChooseEndpoint>()->budgeted_);
    run.acceptedBy(Second);
    BOOST_TEST(run.machine_.streamLocation().base_ == 4);
    run.tokens(0, 6);
    run(ResponseEnded {run.connection_});
    BOOST_TEST(run.lastAction<Finish>());
    BOOST_TEST(run.deliveredAllOnce(10));
}

// A user would watch an answer stop for good although engine and network are well.
// Something between the ends forgets an open connection; new ones work.
// Cause: a silent connection tells nothing, so only a new one can find out.
BOOST_AUTO_TEST_CASE(aSilentStreamIsResumedOnANewConnectionOfTheSameAttempt)
{
    Run run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 3);
    const ConnectionNumber old = run.connection_;
    run.checkedAlive();
    BOOST_TEST(run.lastAction<ResumeStream>()->offset_ == 3);
    BOOST_TEST(run.lastAction<ResumeStream>()->endpoint_ == First);
    run.resumed();
    // The engine begins a little earlier than asked, and the old connection wakes up.
    run.tokens(1, 4);
    run(TokensReceived {old, 5, 1});
    run(ResponseEnded {old});
    run(ConnectionLost {old, true});
    BOOST_TEST(run.deliveredAllOnce(5));
    BOOST_TEST(run.machine_.staleEvents() == 3U);
    run.tokens(5, 5);
    run(ResponseEnded {run.connection_});
    BOOST_TEST(run.deliveredAllOnce(10));
}

// A user would wait for a stream that nobody works on.
// The whole engine stops answering: its streams are silent and a check is too.
// Cause: waiting for an engine that is gone as if it were slow.
BOOST_AUTO_TEST_CASE(anEngineThatAnswersNoCheckIsLeftAndCancelled)
{
    Run run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 2).advanceToWake();
    BOOST_TEST(run.lastAction<CheckEngine>());
    run.advanceToWake();
    BOOST_TEST((run.lastAction<Cancel>()->attempt_ == AttemptId("r.1")));
    BOOST_TEST(run.lastAction<ChooseEndpoint>());
}

// A user would see the same question prefilled again and again while an engine is only slow.
// The engine is alive and has the stream, but a long prefill goes before it.
// Cause: impatience. Each probe waits longer, and only many of them in a row give up.
BOOST_AUTO_TEST_CASE(aSlowEngineIsGivenTwiceTheTimeWithEachProbe)
{
    Run run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 1);
    for (int probe = 0; probe < 5; ++probe) {
        run.checkedAlive();
        const TimePoint before = run.now_;
        run.resumed();
        BOOST_TEST((run.machine_.wakeAt() == before + millis(1'000) * (1 << probe)));
    }
    run.checkedAlive();
    BOOST_TEST(run.lastAction<Cancel>());
    BOOST_TEST(run.lastAction<ChooseEndpoint>());
}

BOOST_AUTO_TEST_CASE(tokensMissingInBetweenAreAskedForAgain)
{
    Run run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 2);
    run(TokensReceived {run.connection_, 5, 1});
    BOOST_TEST(!run.lastAction<Deliver>());
    BOOST_TEST(run.lastAction<ResumeStream>()->offset_ == 2);
    run.resumed();
    run.tokens(2, 8);
    BOOST_TEST(run.deliveredAllOnce(10));
}

BOOST_AUTO_TEST_CASE(aStreamThatLostOnlyItsEndIsWhole)
{
    Run run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 10);
    run(ConnectionLost {run.connection_, true});
    run(HeadReceived {run.lastAction<ResumeStream>()->connection_, HeadKind::StreamNotFound, {}});
    BOOST_TEST(run.lastAction<Finish>());
}

// A user would be told that a request was not run, send it again, and have it run twice.
// Each row is a first endpoint's behaviour; then nothing else can take the request.
// Cause: taking silence or a lost connection for a refusal.
BOOST_AUTO_TEST_CASE(notRunIsSaidOnlyWhenNothingCanHaveRun)
{
    struct Row
    {
        bool sent_;
        std::optional<HeadKind> head_;
        Outcome outcome_;
    };
    const std::vector<Row> rows {{false, {}, Outcome::NotRun},
                                 {true, {}, Outcome::Unknown},
                                 {true, HeadKind::NotRun, Outcome::NotRun},
                                 {true, HeadKind::Failed, Outcome::Unknown},
                                 {true, HeadKind::Accepted, Outcome::Unknown}};
    for (const Recovery recovery : {Recovery::Once, Recovery::Repeat}) {
        for (const Row &row : rows) {
            Run run(recovery);
            run(Admitted {});
            run(EndpointChosen {First, std::nullopt, {}});
            run.connection_ = run.lastAction<SendRequest>()->connection_;
            if (row.head_) {
                run(HeadReceived {run.connection_, *row.head_, {}});
            }
            if (!run.machine_.finished() && !run.lastAction<ChooseEndpoint>()) {
                run(ConnectionLost {run.connection_, row.sent_});
            }
            if (!run.machine_.finished()) {
                run(NoEndpoint {run.now_ + millis(10)});
            }
            BOOST_TEST((run.lastAction<Refuse>()->outcome_ == row.outcome_));
            BOOST_TEST(run.finalActions_ == 1);
        }
    }
}

// A user would pay two interpreters for one booking.
// The confirmation leaves, the connection breaks before the answer, and it is sent again.
// Cause: a retry of a call that may have run already.
BOOST_AUTO_TEST_CASE(aNonIdempotentCallIsNeverSentAgainAfterAByteMayHaveLeft)
{
    Run lost(Recovery::Once);
    lost(Admitted {}).sentTo(First);
    lost(ConnectionLost {lost.connection_, true});
    BOOST_TEST(lost.refused(Outcome::Unknown, RefusalCause::ConnectionLost));

    Run partly(Recovery::Once);
    partly(Admitted {});
    partly(EndpointChosen {First, std::nullopt, {}});
    partly(ConnectionLost {partly.lastAction<SendRequest>()->connection_, true});
    BOOST_TEST(partly.refused(Outcome::Unknown, RefusalCause::ConnectionLost));

    Run late(Recovery::Once);
    late(Admitted {}).sentTo(First).advanceToWake();
    BOOST_TEST(late.refused(Outcome::Unknown, RefusalCause::DeadlinePassed));

    Run unreached(Recovery::Once);
    unreached(Admitted {});
    unreached(EndpointChosen {First, std::nullopt, {}});
    unreached(ConnectionLost {unreached.lastAction<SendRequest>()->connection_, false});
    BOOST_TEST(unreached.lastAction<ChooseEndpoint>());

    Run refused(Recovery::Once);
    refused(Admitted {}).sentTo(First);
    refused(HeadReceived {refused.connection_, HeadKind::NotRun, {}});
    BOOST_TEST(refused.lastAction<ChooseEndpoint>());
}

BOOST_AUTO_TEST_CASE(anIdempotentCallIsSentAgainUntilItsAnswerIsPassedOn)
{
    Run run(Recovery::Repeat);
    run(Admitted {}).acceptedBy(First);
    BOOST_TEST(run.lastAction<ForwardResponse>());
    run(ConnectionLost {run.connection_, true});
    BOOST_TEST(run.lastAction<ChooseEndpoint>()->budgeted_);
    run.acceptedBy(Second);
    run(ResponseForwarded {run.connection_});
    run(ConnectionLost {run.connection_, true});
    BOOST_TEST(run.refused(Outcome::Unknown, RefusalCause::ResponseInterrupted));
}

// Engines in an overload would get even more requests, each failed one several times.
// Every endpoint fails; each request tries all of them.
// Cause: retries without a bound. A first move that cost nothing is free, others are not.
BOOST_AUTO_TEST_CASE(retriesAreBoundedByTheBudgetAndByTheRequestsOwnLimit)
{
    Run run(Recovery::Repeat);
    run(Admitted {}).sentTo(First);
    run(HeadReceived {run.connection_, HeadKind::NotRun, run.now_ + millis(9'000)});
    BOOST_TEST(!run.lastAction<ChooseEndpoint>()->budgeted_);
    run.sentTo(Second);
    run(HeadReceived {run.connection_, HeadKind::NotRun, {}});
    BOOST_TEST(run.lastAction<ChooseEndpoint>()->budgeted_);
    Run spent = run;
    spent(RetryBudgetExhausted {spent.now_ + millis(100)});
    BOOST_TEST(spent.refused(Outcome::NotRun, RefusalCause::RetryBudgetExhausted));
    BOOST_TEST((spent.lastAction<Refuse>()->retryAt_ == spent.now_ + millis(9'000)));
    for (int attempt = 2; attempt < MachineLimits().maxAttempts_; ++attempt) {
        run.sentTo(EndpointId("other" + std::to_string(attempt)));
        run(HeadReceived {run.connection_, HeadKind::NotRun, {}});
    }
    BOOST_TEST(run.refused(Outcome::NotRun, RefusalCause::AttemptLimitReached));
}

// A family's half-read plan would break off although an engine is back two seconds later.
// The only engine restarts in the middle of a stream.
// Cause: refusing a begun answer as fast as a new request.
BOOST_AUTO_TEST_CASE(aBegunStreamWaitsForAnEndpointAndANewRequestDoesNot)
{
    Run fresh(Recovery::Stream);
    fresh(Admitted {})(NoEndpoint {fresh.now_ + millis(10)});
    BOOST_TEST(fresh.refused(Outcome::NotRun, RefusalCause::NoEndpoint));

    Run begun(Recovery::Stream);
    begun(Admitted {}).acceptedBy(First).tokens(0, 1);
    begun(ConnectionLost {begun.connection_, true});
    begun(ConnectionLost {begun.lastAction<ResumeStream>()->connection_, false});
    Run hopeless = begun;
    begun(NoEndpoint {}).advanceToWake();
    BOOST_TEST(begun.lastAction<ChooseEndpoint>()->excluded_.empty());
    begun.acceptedBy(First).tokens(0, 9);
    BOOST_TEST(begun.deliveredAllOnce(10));
    while (!hopeless(NoEndpoint {hopeless.now_ + millis(10)}).machine_.finished()) {
        hopeless.advanceToWake();
    }
    BOOST_TEST(hopeless.refused(Outcome::Unknown, RefusalCause::NoEndpoint));
}

// Engines would go on for callers who closed their page.
// The caller leaves while tokens come; while only the path to it is silent, it may already go on
// through another instance, and its stream must live.
// Cause: nobody tells the engine, or everybody does.
BOOST_AUTO_TEST_CASE(aCallerThatLeavesCancelsItsStreamAndASilentOneDoesNot)
{
    Run gone(Recovery::Stream);
    gone(Admitted {}).acceptedBy(First).tokens(0, 1);
    Run silent = gone;
    gone(CallerGone {});
    BOOST_TEST((gone.lastAction<Cancel>()->endpoint_ == First));
    BOOST_TEST(gone.lastAction<AttemptEnded>()->succeeded_);
    BOOST_TEST(gone.lastAction<Abandon>());
    silent(CallerGone {true});
    BOOST_TEST(!silent.lastAction<Cancel>());
    BOOST_TEST(silent.lastAction<Abandon>());

    Run confirmation(Recovery::Once);
    confirmation(Admitted {}).sentTo(First);
    confirmation(CallerGone {});
    BOOST_TEST(!confirmation.machine_.finished());
}

BOOST_AUTO_TEST_CASE(aFailedPrefillFallsBackToTheDecodingEngine)
{
    for (const PrefillStatus status :
         {PrefillStatus::Ready, PrefillStatus::NotSent, PrefillStatus::Failed}) {
        Run run(Recovery::Stream);
        run(Admitted {});
        run(EndpointChosen {First, Second, run.now_});
        BOOST_TEST((run.lastAction<Prefill>()->endpoint_ == Second));
        run(PrefillFinished {run.lastAction<Prefill>()->connection_, status});
        BOOST_TEST((run.lastAction<SendRequest>()->endpoint_ == First));
        BOOST_TEST(run.lastAction<SendRequest>()->afterPrefill_
                   == (status == PrefillStatus::Ready));
        run(ConnectionLost {run.lastAction<SendRequest>()->connection_, false});
        BOOST_TEST(run.machine_.mayHaveRun() == (status != PrefillStatus::NotSent));
    }
    Run slow(Recovery::Stream);
    slow(Admitted {});
    slow(EndpointChosen {First, Second, slow.now_});
    slow.advanceToWake();
    BOOST_TEST((slow.lastAction<Cancel>()->endpoint_ == Second));
    BOOST_TEST(!slow.lastAction<SendRequest>()->afterPrefill_);
}

BOOST_AUTO_TEST_CASE(aResumedStreamThatItsEngineForgotIsRefusedAsUnknown)
{
    RequestSpec spec = Run::specOf(Recovery::ResumeOnly, 10);
    spec.delivered_ = 6;
    spec.resumeAt_ = StreamLocation {First, AttemptId("other.2"), 4};
    RequestMachine machine = RequestMachine::Builder().spec(spec).build();
    const Actions actions = machine.start(TimePoint(millis(1)));
    const auto &resume = std::get<ResumeStream>(actions.at(0));
    BOOST_TEST(resume.offset_ == 2);
    BOOST_TEST(resume.attempt_ == AttemptId("other.2"));
    const Actions refused = machine.on(
        HeadReceived {resume.connection_, HeadKind::StreamNotFound, {}}, TimePoint(millis(2)));
    BOOST_TEST((std::get<Refuse>(refused.at(0)).outcome_ == Outcome::Unknown));
}

BOOST_AUTO_TEST_CASE(withoutANamedDeadlineEveryTokenMovesTheDeadline)
{
    RequestSpec spec = Run::specOf(Recovery::Stream, 1'000);
    spec.deadlineExtension_ = millis(60'000);
    Run run(Recovery::Stream);
    run.machine_ = RequestMachine::Builder().spec(spec).build();
    run(Admitted {}).acceptedBy(First);
    for (std::int64_t offset = 0; offset < 200; ++offset) {
        run.now_ += millis(900);
        run.tokens(offset, 1);
    }
    BOOST_TEST(run.deliveredAllOnce(200));
}

/** What must hold of any run, kept beside the machine from what went in and came out. */
struct InvariantChecker
{
    void before(const Event &event)
    {
        const auto *lost = std::get_if<ConnectionLost>(&event);
        const auto *head = std::get_if<HeadReceived>(&event);
        const bool notSent = lost && lost->connection_ == sendConnection_ && !lost->anythingSent_;
        const bool notRun =
            head && head->connection_ == sendConnection_ && head->kind_ == HeadKind::NotRun;
        // Only the first word counts: what was accepted cannot be unsaid.
        mayBeRunning_ = mayBeRunning_ && !(awaitingFirstReply_ && (notSent || notRun));
        awaitingFirstReply_ =
            awaitingFirstReply_ && !(head && head->connection_ == sendConnection_);
    }
    bool after(const Run &run)
    {
        if (const auto *send = run.lastAction<SendRequest>()) {
            duplicateSends_ += mayBeRunning_ ? 1 : 0;
            mayHaveRun_ |= mayBeRunning_;
            mayBeRunning_ = true;
            awaitingFirstReply_ = true;
            sendConnection_ = send->connection_;
        }
        awaitingFirstReply_ = awaitingFirstReply_ && !run.lastAction<ResumeStream>()
                              && !run.lastAction<CheckEngine>();
        const auto *refuse = run.lastAction<Refuse>();
        return !refuse || refuse->outcome_ == Outcome::Unknown || !(mayHaveRun_ || mayBeRunning_);
    }

    ConnectionNumber sendConnection_ = 0;
    int duplicateSends_ = 0; ///< Sent although an earlier sending may have run.
    bool mayBeRunning_ = false;
    bool awaitingFirstReply_ = false;
    bool mayHaveRun_ = false;
};

Event randomEvent(std::mt19937 &random)
{
    const auto pick = [&](int bound) { return static_cast<int>(random() % bound); };
    const auto connection = static_cast<ConnectionNumber>(1 + pick(7));
    const std::vector<Event> events {EndpointChosen {pick(2) ? First : Second, {}, {}},
                                     NoEndpoint {},
                                     HeadReceived {connection, static_cast<HeadKind>(pick(5)), {}},
                                     ConnectionLost {connection, pick(2) == 0},
                                     EngineChecked {connection, pick(2) == 0},
                                     TimePassed {},
                                     ResponseEnded {connection},
                                     TokensReceived {connection, pick(6), 1 + pick(2)}};
    return events[static_cast<std::size_t>(pick(static_cast<int>(events.size())))];
}

// Whatever comes in whatever order: at most one final answer, no token twice or left out, no
// not-run after a byte that counts, and no second sending of what must not be repeated.
BOOST_AUTO_TEST_CASE(anyOrderOfEventsKeepsThePromises)
{
    std::mt19937 random(7);
    for (int round = 0; round < 20'000; ++round) {
        const auto recovery = static_cast<Recovery>(random() % 3);
        Run run(recovery, 6);
        InvariantChecker checker;
        run(Admitted {});
        for (int step = 0; step < 60 && !run.machine_.finished(); ++step) {
            const Event event = randomEvent(random);
            run.now_ = std::holds_alternative<TimePassed>(event) ? run.machine_.wakeAt() : run.now_;
            checker.before(event);
            run(event);
            BOOST_REQUIRE(checker.after(run));
        }
        BOOST_REQUIRE(run.finalActions_ <= 1);
        BOOST_REQUIRE(run.deliveredAllOnce(static_cast<std::int64_t>(run.delivered_.size())));
        BOOST_REQUIRE((recovery != Recovery::Once || checker.duplicateSends_ == 0));
    }
}

BOOST_AUTO_TEST_SUITE_END()
