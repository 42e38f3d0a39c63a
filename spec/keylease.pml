/*
 * What a caller's key allows is a lease on the configuration that has it.
 *
 * Code: KeyLease and isStillGranted (libs/gateway), TopicReplica::onCompleteAsOf, encodeChanges and decodeChanges
 * (libs/replication). A reader asks the store, a peer asks the reader; answers take any time, so that they
 * may be on their way, or in a frozen process, for long. The key is taken away at any moment. The
 * peer takes requests, checks them, and checks again when it sends them to an endpoint.
 *
 * Properties (flags; an assertion fails when one is raised):
 *   ranLate        a request is sent on later than BOUND after its key was taken away
 *
 * What spec/check runs beside the model itself (name, property that must break):
 *   @mutant MUTANT_AGE_FROM_ANSWER ranLate
 *   @mutant MUTANT_PEER_AGE_FROM_ANSWER ranLate
 *   @mutant MUTANT_LONG_TERM ranLate
 *   @mutant MUTANT_NO_LEASE ranLate
 *   @mutant MUTANT_NO_SECOND_CHECK ranLate
 *   @mutant MUTANT_RESTART_KEEPS_PROOF ranLate
 *   @reach REACH_RUN goalReached
 *   @reach REACH_REFUSED refusedReached
 */

#define BOUND 2
#ifdef MUTANT_LONG_TERM
#define TERM (BOUND + 2)
#else
#define TERM BOUND
#endif
#define MAX_TIME 5
#define Never 0
#define Idle 0
#define Asked 1
#define Answered 2

#ifndef MEANT
#define MEANT ranLate
#endif
#ifdef REACH_RUN
#undef MEANT
#define MEANT goalReached
#endif
#ifdef REACH_REFUSED
#undef MEANT
#define MEANT refusedReached
#endif

byte now = 1;
bool revoked;
byte revokedAt;

byte readerState, readerAskedAt, readerAsOf;   /* Never: nothing is proven */
bool readerAnswer, readerKnows;

byte peerState, peerAskedAt, peerAsOf, arrivedAt;
bool peerAnswer, peerKnows;
short answerAge;                /* Negative: proven after the question had arrived. */
bool answerProven;

bool accepted;                  /* A request was checked and is not sent on yet. */
bool restarted;
bool ranLate, goalReached, refusedReached;

#define mayServe (!peerKnows && peerAsOf != Never && now < peerAsOf + TERM)

active proctype Clock() {
    do
    :: atomic { now < MAX_TIME -> now++ }
    :: now >= MAX_TIME -> break
    od
}

active proctype Operator() {
    atomic { true -> revoked = true; revokedAt = now }
}

active proctype Reader() {
end:
    do
    :: atomic { readerState == Idle && now < MAX_TIME -> readerAskedAt = now; readerState = Asked }
    :: atomic { readerState == Asked -> readerAnswer = revoked; readerState = Answered }
    :: atomic { readerState == Answered ->
            readerKnows = readerKnows || readerAnswer;
#ifdef MUTANT_AGE_FROM_ANSWER
            readerAsOf = now;
#else
            readerAsOf = readerAskedAt;
#endif
            readerState = Idle }
    :: now >= MAX_TIME -> break
    od
}

active proctype Peer() {
end:
    do
    :: atomic { peerState == Idle && now < MAX_TIME -> peerAskedAt = now; peerState = Asked;
                arrivedAt = Never }
    :: atomic { peerState == Asked && arrivedAt == Never -> arrivedAt = now }
    :: atomic { peerState == Asked && arrivedAt != Never ->
            peerAnswer = readerKnows;
            answerProven = readerAsOf != Never;
#ifdef MUTANT_PEER_AGE_FROM_ANSWER
            answerAge = now - readerAsOf;
#else
            answerAge = arrivedAt - readerAsOf;
#endif
            peerState = Answered }
    :: atomic { peerState == Answered ->
            peerKnows = peerKnows || peerAnswer;
            if
            :: answerProven ->
#ifdef MUTANT_PEER_AGE_FROM_ANSWER
                peerAsOf = (answerAge < now -> now - answerAge : Never);
#else
                /* What began before the model's time is no proof that matters. */
                peerAsOf = (answerAge < peerAskedAt -> peerAskedAt - answerAge : Never);
#endif
            :: else
            fi;
            peerState = Idle }
    :: atomic { !restarted ->
            /* It forgets what it knew, and an answer to its question is nobody's. */
            restarted = true;
            peerState = Idle;
            peerKnows = false;
            accepted = false;
#ifndef MUTANT_RESTART_KEEPS_PROOF
            peerAsOf = Never;
#endif
       }
    :: now >= MAX_TIME -> break
    od
}

inline sendOn() {
    goalReached = true;
    if
    :: revoked && now > revokedAt + BOUND -> ranLate = true
    :: else
    fi;
    assert(!MEANT)
}

active proctype Caller() {
end:
    do
    :: atomic { !accepted && now < MAX_TIME ->
            if
#ifdef MUTANT_NO_LEASE
            :: !peerKnows -> accepted = true
#else
            :: mayServe -> accepted = true
#endif
            :: else -> refusedReached = true; assert(!MEANT)
            fi }
    :: atomic { accepted ->
            accepted = false;
            if
#ifdef MUTANT_NO_SECOND_CHECK
            :: true -> sendOn()
#else
#ifdef MUTANT_NO_LEASE
            :: !peerKnows -> sendOn()
#else
            :: mayServe -> sendOn()
#endif
#endif
            :: else
            fi }
    :: now >= MAX_TIME -> break
    od
}
