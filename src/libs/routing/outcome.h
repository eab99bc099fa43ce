#pragma once

#include <admission/refusal.h>

namespace Routing {

/// How an attempt at a backend server ended.
enum class AttemptEnd {
    Answered, ///< The whole answer was received.
    NotDelivered, ///< The agent provably never received the request.
    RefusedNotRun, ///< The agent refused and nothing was dispatched.
    LostBeforeAnswer, ///< The link was lost; the request may be running.
    LostDuringAnswer, ///< The link was lost after the answer had begun.
    FailedAfterDispatch, ///< The backend server failed while processing the request.
};

/// What to do after an attempt.
enum class NextStep { Finish, TryAnother, Resume, GiveUp };

/// Whether the request may have run, given how an attempt ended.
auto ranAfter(AttemptEnd end) -> Admission::Ran;

/// Decides what to do after an attempt. `mayRepeat` is false for submissions that run at most once;
/// an answer that has begun is never restarted.
auto nextStep(AttemptEnd end, bool mayRepeat, bool answerHasBegun) -> NextStep;

} // namespace Routing
