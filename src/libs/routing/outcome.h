#pragma once

#include <admission/refusal.h>

namespace Routing {

/// Where an attempt at a backend server ended.
enum class AttemptEnd {
    Answered, ///< The whole answer came.
    NotDelivered, ///< Proved that the agent never saw the request.
    RefusedNotRun, ///< The agent refused and proved that nothing was dispatched.
    LostBeforeAnswer, ///< The link went away; the request may be running.
    LostDuringAnswer, ///< The link went away after the answer began.
    FailedAfterDispatch, ///< The backend server failed with the request in its hands.
};

/// What to do after an attempt.
enum class NextStep { Finish, TryAnother, Resume, GiveUp };

/// Whether the request may have run, judged from how an attempt ended.
auto ranAfter(AttemptEnd end) -> Admission::Ran;

/// `mayRepeat` is false for submissions that run at most once;
/// an answer that has begun is never started again.
auto nextStep(AttemptEnd end, bool mayRepeat, bool answerHasBegun) -> NextStep;

} // namespace Routing
