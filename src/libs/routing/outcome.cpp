#include "outcome.h"

namespace Routing {

using Admission::Ran;

auto ranAfter(AttemptEnd end) -> Ran
{
    switch (end) {
    case AttemptEnd::Answered:
        return Ran::Yes;
    case AttemptEnd::NotDelivered:
    case AttemptEnd::RefusedNotRun:
        return Ran::No;
    case AttemptEnd::LostBeforeAnswer:
    case AttemptEnd::LostDuringAnswer:
    case AttemptEnd::FailedAfterDispatch:
        break;
    }
    return Ran::Unknown;
}

auto nextStep(AttemptEnd end, bool mayRepeat, bool answerHasBegun) -> NextStep
{
    switch (end) {
    case AttemptEnd::Answered:
        return NextStep::Finish;
    case AttemptEnd::NotDelivered:
    case AttemptEnd::RefusedNotRun:
        return answerHasBegun ? NextStep::GiveUp : NextStep::TryAnother;
    case AttemptEnd::LostBeforeAnswer:
    case AttemptEnd::LostDuringAnswer:
        return NextStep::Resume;
    case AttemptEnd::FailedAfterDispatch:
        break;
    }
    return mayRepeat && !answerHasBegun ? NextStep::TryAnother : NextStep::GiveUp;
}

} // namespace Routing
