#include <routing/crashsuspects.h>
#include <routing/outcome.h>
#include <routing/retrybudget.h>
#include <routing/routingconstants.h>

#include <gtest/gtest.h>

using namespace Routing;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + std::chrono::hours(1);

struct StepCase
{
    AttemptEnd end;
    bool mayRepeat;
    bool hasBegun;
    NextStep step;
    Admission::Ran ran;
};

} // namespace

TEST(Outcome, FollowsTheTable)
{
    using enum AttemptEnd;
    using Admission::Ran;
    const std::vector<StepCase> table = {
        {Answered, true, true, NextStep::Finish, Ran::Yes},
        {NotDelivered, true, false, NextStep::TryAnother, Ran::No},
        {NotDelivered, false, false, NextStep::TryAnother, Ran::No},
        {RefusedNotRun, false, false, NextStep::TryAnother, Ran::No},
        {LostBeforeAnswer, false, false, NextStep::Resume, Ran::Unknown},
        {LostDuringAnswer, true, true, NextStep::Resume, Ran::Unknown},
        {FailedAfterDispatch, true, false, NextStep::TryAnother, Ran::Unknown},
        {FailedAfterDispatch, true, true, NextStep::GiveUp, Ran::Unknown},
        {FailedAfterDispatch, false, false, NextStep::GiveUp, Ran::Unknown},
    };
    for (const auto &row : table) {
        EXPECT_EQ(nextStep(row.end, row.mayRepeat, row.hasBegun), row.step)
            << static_cast<int>(row.end);
        EXPECT_EQ(ranAfter(row.end), row.ran) << static_cast<int>(row.end);
    }
}

// Guards against a fleet that exceeds its retries together (issue 28): each gateway started with a
// full budget again whenever the number of gateways changed.
TEST(RetryBudget, NewLimitAddsNoRetries)
{
    RetryBudget budget(0.1, 5);
    for (int i = 0; i < 4; ++i)
        EXPECT_TRUE(budget.takeRetry());
    budget.setLimits(0.1, 20);
    EXPECT_TRUE(budget.takeRetry());
    EXPECT_FALSE(budget.takeRetry());
    for (int i = 0; i < 300; ++i)
        budget.noteRequest();
    budget.setLimits(0.1, 2);
    EXPECT_TRUE(budget.takeRetry());
    EXPECT_TRUE(budget.takeRetry());
    EXPECT_FALSE(budget.takeRetry());
}

TEST(RetryBudget, LimitsRetriesToAPartOfTheRequests)
{
    RetryBudget budget(0.1, 5);
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.noteRequest();
        retries += budget.takeRetry() ? 1 : 0;
    }
    EXPECT_GE(retries, 100);
    EXPECT_LE(retries, 106);
}

TEST(CrashSuspects, TheCauseIsRefusedAndTheInnocentAreNot)
{
    CrashSuspects suspects;
    for (const auto *fingerprint : {"cause", "innocent-1", "innocent-2"})
        suspects.recordCrash(fingerprint, "crash-1", start);
    for (const auto *fingerprint : {"cause", "innocent-1", "innocent-2"})
        EXPECT_EQ(suspects.suspicionOf(fingerprint, start), Suspicion::RunAlone);
    suspects.noteFinished("innocent-1");
    suspects.recordCrash("cause", "crash-2", start);
    suspects.noteFinished("innocent-2");
    EXPECT_EQ(suspects.suspicionOf("cause", start), Suspicion::Refused);
    EXPECT_EQ(suspects.suspicionOf("innocent-1", start), Suspicion::None);
    EXPECT_EQ(suspects.suspicionOf("innocent-2", start), Suspicion::None);
}

TEST(CrashSuspects, OneCrashReportedTwiceCountsOnce)
{
    CrashSuspects suspects;
    suspects.recordCrash("a", "crash-1", start);
    suspects.recordCrash("a", "crash-1", start);
    EXPECT_EQ(suspects.suspicionOf("a", start), Suspicion::RunAlone);
}

TEST(CrashSuspects, CrashesAreForgottenInTime)
{
    CrashSuspects suspects;
    suspects.recordCrash("a", "crash-1", start);
    suspects.recordCrash("a", "crash-2", start);
    EXPECT_EQ(
        suspects.suspicionOf("a", start + Constants::CrashRecordLifetime + std::chrono::seconds(1)),
        Suspicion::None);
}

TEST(Fingerprint, TellsCustomersModelsAndBodiesApart)
{
    EXPECT_EQ(requestFingerprint("a", "m", "b"), requestFingerprint("a", "m", "b"));
    EXPECT_NE(requestFingerprint("a", "m", "b"), requestFingerprint("c", "m", "b"));
    EXPECT_NE(requestFingerprint("a", "m", "b"), requestFingerprint("a", "n", "b"));
    EXPECT_NE(requestFingerprint("a", "m", "b"), requestFingerprint("a", "m", "c"));
}
