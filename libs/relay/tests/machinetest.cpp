#include "almondridge/relay/machine.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace almondridge;
using namespace almondridge::relay;

namespace {

const EndpointId First("e1");
const EndpointId Second("e2");

/** A machine with a manual clock and the actions of its last event. */
struct MachineRun
{
    explicit MachineRun(Recovery recovery, std::int64_t maxTokens = 10)
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

    MachineRun &operator()(const Event &event)
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

    /** Advances the clock to wakeAt() and sends TimePassed. */
    MachineRun &advanceToWake()
    {
        now_ = machine_.wakeAt();
        return (*this)(TimePassed {});
    }

    /** Chooses the endpoint for the request, which the machine then sends. */
    MachineRun &sentTo(const EndpointId &endpoint)
    {
        (*this)(EndpointChosen {endpoint, std::nullopt, now_ + millis(100)});
        connection_ = lastAction<SendRequest>()->connection_;
        return *this;
    }
    MachineRun &acceptedBy(const EndpointId &endpoint)
    {
        sentTo(endpoint);
        return (*this)(HeadReceived {connection_, HeadKind::Accepted, {}});
    }
    MachineRun &tokens(std::int64_t from, std::int64_t count)
    {
        for (std::int64_t offset = from; offset < from + count; ++offset) {
            (*this)(TokensReceived {connection_, offset, 1});
        }
        return *this;
    }
    MachineRun &resumed()
    {
        connection_ = lastAction<ResumeStream>()->connection_;
        return (*this)(HeadReceived {connection_, HeadKind::Accepted, {}});
    }
    /** Lets the inactivity timeout pass and reports that the engine is alive. */
    MachineRun &checkedAlive()
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

BOOST_AUTO_TEST_CASE(streamIsDeliveredAndFinishedOnce)
{
    MachineRun run(Recovery::Stream);
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

// Guards against gaps and duplicates in a response that another engine continues: its offsets
// restart at 0, so they must not be taken for offsets in the whole response.
BOOST_AUTO_TEST_CASE(streamOfACrashedEngineContinuesOnAnotherWithoutGapOrDuplicate)
{
    MachineRun run(Recovery::Stream);
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

// Guards against a response that stalls for ever because a middlebox dropped the connection without
// closing it. Only a new connection can show that the engine is alive.
BOOST_AUTO_TEST_CASE(stalledStreamResumesOnANewConnectionOfTheSameAttempt)
{
    MachineRun run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 3);
    const ConnectionNumber old = run.connection_;
    run.checkedAlive();
    BOOST_TEST(run.lastAction<ResumeStream>()->offset_ == 3);
    BOOST_TEST(run.lastAction<ResumeStream>()->endpoint_ == First);
    run.resumed();
    // The engine resumes earlier than requested, and the old connection delivers late events.
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

// Guards against waiting for a failed engine as if it were slow: both its stream and the health
// check time out.
BOOST_AUTO_TEST_CASE(engineThatFailsItsHealthCheckIsCancelledAndReplaced)
{
    MachineRun run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 2).advanceToWake();
    BOOST_TEST(run.lastAction<CheckEngine>());
    run.advanceToWake();
    BOOST_TEST((run.lastAction<Cancel>()->attempt_ == AttemptId("r.1")));
    BOOST_TEST(run.lastAction<ChooseEndpoint>());
}

// Guards against prefilling a prompt again and again while its engine is only slow, such as behind
// a long prefill. Each probe waits longer, and only several in a row without a token give up.
BOOST_AUTO_TEST_CASE(timeoutDoublesWithEachProbeOfASlowEngine)
{
    MachineRun run(Recovery::Stream);
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

BOOST_AUTO_TEST_CASE(missingTokensAreRequestedAgain)
{
    MachineRun run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 2);
    run(TokensReceived {run.connection_, 5, 1});
    BOOST_TEST(!run.lastAction<Deliver>());
    BOOST_TEST(run.lastAction<ResumeStream>()->offset_ == 2);
    run.resumed();
    run.tokens(2, 8);
    BOOST_TEST(run.deliveredAllOnce(10));
}

BOOST_AUTO_TEST_CASE(streamThatLostOnlyItsEndIsComplete)
{
    MachineRun run(Recovery::Stream);
    run(Admitted {}).acceptedBy(First).tokens(0, 10);
    run(ConnectionLost {run.connection_, true});
    run(HeadReceived {run.lastAction<ResumeStream>()->connection_, HeadKind::StreamNotFound, {}});
    BOOST_TEST(run.lastAction<Finish>());
}

// Guards against a double execution: a caller that is told "not run" sends the request again. A
// timeout or a lost connection must not count as a refusal. Each row is the first endpoint's
// behaviour; no other endpoint is available.
BOOST_AUTO_TEST_CASE(notRunIsReportedOnlyWhenNothingCanHaveRun)
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
            MachineRun run(recovery);
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

// Guards against executing a non-idempotent call twice: the connection breaks after the request was
// sent and before its response, and the endpoint may have executed it.
BOOST_AUTO_TEST_CASE(nonIdempotentCallIsNotResentOnceAByteMayHaveBeenSent)
{
    MachineRun lost(Recovery::Once);
    lost(Admitted {}).sentTo(First);
    lost(ConnectionLost {lost.connection_, true});
    BOOST_TEST(lost.refused(Outcome::Unknown, RefusalCause::ConnectionLost));

    MachineRun partly(Recovery::Once);
    partly(Admitted {});
    partly(EndpointChosen {First, std::nullopt, {}});
    partly(ConnectionLost {partly.lastAction<SendRequest>()->connection_, true});
    BOOST_TEST(partly.refused(Outcome::Unknown, RefusalCause::ConnectionLost));

    MachineRun late(Recovery::Once);
    late(Admitted {}).sentTo(First).advanceToWake();
    BOOST_TEST(late.refused(Outcome::Unknown, RefusalCause::DeadlinePassed));

    MachineRun unreached(Recovery::Once);
    unreached(Admitted {});
    unreached(EndpointChosen {First, std::nullopt, {}});
    unreached(ConnectionLost {unreached.lastAction<SendRequest>()->connection_, false});
    BOOST_TEST(unreached.lastAction<ChooseEndpoint>());

    MachineRun refused(Recovery::Once);
    refused(Admitted {}).sentTo(First);
    refused(HeadReceived {refused.connection_, HeadKind::NotRun, {}});
    BOOST_TEST(refused.lastAction<ChooseEndpoint>());
}

BOOST_AUTO_TEST_CASE(idempotentCallIsRetriedUntilItsResponseIsForwarded)
{
    MachineRun run(Recovery::Repeat);
    run(Admitted {}).acceptedBy(First);
    BOOST_TEST(run.lastAction<ForwardResponse>());
    run(ConnectionLost {run.connection_, true});
    BOOST_TEST(run.lastAction<ChooseEndpoint>()->budgeted_);
    run.acceptedBy(Second);
    run(ResponseForwarded {run.connection_});
    run(ConnectionLost {run.connection_, true});
    BOOST_TEST(run.refused(Outcome::Unknown, RefusalCause::ResponseInterrupted));
}

// Guards against retries that amplify an overload when every endpoint fails. A first retry after an
// attempt that did not start is free; others consume the retry budget.
BOOST_AUTO_TEST_CASE(retriesAreBoundedByTheBudgetAndByTheRequestsOwnLimit)
{
    MachineRun run(Recovery::Repeat);
    run(Admitted {}).sentTo(First);
    run(HeadReceived {run.connection_, HeadKind::NotRun, run.now_ + millis(9'000)});
    BOOST_TEST(!run.lastAction<ChooseEndpoint>()->budgeted_);
    run.sentTo(Second);
    run(HeadReceived {run.connection_, HeadKind::NotRun, {}});
    BOOST_TEST(run.lastAction<ChooseEndpoint>()->budgeted_);
    MachineRun spent = run;
    spent(RetryBudgetExhausted {spent.now_ + millis(100)});
    BOOST_TEST(spent.refused(Outcome::NotRun, RefusalCause::RetryBudgetExhausted));
    BOOST_TEST((spent.lastAction<Refuse>()->retryAt_ == spent.now_ + millis(9'000)));
    for (int attempt = 2; attempt < MachineLimits().maxAttempts_; ++attempt) {
        run.sentTo(EndpointId("other" + std::to_string(attempt)));
        run(HeadReceived {run.connection_, HeadKind::NotRun, {}});
    }
    BOOST_TEST(run.refused(Outcome::NotRun, RefusalCause::AttemptLimitReached));
}

// Guards against breaking off a partly delivered response while its only engine restarts, which
// takes seconds. A new request is refused at once instead.
BOOST_AUTO_TEST_CASE(startedStreamWaitsForAnEndpointAndANewRequestDoesNot)
{
    MachineRun newRequest(Recovery::Stream);
    newRequest(Admitted {})(NoEndpoint {newRequest.now_ + millis(10)});
    BOOST_TEST(newRequest.refused(Outcome::NotRun, RefusalCause::NoEndpoint));

    MachineRun started(Recovery::Stream);
    started(Admitted {}).acceptedBy(First).tokens(0, 1);
    started(ConnectionLost {started.connection_, true});
    started(ConnectionLost {started.lastAction<ResumeStream>()->connection_, false});
    MachineRun withoutEndpoint = started;
    started(NoEndpoint {}).advanceToWake();
    BOOST_TEST(started.lastAction<ChooseEndpoint>()->excluded_.empty());
    started.acceptedBy(First).tokens(0, 9);
    BOOST_TEST(started.deliveredAllOnce(10));
    while (!withoutEndpoint(NoEndpoint {withoutEndpoint.now_ + millis(10)}).machine_.finished()) {
        withoutEndpoint.advanceToWake();
    }
    BOOST_TEST(withoutEndpoint.refused(Outcome::Unknown, RefusalCause::NoEndpoint));
}

// Guards against engines that generate for callers that closed their connection. When only writing
// to the caller fails, it may already resume through another instance, so the stream must continue.
BOOST_AUTO_TEST_CASE(disconnectedCallerCancelsItsStreamAndAFailedWriteDoesNot)
{
    MachineRun gone(Recovery::Stream);
    gone(Admitted {}).acceptedBy(First).tokens(0, 1);
    MachineRun silent = gone;
    gone(CallerGone {});
    BOOST_TEST((gone.lastAction<Cancel>()->endpoint_ == First));
    BOOST_TEST(gone.lastAction<AttemptEnded>()->succeeded_);
    BOOST_TEST(gone.lastAction<Abandon>());
    silent(CallerGone {true});
    BOOST_TEST(!silent.lastAction<Cancel>());
    BOOST_TEST(silent.lastAction<Abandon>());

    MachineRun confirmation(Recovery::Once);
    confirmation(Admitted {}).sentTo(First);
    confirmation(CallerGone {});
    BOOST_TEST(!confirmation.machine_.finished());
}

BOOST_AUTO_TEST_CASE(failedPrefillFallsBackToTheDecodeEngine)
{
    for (const PrefillStatus status :
         {PrefillStatus::Ready, PrefillStatus::NotSent, PrefillStatus::Failed}) {
        MachineRun run(Recovery::Stream);
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
    MachineRun slow(Recovery::Stream);
    slow(Admitted {});
    slow(EndpointChosen {First, Second, slow.now_});
    slow.advanceToWake();
    BOOST_TEST((slow.lastAction<Cancel>()->endpoint_ == Second));
    BOOST_TEST(!slow.lastAction<SendRequest>()->afterPrefill_);
}

BOOST_AUTO_TEST_CASE(resumedStreamThatItsEngineLostIsRefusedAsUnknown)
{
    RequestSpec spec = MachineRun::specOf(Recovery::ResumeOnly, 10);
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

BOOST_AUTO_TEST_CASE(withoutACallerDeadlineEveryTokenExtendsTheDeadline)
{
    RequestSpec spec = MachineRun::specOf(Recovery::Stream, 1'000);
    spec.deadlineExtension_ = millis(60'000);
    MachineRun run(Recovery::Stream);
    run.machine_ = RequestMachine::Builder().spec(spec).build();
    run(Admitted {}).acceptedBy(First);
    for (std::int64_t offset = 0; offset < 200; ++offset) {
        run.now_ += millis(900);
        run.tokens(offset, 1);
    }
    BOOST_TEST(run.deliveredAllOnce(200));
}

/** Checks invariants from the events and actions, independently of the machine. */
struct InvariantChecker
{
    void before(const Event &event)
    {
        const auto *lost = std::get_if<ConnectionLost>(&event);
        const auto *head = std::get_if<HeadReceived>(&event);
        const bool notSent = lost && lost->connection_ == sendConnection_ && !lost->anythingSent_;
        const bool notRun =
            head && head->connection_ == sendConnection_ && head->kind_ == HeadKind::NotRun;
        // Only the first response to a send counts: an accepted request stays accepted.
        mayBeRunning_ = mayBeRunning_ && !(awaitingFirstReply_ && (notSent || notRun));
        awaitingFirstReply_ =
            awaitingFirstReply_ && !(head && head->connection_ == sendConnection_);
    }
    bool after(const MachineRun &run)
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
    int duplicateSends_ = 0; ///< Sends made although an earlier one may have run.
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

// Invariants for random event orders: at most one final action, no token twice or missing, no "not
// run" once a request may have run, and no resend of a non-idempotent call that may have run.
BOOST_AUTO_TEST_CASE(anyOrderOfEventsKeepsTheInvariants)
{
    std::mt19937 random(7);
    for (int round = 0; round < 20'000; ++round) {
        const auto recovery = static_cast<Recovery>(random() % 3);
        MachineRun run(recovery, 6);
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
