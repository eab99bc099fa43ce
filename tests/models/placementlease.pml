/* The lease on the placement duty. The holder renews a row in the store by a write conditional on the
 * row's version, and gives no orders once it could not renew for HOLD. Another gateway takes over the
 * row after it has seen it unchanged for TAKE. The store's answers may be lost, writes may take effect
 * late, and a gateway may pause at any time (it takes no step).
 *
 * Property: orders of two different gateways are at least LEASE apart.
 * Mutants: FROM_ANSWER, UNCONDITIONAL, EARLY, UNCHECKED. */

#define GATEWAYS 2
#define HOLD 2
#define LEASE 2
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
#define MOST_VERSIONS 4

/* The store's row. */
byte version = 0;
byte holder = 0;

/* Each gateway's view of the row. */
bool known[GATEWAYS];
byte knownVersion[GATEWAYS];
byte knownHolder[GATEWAYS];
byte rowAge[GATEWAYS];    /* Time since the gateway saw the row change. */
byte renewalAge[GATEWAYS];  /* Time since the last successful renewal was sent. */

/* The write in flight: 0 none, 1 sent, 2 applied, 3 rejected. */
byte writing[GATEWAYS];
byte expected[GATEWAYS];
byte writeAge[GATEWAYS];
byte written[GATEWAYS];
/* A write that timed out and may still be applied. */
bool late[GATEWAYS];
byte lateExpected[GATEWAYS];

byte lastOrderer = 0;
byte orderAge = LEASE;

#define isOwn(g) (knownHolder[g] == g + 1)
#define isFree(g) (knownVersion[g] == 0 || rowAge[g] >= TAKE)
#ifdef UNCHECKED
#define isHeld(g) (isOwn(g) && known[g] && renewalAge[g] < OLDEST)
#else
#define isHeld(g) (renewalAge[g] < HOLD)
#endif
#ifdef UNCONDITIONAL
#define matches(v) true
#else
#define matches(v) (version == v)
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
    for (i : 0 .. GATEWAYS - 1) {
        older(rowAge[i], TAKE);
        older(renewalAge[i], OLDEST);
        if
        :: writing[i] != 0 -> older(writeAge[i], OLDEST)
        :: else
        fi
    }
}

inline readRow(g)
{
    if
    :: knownVersion[g] != version -> rowAge[g] = 0
    :: else
    fi;
    known[g] = true;
    knownVersion[g] = version;
    knownHolder[g] = holder;
    if
    :: holder != g + 1 -> renewalAge[g] = OLDEST
    :: else
    fi
}

/* Resets values that no longer matter, which merges equivalent states. */
inline forgetWrite(g)
{
    writing[g] = 0;
    expected[g] = 0;
    writeAge[g] = 0;
    written[g] = 0
}

inline giveOrder(g)
{
    assert(lastOrderer == 0 || lastOrderer == g + 1 || orderAge >= LEASE);
    lastOrderer = g + 1;
    orderAge = 0
}

inline step(g)
{
    if
    :: writing[g] == 0 -> readRow(g)
    :: writing[g] == 0 && known[g] && (isOwn(g) || isFree(g)) && version < MOST_VERSIONS ->
        writing[g] = 1; expected[g] = knownVersion[g]; writeAge[g] = 0
    :: writing[g] == 1 && matches(expected[g]) && version < MOST_VERSIONS ->
        version++; holder = g + 1; written[g] = version; writing[g] = 2
    :: writing[g] == 1 && !matches(expected[g]) -> writing[g] = 3
    :: writing[g] == 2 ->
        knownVersion[g] = written[g]; knownHolder[g] = g + 1; rowAge[g] = writeAge[g];
#ifdef FROM_ANSWER
        renewalAge[g] = 0;
#else
        renewalAge[g] = writeAge[g];
#endif
        forgetWrite(g)
    :: writing[g] == 1 && !late[g] -> /* No answer in time. */
        late[g] = true; lateExpected[g] = expected[g]; forgetWrite(g); known[g] = false
    :: writing[g] >= 2 -> forgetWrite(g); known[g] = false /* The answer is lost. */
    :: late[g] && matches(lateExpected[g]) && version < MOST_VERSIONS ->
        late[g] = false; lateExpected[g] = 0; version++; holder = g + 1
    :: late[g] -> late[g] = false; lateExpected[g] = 0
    :: isHeld(g) -> giveOrder(g)
    fi
}

active proctype world()
{
    byte i;
    /* Initially no gateway holds the lease. */
    for (i : 0 .. GATEWAYS - 1) {
        renewalAge[i] = OLDEST
    }
    do
    :: atomic { tick(); i = 0 }
    :: atomic { step(0) }
    :: atomic { step(1) }
    od
}
