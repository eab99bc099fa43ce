/* Moving the permit of a model with one replica between two backend servers. The planner writes the
 * control state. Agents poll it, may be replaced, and send orders to their engine; orders may arrive
 * late and their answers may be lost. Engine 1 rejects outdated fencing numbers; engine 0 ignores them.
 *
 * Property: the model is never loaded on more engines than decided (one).
 * Mutants: EARLY_MOVE   the permit moves without waiting for the old holder's confirmation
 *          LOSE_ORDER   an order whose answer was lost is treated as not executed
 *          NO_LINGER    a new agent does not wait until its predecessor's orders can no longer arrive
 */
#define NONE 2
byte granted = 0;              /* server with the permit */
byte revoked = NONE;           /* server that still has to confirm */
byte loaded[2];                /* whether the engine has the model loaded */
byte inFlight[2];              /* load orders in flight to the engine */
bit mayHold[2];                /* the agent's ledger: the engine may hold the model */
bit known[2];                  /* the agent has reconciled with its engine */
byte replacements = 0;

active proctype Planner() {
  byte moves = 0;
  do
  :: atomic { moves < 2 && revoked == NONE ->
#ifdef EARLY_MOVE
       granted = 1 - granted;
#else
       revoked = granted; granted = NONE;
#endif
       moves++ }
  :: atomic { granted == NONE && revoked == NONE -> if :: granted = 0 :: granted = 1 fi }
  od
}

proctype Agent(byte me) {
  do
  :: atomic { known[me] && granted == me && !mayHold[me] -> mayHold[me] = 1; inFlight[me]++ }
  :: atomic { known[me] && mayHold[me] && inFlight[me] == 0 && granted != me -> loaded[me] = 0; mayHold[me] = 0 }
#ifdef LOSE_ORDER
  :: atomic { known[me] && mayHold[me] && !loaded[me] -> mayHold[me] = 0 }
#else
  /* A lost order is written off only when it can no longer arrive. */
  :: atomic { known[me] && mayHold[me] && !loaded[me] && inFlight[me] == 0 -> mayHold[me] = 0 }
#endif
  :: atomic { known[me] && revoked == me && !mayHold[me] -> revoked = NONE }
  /* The agent is replaced; its successor starts without state. */
  :: atomic { replacements < 2 -> replacements++; known[me] = 0; mayHold[me] = 0 }
#ifdef NO_LINGER
  :: atomic { !known[me] -> known[me] = 1; mayHold[me] = loaded[me] }
#else
  :: atomic { !known[me] && (me == 1 || inFlight[me] == 0) -> known[me] = 1; mayHold[me] = loaded[me];
       /* A server that honours fencing rejects the previous agent's orders from now on. */
       if :: me == 1 -> inFlight[me] = 0 :: else fi }
#endif
  od
}

proctype Engine(byte me) {
  do
  :: atomic { inFlight[me] > 0 -> inFlight[me]--; loaded[me] = 1; assert(loaded[0] + loaded[1] <= 1) }
  od
}

init { atomic { known[0] = 1; known[1] = 1; run Agent(0); run Agent(1); run Engine(0); run Engine(1) } }
