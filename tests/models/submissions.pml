/* A submission that may run at most once. Two agents receive it, in sequence or concurrently, because
 * its caller resends it. Each inserts the row with its own token before it dispatches. Commits may take
 * effect late, their answers may be lost, and agents may die at any step.
 *
 * Property: the service runs the submission at most once, and a refusal that says "not run" is true
 * when it is sent and remains true for that attempt.
 * Mutants: DISPATCH_FIRST  dispatches before the row is inserted
 *          RETRY_UNKNOWN   takes over an unanswered row whose owner no longer responds
 *          FRESH_TOKEN     treats a row as its own although it holds another token
 */
byte row = 0;                 /* 0 none, else the token of the agent that inserted it */
bit abandoned = 0; bit answered = 0;
byte runs = 0;
bit ranFor[3]; bit saidNotRun[3];
bit late[3];                  /* a commit whose answer was lost and which has not taken effect yet */

inline dispatch(me) {
  atomic { runs++; ranFor[me] = 1; assert(runs <= 1); assert(!saidNotRun[me]) }
}

proctype Late(byte me) {
  /* A lost commit takes effect at any later moment, if its condition still holds. */
end:
  do :: atomic { late[me] -> late[me] = 0; if :: row == 0 -> row = me :: else fi } od
}

proctype Agent(byte me) {
  bit mine = 0; bit retried = 0;
#ifdef DISPATCH_FIRST
  dispatch(me);
#endif
again:
  if
  :: atomic { row == 0 -> row = me; mine = 1 }
  :: atomic { row != 0 && !abandoned }
  :: atomic { row != 0 && abandoned -> abandoned = 0; row = me; mine = 1 }
  :: atomic { late[me] = 1 }                        /* answer lost: the commit may take effect later */
  :: goto dead
  fi;
  if
  :: mine -> skip
  :: else ->
     if                                              /* read the row back */
     :: atomic { row == me && !abandoned -> mine = 1 }
     :: atomic { row == 0 && !retried -> retried = 1 }; goto again
#ifdef RETRY_UNKNOWN
     :: atomic { row != 0 && row != me && !answered -> row = me; mine = 1 }
#endif
#ifdef FRESH_TOKEN
     :: atomic { row != 0 && !answered -> mine = 1 }
#endif
     :: atomic { row != me -> saidNotRun[me] = 1; assert(!ranFor[me]) }; goto dead   /* refused, not run */
     fi
  fi;
  if
  :: goto dead                                       /* dies or finds its deadline passed before dispatch */
  :: atomic { row == me -> abandoned = 1; saidNotRun[me] = 1; assert(!ranFor[me]) }; goto dead
  :: skip
  fi;
#ifndef DISPATCH_FIRST
  dispatch(me);
#endif
  if
  :: atomic { row == me -> answered = 1 }
  :: skip
  fi;
dead: skip
}

init { atomic { run Agent(1); run Agent(2); run Late(1); run Late(2) } }
