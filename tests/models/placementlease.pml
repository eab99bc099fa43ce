/* The lease on the placement duty. The holder renews a row in the store by a write conditional on the
 * number of the row's version, and gives no orders once it could not renew for HOLD. Another gateway
 * takes over the row after it has seen it unchanged for TAKE. The store's answers may be lost, writes
 * may take effect late, and a gateway may pause at any time (it takes no step).
 *
 * The store may come back from a copy: with an earlier row, or with none. The numbers of versions are
 * given out again, and the era rises. Gateways learn of an era from any answer of the store, at
 * different times. The row names the era that its writer knew. In a new era a gateway waits for TAKE,
 * except for the one whose lease is valid when it learns of the era. The fencing token is the version,
 * era first, of a tenure's first write. The row names it. A holder that goes on in a new era keeps it, and so
 * does a gateway that starts again and finds its own row of the present era. Where the system starts for the
 * first time, a missing row is free at once in the era before any copy. An order may arrive late, also after
 * its gateway has started again, FLIGHT at most after it was sent.
 *
 * Properties: orders of two different gateways are at least LEASE apart; tokens of orders never fall,
 * and those of two gateways differ.
 * Mutants: FROM_ANSWER, UNCONDITIONAL, EARLY, UNCHECKED, NO_ERA_WAIT, ANY_CONTINUES, OLD_PROOF,
 * ROW_OF_OLD_ERA, MISSING_IS_FREE, BARE_VERSION, NEW_TOKEN, NEW_TOKEN_IN_ERA, FREE_IN_COPY, LONG_FLIGHT.
 * Bounds: without copies by default; one copy beside late writes and gateways that start again with
 * COPY; two in a row with COPIES; gateways that start again beside late writes and late orders with RESTART;
 * a first start beside a copy, gateways that start again and late orders with FIRST. */

#define GATEWAYS 2
#if defined(COPY)
#define HOLD 1
#define LEASE 1
#define MOST_VERSIONS 2
#define MOST_ERAS 1
#define RESTARTS
#elif defined(RESTART)
#define HOLD 2
#define LEASE 1
#define MOST_VERSIONS 3
#define MOST_ERAS 0
#define RESTARTS
#define LATE_ORDERS
#elif defined(FIRST)
#define HOLD 2
#define LEASE 1
#define MOST_VERSIONS 2
#define MOST_ERAS 1
#define RESTARTS
#define LATE_ORDERS
#define NO_LATE
#define FIRST_START
#elif defined(COPIES)
#define HOLD 1
#define LEASE 1
#define MOST_VERSIONS 3
#define MOST_ERAS 2
#define NO_LATE
#else
#define HOLD 2
#define LEASE 2
#define MOST_VERSIONS 4
#define MOST_ERAS 0
#endif
#ifdef LONG_FLIGHT
#define FLIGHT (HOLD + LEASE + 1)
#else
#define FLIGHT 1
#endif
/* Ages above this make no difference. */
#ifdef UNCHECKED
#define OLDEST (2 * HOLD + LEASE)
#else
#define OLDEST HOLD
#endif
#ifdef EARLY
#define TAKE LEASE
#else
#define TAKE (HOLD + LEASE + 1)
#endif
/* The store's row, which is missing in version 0, and its earlier states. */
byte era = 0;
byte version = 0;
byte holders[MOST_VERSIONS + 1];
byte writtenIn[MOST_VERSIONS + 1]; /* The era that the writer knew. */
byte rowTenure[MOST_VERSIONS + 1];
byte rowTenureEra[MOST_VERSIONS + 1];

/* Each gateway's view of the row. */
byte knownEra[GATEWAYS];
bool known[GATEWAYS];
bool aged[GATEWAYS];      /* The store's answer on the row, or a new era, was seen before. */
byte knownVersion[GATEWAYS];
bool isOwn[GATEWAYS];     /* The row is known, and is the gateway's own to renew. */
byte rowAge[GATEWAYS];    /* Time since the gateway saw the row of another one change. */
byte renewalAge[GATEWAYS];  /* Time since the last successful renewal was sent. */
byte tenure[GATEWAYS];    /* Version of the tenure's first write, held or to be continued; 0: none. */
byte tenureEra[GATEWAYS]; /* Era of that write. */
byte continuable[GATEWAYS]; /* Time left of a lease that was valid when an era was learned. */

/* The write in flight: 0 none, 1 sent, 2 applied. */
byte writing[GATEWAYS];
byte sentIn[GATEWAYS];
byte expected[GATEWAYS]; /* Once it is applied, the row's version. */
byte writeAge[GATEWAYS];
byte claimed[GATEWAYS];   /* The tenure that the write continues; 0: it begins one. */
byte claimedEra[GATEWAYS];
/* A write that timed out and may still be applied. */
bool late[GATEWAYS];
byte lateExpected[GATEWAYS];
byte lateEra[GATEWAYS];
byte lateClaimed[GATEWAYS];
byte lateClaimedEra[GATEWAYS];

#ifdef LATE_ORDERS
/* An order on its way: its sender, or 0. */
byte flightOf = 0;
byte flightAge = 0;
byte flightEra = 0;
byte flightToken = 0;
#endif
#ifdef FREE_IN_COPY
bool sawNewEra[GATEWAYS];
#endif

byte lastOrderer = 0;
byte orderAge = LEASE;
byte lastTokenEra = 0;
byte lastToken = 0;

#if defined(MISSING_IS_FREE)
#define isFree(g) (knownVersion[g] == 0 || rowAge[g] >= TAKE)
#elif defined(FREE_IN_COPY)
#define isFree(g) ((knownVersion[g] == 0 && !sawNewEra[g]) || rowAge[g] >= TAKE)
#elif defined(FIRST_START)
#define isFree(g) ((knownVersion[g] == 0 && knownEra[g] == 0) || rowAge[g] >= TAKE)
#else
#define isFree(g) (rowAge[g] >= TAKE)
#endif
/* True if the store's row is the gateway's own to renew. */
#ifdef ROW_OF_OLD_ERA
#define isRenewable(g) (holders[version] == g + 1)
#else
#define isRenewable(g) (holders[version] == g + 1 && writtenIn[version] == knownEra[g])
#endif
#define mayWrite(g) (continuable[g] > 0 || isOwn[g] || isFree(g))
#ifdef UNCHECKED
#define isHeld(g) (isOwn[g] && tenure[g] != 0 && renewalAge[g] < OLDEST)
#else
#define isHeld(g) (renewalAge[g] < HOLD)
#endif
/* An answer to the write in flight proves that the lease is held. */
#ifdef OLD_PROOF
#define countsAsProof(g) true
#define isProofInEra(g) true
#else
#define isProofInEra(g) (sentIn[g] == era)
#define countsAsProof(g) (sentIn[g] == knownEra[g])
#endif
#ifdef UNCONDITIONAL
#define matches(v) true
#else
#define matches(v) (version == v)
#endif
/* The gateways are alike, so the first write to be applied may always be that of the first one. */
#define mayApply(g, v) (matches(v) && version < MOST_VERSIONS && (era > 0 || version > 0 || g == 0))
#ifdef BARE_VERSION
#define isTokenAtLeast(e, v) ((v) >= lastToken)
#define isTokenAbove(e, v) ((v) > lastToken)
#else
#define isTokenAtLeast(e, v) ((e) > lastTokenEra || ((e) == lastTokenEra && (v) >= lastToken))
#define isTokenAbove(e, v) ((e) > lastTokenEra || ((e) == lastTokenEra && (v) > lastToken))
#endif

inline older(age, most)
{
    if
    :: age < most -> age++
    :: else
    fi
}

inline tick()
{
    older(orderAge, LEASE);
#ifdef LATE_ORDERS
    if
    :: flightOf != 0 -> flightAge++
    :: else
    fi;
#endif
    for (i : 0 .. GATEWAYS - 1) {
        if
        /* The age of an own row makes no difference. */
        :: aged[i] && !isOwn[i] -> older(rowAge[i], TAKE)
        :: else
        fi;
        older(renewalAge[i], OLDEST);
        if
        :: continuable[i] > 0 ->
            continuable[i]--;
            if
            :: continuable[i] == 0 && !isOwn[i] -> forgetTenure(i)
            :: else
            fi
        :: else
        fi;
        if
        :: writing[i] != 0 && countsAsProof(i) -> older(writeAge[i], OLDEST)
        :: else
        fi
    }
}

inline forgetTenure(g)
{
    tenure[g] = 0;
    tenureEra[g] = 0
}

inline forgetProof(g)
{
    renewalAge[g] = OLDEST;
    if
#ifndef NEW_TOKEN_IN_ERA
    :: continuable[g] > 0 -> skip
#endif
    :: else -> forgetTenure(g)
    fi
}

inline forgetRow(g)
{
    known[g] = false;
    isOwn[g] = false
}

inline learnEra(g, e)
{
    if
    :: e > knownEra[g] && (knownEra[g] > 0 || aged[g]) ->
        knownEra[g] = e;
#ifdef FREE_IN_COPY
        sawNewEra[g] = true;
#endif
        if
#ifdef ANY_CONTINUES
        :: tenure[g] != 0 -> continuable[g] = HOLD
#else
        :: renewalAge[g] < HOLD -> continuable[g] = HOLD - renewalAge[g]
#endif
        :: else
        fi;
        forgetProof(g);
        forgetRow(g);
#ifndef NO_ERA_WAIT
        knownVersion[g] = 0;
        aged[g] = true;
        rowAge[g] = 0;
#endif
        if
        :: !countsAsProof(g) -> writeAge[g] = 0
        :: else
        fi
    :: e > knownEra[g] && knownEra[g] == 0 && !aged[g] -> knownEra[g] = e
    :: else
    fi
}

inline readRow(g)
{
    learnEra(g, era);
    if
    :: knownVersion[g] != version || !aged[g] -> rowAge[g] = 0
    :: else
    fi;
    if
    :: holders[version] != g + 1 || version < knownVersion[g] -> forgetProof(g)
    :: else
    fi;
    aged[g] = true;
    known[g] = true;
    knownVersion[g] = version;
    isOwn[g] = isRenewable(g);
    if
    :: isOwn[g] ->
        rowAge[g] = 0;
#ifndef NEW_TOKEN
        tenure[g] = rowTenure[version];
        tenureEra[g] = rowTenureEra[version]
#endif
    :: else
    fi
}

/* Resets values that no longer matter, which merges equivalent states. */
inline forgetWrite(g)
{
    writing[g] = 0;
    sentIn[g] = 0;
    expected[g] = 0;
    writeAge[g] = 0;
    claimed[g] = 0;
    claimedEra[g] = 0
}

inline forgetLateWrite(g)
{
    late[g] = false;
    lateExpected[g] = 0;
    lateEra[g] = 0;
    lateClaimed[g] = 0;
    lateClaimedEra[g] = 0
}

inline leaveWrite(g)
{
    late[g] = true;
    lateExpected[g] = expected[g];
    lateEra[g] = sentIn[g];
    lateClaimed[g] = claimed[g];
    lateClaimedEra[g] = claimedEra[g]
}

inline applyWrite(g, e, t, te)
{
    version++;
    holders[version] = g + 1;
    writtenIn[version] = e;
    if
    :: t != 0 -> rowTenure[version] = t; rowTenureEra[version] = te
    :: else -> rowTenure[version] = version; rowTenureEra[version] = era
    fi
}

inline handleWritten(g)
{
#ifdef OLD_PROOF
    learnEra(g, era);
#endif
    if
    :: !countsAsProof(g) -> forgetRow(g)
    :: else ->
        knownVersion[g] = expected[g]; isOwn[g] = true; known[g] = true; aged[g] = true; rowAge[g] = 0;
#ifdef FROM_ANSWER
        renewalAge[g] = 0;
#else
        renewalAge[g] = writeAge[g];
#endif
        continuable[g] = 0;
        if
        :: claimed[g] != 0 -> tenure[g] = claimed[g]; tenureEra[g] = claimedEra[g]
        :: else -> tenure[g] = expected[g]; tenureEra[g] = knownEra[g]
        fi
    fi;
    forgetWrite(g)
}

/* Comes back from the copy with the row's version `v`. */
inline restore(v)
{
    era++;
    i = v + 1;
    do
    :: i <= MOST_VERSIONS ->
        holders[i] = 0; writtenIn[i] = 0; rowTenure[i] = 0; rowTenureEra[i] = 0; i++
    :: else -> break
    od;
    i = 0;
    version = v
}

/* An order of the gateway number `by`, counted from 1, arrives. */
inline takeOrder(by, e, t)
{
    assert(lastOrderer == 0 || lastOrderer == by || orderAge >= LEASE);
    assert(isTokenAtLeast(e, t));
    assert(lastOrderer == 0 || lastOrderer == by || isTokenAbove(e, t));
    lastOrderer = by;
    lastTokenEra = e;
    lastToken = t;
    orderAge = 0
}

#ifdef LATE_ORDERS
inline forgetFlight()
{
    flightOf = 0;
    flightAge = 0;
    flightEra = 0;
    flightToken = 0
}
#endif

#ifdef RESTARTS
inline restart(g)
{
    knownEra[g] = 0;
    forgetRow(g);
    aged[g] = false;
    knownVersion[g] = 0;
    rowAge[g] = 0;
    continuable[g] = 0;
    forgetProof(g);
#ifdef FREE_IN_COPY
    sawNewEra[g] = false;
#endif
#ifndef NO_LATE
    if
    :: writing[g] == 1 -> leaveWrite(g)
    :: else
    fi;
#endif
    forgetWrite(g)
}
#endif

inline step(g)
{
    if
    :: writing[g] == 0 -> readRow(g)
    :: knownEra[g] < era -> learnEra(g, knownEra[g] + 1) /* From an answer on another matter. */
    :: writing[g] == 0 && known[g] && mayWrite(g) && version < MOST_VERSIONS ->
        writing[g] = 1; sentIn[g] = knownEra[g]; expected[g] = knownVersion[g];
        if
        :: continuable[g] > 0 || isOwn[g] -> claimed[g] = tenure[g]; claimedEra[g] = tenureEra[g]
        :: else
        fi
    :: writing[g] == 1 && mayApply(g, expected[g]) ->
        applyWrite(g, sentIn[g], claimed[g], claimedEra[g]);
        if
        :: isProofInEra(g) -> writing[g] = 2; expected[g] = version
        :: forgetWrite(g); forgetRow(g) /* The answer is lost, or proves nothing. */
        fi
    :: writing[g] == 1 && !matches(expected[g]) -> forgetWrite(g); forgetRow(g) /* Rejected. */
    :: writing[g] == 2 -> handleWritten(g)
#ifndef NO_LATE
    :: writing[g] == 1 && !late[g] -> /* No answer in time. */
        leaveWrite(g); forgetWrite(g); forgetRow(g)
    :: late[g] && mayApply(g, lateExpected[g]) ->
        applyWrite(g, lateEra[g], lateClaimed[g], lateClaimedEra[g]); forgetLateWrite(g)
    :: late[g] -> forgetLateWrite(g)
#endif
    :: isHeld(g) -> takeOrder(g + 1, tenureEra[g], tenure[g])
#ifdef LATE_ORDERS
    :: isHeld(g) && flightOf == 0 ->
        flightOf = g + 1; flightEra = tenureEra[g]; flightToken = tenure[g]
#endif
#ifdef RESTARTS
    :: knownEra[g] > 0 || aged[g] -> restart(g)
#endif
    fi
}

active proctype world()
{
    byte i;
    /* Initially no gateway holds the lease. */
    for (i : 0 .. GATEWAYS - 1) {
        renewalAge[i] = OLDEST
    }
    i = 0;
    do
#ifdef LATE_ORDERS
    :: atomic { flightOf == 0 || flightAge < FLIGHT -> tick(); i = 0 }
    :: atomic { flightOf != 0 -> takeOrder(flightOf, flightEra, flightToken); forgetFlight() }
    :: atomic { flightOf != 0 -> forgetFlight() }
#else
    :: atomic { tick(); i = 0 }
#endif
    :: atomic { step(0) }
    :: atomic { step(1) }
    :: atomic { era < MOST_ERAS && version > 0 -> restore(0) }
    :: atomic { era < MOST_ERAS && version > 1 -> restore(1) }
    :: atomic { era < MOST_ERAS && version > 2 -> restore(2) }
    od
}
