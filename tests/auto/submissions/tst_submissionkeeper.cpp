#include "../shared/faketable.h"

#include <submissions/submissionkeeper.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Submissions;

namespace {

const SubmissionIdentity identity{"county-a", "POST /returns", "daan-1"};
constexpr std::chrono::milliseconds timeLeft(1000);

struct Keeper
{
    explicit Keeper(FakeTable &table)
        : keeper(table, [this] { return now; })
    { }

    auto begin(const std::string &bodyHash = "h") -> BeginResult
    {
        std::optional<BeginResult> result;
        keeper.begin(identity, bodyHash, timeLeft,
                     [&result](const auto &outcome) { result = outcome; });
        return *result;
    }

    auto finish(const RunNow &run, std::optional<RecordedAnswer> answer) -> bool
    {
        bool isRecorded = false;
        keeper.finish(identity, run, "h", std::move(answer),
                      [&isRecorded](bool recorded) { isRecorded = recorded; });
        return isRecorded;
    }

    std::chrono::milliseconds now{1000000};
    SubmissionKeeper keeper;
};

auto isRun(const BeginResult &result) -> bool
{
    return std::holds_alternative<RunNow>(result);
}

auto refusalOf(const BeginResult &result) -> BeginRefusal
{
    return std::get<BeginRefusal>(result);
}

} // namespace

TEST(SubmissionKeeper, ASecondAttemptGetsTheRecordedAnswer)
{
    FakeTable table;
    Keeper first(table);
    Keeper second(table);
    const auto run = std::get<RunNow>(first.begin());
    EXPECT_EQ(refusalOf(second.begin()), BeginRefusal::InProgress);
    EXPECT_TRUE(first.finish(run, RecordedAnswer{201, "text/plain", "receipt 7"}));
    EXPECT_EQ(std::get<AlreadyAnswered>(second.begin()).answer.body, "receipt 7");
}

TEST(SubmissionKeeper, AnUnknownOutcomeIsNeverRunAgain)
{
    FakeTable table;
    Keeper first(table);
    Keeper second(table);
    ASSERT_TRUE(isRun(first.begin()));
    second.now += timeLeft + std::chrono::milliseconds(1); // The first process has stopped.
    EXPECT_EQ(refusalOf(second.begin()), BeginRefusal::Unknown);
    EXPECT_EQ(refusalOf(first.begin()), BeginRefusal::InProgress)
        << "the first process's clock is still before the deadline";
}

TEST(SubmissionKeeper, AnotherBodyUnderTheSameIdentityIsRefused)
{
    FakeTable table;
    Keeper keeper(table);
    ASSERT_TRUE(isRun(keeper.begin("h")));
    EXPECT_EQ(refusalOf(keeper.begin("other")), BeginRefusal::IdentityReused);
}

TEST(SubmissionKeeper, AFailedInsertIsNotRunAndMayBeRetried)
{
    FakeTable table;
    Keeper keeper(table);
    table.callOutcomes = {TableCallOutcome::RequestLost, TableCallOutcome::RequestLost};
    EXPECT_EQ(refusalOf(keeper.begin()), BeginRefusal::StoreUnavailable);
    EXPECT_TRUE(isRun(keeper.begin()));
}

TEST(SubmissionKeeper, ALostCommitAnswerIsResolvedByReadingTheRow)
{
    FakeTable table;
    Keeper keeper(table);
    table.callOutcomes = {TableCallOutcome::ResponseLost};
    EXPECT_TRUE(isRun(keeper.begin()));
}

TEST(SubmissionKeeper, ALateCommitAfterARefusalPreventsAnotherRun)
{
    FakeTable table;
    Keeper keeper(table);
    table.callOutcomes = {TableCallOutcome::CommitDelayed, TableCallOutcome::RequestLost,
                          TableCallOutcome::RequestLost};
    EXPECT_EQ(refusalOf(keeper.begin()), BeginRefusal::StoreUnavailable);
    table.applyDelayedCommits();
    EXPECT_FALSE(isRun(keeper.begin())) << "the row shows that the submission may be running";
}

TEST(SubmissionKeeper, TheNextAttemptTakesOverAnAbandonedClaim)
{
    FakeTable table;
    Keeper first(table);
    Keeper second(table);
    const auto run = std::get<RunNow>(first.begin());
    first.keeper.abandon(identity, run);
    const auto next = second.begin();
    ASSERT_TRUE(isRun(next));
    EXPECT_TRUE(second.finish(std::get<RunNow>(next), RecordedAnswer{200, "", "x"}));
    EXPECT_FALSE(first.finish(run, RecordedAnswer{200, "", "y"})) << "the claim was abandoned";
    EXPECT_EQ(std::get<AlreadyAnswered>(first.begin()).answer.body, "x");
}

TEST(SubmissionKeeper, RecordsTheAnswerDespiteLostStoreAnswers)
{
    FakeTable table;
    Keeper keeper(table);
    const auto run = std::get<RunNow>(keeper.begin());
    table.callOutcomes = {TableCallOutcome::RequestLost, TableCallOutcome::ResponseLost};
    EXPECT_TRUE(keeper.finish(run, RecordedAnswer{200, "", "x"}));
    EXPECT_EQ(std::get<AlreadyAnswered>(keeper.begin()).answer.body, "x");
}

RC_GTEST_PROP(SubmissionKeeper, RunsAtMostOnceWhateverTheStoreLoses, ())
{
    FakeTable table;
    std::vector<std::unique_ptr<Keeper>> keepers;
    for (int i = 0; i < 3; ++i)
        keepers.push_back(std::make_unique<Keeper>(table));
    int runs = 0;
    for (int attempt = 0; attempt < 12; ++attempt) {
        const int losses = *rc::gen::inRange(0, 5);
        for (int i = 0; i < losses; ++i)
            table.callOutcomes.push_back(
                *rc::gen::element(TableCallOutcome::Answered, TableCallOutcome::RequestLost,
                                  TableCallOutcome::ResponseLost, TableCallOutcome::CommitDelayed));
        if (*rc::gen::inRange(0, 3) == 0)
            table.applyDelayedCommits();
        auto &keeper = *keepers[static_cast<size_t>(*rc::gen::inRange(0, 3))];
        keeper.now += std::chrono::milliseconds(*rc::gen::inRange(0, 1500));
        const auto result = keeper.begin();
        if (!isRun(result))
            continue;
        const auto run = std::get<RunNow>(result);
        // The process stops before the dispatch, abandons the claim, runs the submission and stops,
        // or runs it and records the answer.
        const int processFate = *rc::gen::inRange(0, 4);
        if (processFate == 1)
            keeper.keeper.abandon(identity, run);
        if (processFate < 2)
            continue;
        ++runs;
        if (processFate == 3)
            keeper.finish(run, RecordedAnswer{200, "", "x"});
    }
    RC_ASSERT(runs <= 1);
}
