/*
 * One run at a time of a request that is suspected to crash endpoints, in the whole fleet.
 *
 * Code: CrashEvidence::acquireLease, holdsLease and onUpdate, and Call::startWithLease (libs/gateway).
 * Three instances get the request at any moment. One that knows of no live lease announces its own,
 * waits, and runs the request if it knows of no lower number by then. An announcement takes up to
 * DELAY ticks to each of the others (instances that are in touch; what a cut does is not searched).
 *
 * Properties (flags; an assertion fails when one is raised):
 *   twoRuns        two instances run the request at the same time
 *
 * What spec/check runs beside the model itself (name, property that must break):
 *   @mutant MUTANT_NO_WAIT twoRuns
 *   @mutant MUTANT_WAIT_ONE_WAY twoRuns
 *   @mutant MUTANT_OWN_WINS twoRuns
 *   @mutant MUTANT_LEASE_LAPSES twoRuns
 *   @mutant MUTANT_NO_RENEWAL twoRuns
 *   @mutant MUTANT_BEGINS_LATE twoRuns
 *   @reach REACH_RUN goalReached
 *   @reach REACH_SECOND_RUN secondReached
 */

#define Instances 3
#define DELAY 1
#ifdef MUTANT_NO_WAIT
#define SETTLE 0
#else
#ifdef MUTANT_WAIT_ONE_WAY
#define SETTLE DELAY
#else
#define SETTLE (2 * DELAY + 1)  /* an announcement, and one that crossed it */
#endif
#endif
#ifdef MUTANT_LEASE_LAPSES
#define RUN 14
#else
#define RUN 5            /* a run ends within this time, or its lease is renewed meanwhile */
#endif
#define LIFE 9    /* of a lease */
#define MAX_TIME 18
#define MAX_CLAIMS 2            /* of each instance */
#define Never 0

#define Idle 0
#define Waiting 1
#define Running 2

#ifndef MEANT
#define MEANT twoRuns
#endif
#ifdef REACH_RUN
#undef MEANT
#define MEANT goalReached
#endif
#ifdef REACH_SECOND_RUN
#undef MEANT
#define MEANT secondReached
#endif

byte now = 1;
byte state[Instances];
byte claims[Instances];
byte claimedAt[Instances];      /* the announcement that is on its way has this time */
byte knownHolder[Instances];
byte knownAt[Instances];        /* Never: no lease is known */
byte startedAt[Instances];
bool onItsWay[9];               /* from * Instances + to */
byte running, runs;
bool twoRuns, goalReached, secondReached;

#define isLive(i) (knownAt[i] != Never && now < knownAt[i] + LIFE)
#define overdue(from, to) (onItsWay[from * Instances + to] && claimedAt[from] + DELAY <= now)
#define anyOverdue (overdue(0, 1) || overdue(0, 2) || overdue(1, 0) || overdue(1, 2) \
                    || overdue(2, 0) || overdue(2, 1))
#define outlasts(i) (state[i] == Running && startedAt[i] + RUN <= now)

inline announce(i) {
    d_step {
        claims[i]++;
        claimedAt[i] = now;
        knownHolder[i] = i;
        knownAt[i] = now;
        onItsWay[i * Instances + (i + 1) % Instances] = true;
        onItsWay[i * Instances + (i + 2) % Instances] = true;
        state[i] = Waiting
    }
}

inline hear(from, i) {
    d_step {
        onItsWay[from * Instances + i] = false;
        if
#ifdef MUTANT_OWN_WINS
        :: (!isLive(i) || (from < knownHolder[i] && knownHolder[i] != i)) ->
#else
        :: (!isLive(i) || from <= knownHolder[i]) ->
#endif
            knownHolder[i] = from;
            knownAt[i] = claimedAt[from]
        :: else
        fi
    }
}

inline beginOrYield(i) {
    d_step {
        if
#ifdef MUTANT_BEGINS_LATE
        :: (isLive(i) && knownHolder[i] == i) ->
#else
        /* Others hear that it is renewed before they take it for lapsed. */
        :: (isLive(i) && knownHolder[i] == i && now + DELAY < knownAt[i] + LIFE) ->
#endif
            state[i] = Running;
            startedAt[i] = now;
#ifndef MUTANT_NO_RENEWAL
            /* Told again: a run that began late must not outlast its lease. */
            knownAt[i] = now;
            claimedAt[i] = now;
            onItsWay[i * Instances + (i + 1) % Instances] = true;
            onItsWay[i * Instances + (i + 2) % Instances] = true;
#endif
            running++;
            runs++;
            goalReached = true;
            if
            :: running > 1 -> twoRuns = true
            :: else
            fi;
            if
            :: runs > 1 -> secondReached = true
            :: else
            fi
        :: else -> state[i] = Idle
        fi;
        assert(!MEANT)
    }
}

active [Instances] proctype Instance() {
    byte self = _pid;
end:
    do
    :: atomic { (state[self] == Idle && !isLive(self) && claims[self] < MAX_CLAIMS
                 && now < MAX_TIME && !onItsWay[self * Instances + (self + 1) % Instances]
                 && !onItsWay[self * Instances + (self + 2) % Instances]) -> announce(self) }
    :: atomic { (state[self] == Waiting && now >= claimedAt[self] + SETTLE) -> beginOrYield(self) }
    :: atomic { (state[self] == Running) -> state[self] = Idle; running-- }
    :: atomic { onItsWay[((self + 1) % Instances) * Instances + self] ->
                hear((self + 1) % Instances, self) }
    :: atomic { onItsWay[((self + 2) % Instances) * Instances + self] ->
                hear((self + 2) % Instances, self) }
    :: now >= MAX_TIME -> break
    od
}

active proctype Clock() {
    do
    :: atomic { (now < MAX_TIME && !anyOverdue && !outlasts(0) && !outlasts(1) && !outlasts(2)) ->
                now++ }
    :: now >= MAX_TIME -> break
    od
}
