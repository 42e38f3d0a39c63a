/*
 * The right to give orders that is taken from a group of the platform's store.
 *
 * Code: LeaderState (libs/gateway). Two instances that ask the store again and again; a store that
 * names one of them, gives the right on when its holder has not asked for a term, and may hand it
 * on at any moment without a word. A claim's place in a log is its fence. A pause, and a cut from
 * the store, are an instance that takes no step for a while; an answer may come late. Engines here
 * do not check fences, so that only the waiting keeps two holders apart.
 *
 * Properties (flags; an assertion fails when one is raised):
 *   ordersOfTwo    two instances give orders with less than the gap between them
 *   fenceShared    two instances give orders with one fence
 *   fenceFell      an order has a lower fence than one before it
 *
 * What spec/check runs beside the model itself (name, property that must break):
 *   @mutant MUTANT_NO_TAKE_OVER_WAIT ordersOfTwo
 *   @mutant MUTANT_KEEP_FENCE fenceFell
 *   @mutant MUTANT_FENCE_IS_GENERATION fenceShared
 *   @reach REACH_SECOND_HOLDER goalReached
 */

#define TERM 3     /* of the store's word, in ticks */
#define RENEW 1    /* an instance that can, asks at least this often */
#define MARGIN 1   /* the right ends so long before the term */
#define WAIT 5     /* TERM + RENEW + MARGIN: a new holder gives no order before */
#define GAP 1      /* orders of two holders must be further apart than this */
#define MAX_TIME 8
#define MAX_FENCE 2
#ifdef MUTANT_KEEP_FENCE
#define KEPT 1
#else
#define KEPT 0
#endif
#define Nobody 2
#define Never 0

#ifndef MEANT
#define MEANT (ordersOfTwo || fenceShared || fenceFell)
#endif
#ifdef REACH_SECOND_HOLDER
#undef MEANT
#define MEANT goalReached
#endif

byte now;                /* in ticks, from 1 on */
byte holder = Nobody;    /* whom the store names */
byte holderUntil;        /* its word lapses then, unless the holder asks again */
byte handOvers;          /* without the holder's asking: at most one is searched */
byte claims;             /* records in the log of claims */

/* What each instance believes. */
bool named[2];
byte namedUntil[2];
byte fence[2];           /* Never: none */
byte ordersFrom[2];
/* An answer on its way: when it was asked for, and what it says. */
byte askedAt[2];         /* Never: none */
bool answerNames[2];
byte lastAsk[2];         /* once a tick: more often changes nothing */

byte lastOrderBy = Nobody;
byte lastOrderAt;
byte lastFence;
byte fenceOwner[MAX_FENCE + 2];   /* who used it, plus 1 */
bool ordersOfTwo, fenceShared, fenceFell, goalReached;

#define hasRight(i) (named[i] && fence[i] != Never && namedUntil[i] > now && ordersFrom[i] <= now)

/* The store answers at once; the answer may arrive in a later tick. */
inline ask(i) {
    d_step {
        if
        :: (holder == Nobody || (holderUntil <= now && holder != i)) ->
            holder = i
        :: else
        fi;
        if
        :: holder == i -> holderUntil = now + TERM
        :: else
        fi;
        askedAt[i] = now;
        lastAsk[i] = now;
        answerNames[i] = (holder == i)
    }
}

inline hear(i) {
    d_step {
        if
#ifndef MUTANT_KEEP_FENCE
        :: (!answerNames[i] || namedUntil[i] <= now) -> fence[i] = Never
#endif
        :: else
        fi;
        named[i] = answerNames[i];
        if
        :: named[i] -> namedUntil[i] = askedAt[i] + TERM - MARGIN
        :: else -> namedUntil[i] = 0
        fi;
        askedAt[i] = Never;
        answerNames[i] = false;
        if
        :: !named[i] -> fence[i] = fence[i] * KEPT; ordersFrom[i] = 0
        :: else
        fi
    }
}

inline claim(i) {
    d_step {
        claims++;
#ifdef MUTANT_FENCE_IS_GENERATION
        fence[i] = 1;
#else
        fence[i] = claims;
#endif
        if
        :: claims == 1 -> ordersFrom[i] = now
#ifdef MUTANT_NO_TAKE_OVER_WAIT
        :: else -> ordersFrom[i] = now
#else
        :: else -> ordersFrom[i] = now + WAIT
#endif
        fi
    }
}

inline order(i) {
    d_step {
        if
        :: (lastOrderBy != Nobody && lastOrderBy != i && now < lastOrderAt + GAP + 1) ->
            ordersOfTwo = true
        :: else
        fi;
        if
        :: fence[i] < lastFence -> fenceFell = true
        :: else
        fi;
        if
        :: (fenceOwner[fence[i]] != 0 && fenceOwner[fence[i]] != i + 1) -> fenceShared = true
        :: else
        fi;
        if
        :: (lastOrderBy != Nobody && lastOrderBy != i) -> goalReached = true
        :: else
        fi;
        fenceOwner[fence[i]] = i + 1;
        lastOrderBy = i;
        lastOrderAt = now;
        lastFence = fence[i];
        assert(!MEANT)
    }
}

active [2] proctype Instance() {
    byte self = _pid;
end:
    do
    :: atomic { (askedAt[self] == Never && lastAsk[self] < now && now < MAX_TIME) -> ask(self) }
    :: atomic { (askedAt[self] != Never) -> hear(self) }
    :: atomic { (named[self] && namedUntil[self] > now && fence[self] == Never
                 && claims < MAX_FENCE) -> claim(self) }
    :: atomic { (hasRight(self) && !(lastOrderAt == now && lastOrderBy == self)) ->
                order(self) }
    :: now >= MAX_TIME -> break
    od
}

/* Hands the right on without a word, at any moment: the holder before goes on until it asks again,
 * or until its term ends by its own clock when it cannot ask. */
active proctype Store() {
end:
    do
    :: atomic { (holder != Nobody && handOvers < 1 && now < MAX_TIME && named[holder] && namedUntil[holder] > now) ->
        d_step {
            holder = 1 - holder;
            holderUntil = now + TERM;
            handOvers++
        } }
    :: now >= MAX_TIME -> break
    od
}

active proctype Clock() {
    now = 1;
    do
    :: now < MAX_TIME -> now++
    :: else -> break
    od
}
