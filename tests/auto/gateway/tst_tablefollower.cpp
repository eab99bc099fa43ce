// Tests the copy of a table when the store's answers are slow, lost, or overtaken by newer rows.

#include "../shared/slowrowstore.h"
#include "../shared/virtualscheduler.h"

#include <availability/stalenessdetector.h>
#include <gateway/denialcheck.h>
#include <gateway/gatewayconstants.h>
#include <gateway/gatewaysettings.h>
#include <gateway/tablefollower.h>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

using Gateway::Row;
using Gateway::StalenessDetector;
using Gateway::StoreError;
using Gateway::TableFollower;
using namespace std::chrono_literals;

namespace {

/// A follower whose peers know each row as soon as it is written.
class FollowerFixture
{
public:
    explicit FollowerFixture(
        std::chrono::milliseconds batchInterval = 0ms,
        std::chrono::milliseconds lagTimeout = Gateway::Constants::ConfigurationLagTimeout)
        : store(scheduler)
        , m_follower(scheduler, store, "table", batchInterval, events())
        , m_stalenessDetector(lagTimeout)
    { }

    auto start() -> void
    {
        m_follower.start();
        checkStaleness();
    }
    auto put(const std::string &key, const std::string &value) -> Utils::StoreVersion
    {
        store.put(key, value);
        return store.version();
    }
    auto advance(Utils::Duration duration) -> void { scheduler.advance(duration); }
    auto newestRowVersion() const -> Utils::StoreVersion { return m_follower.newestRowVersion(); }
    auto queryAgain() -> void { m_follower.queryAgain(); }
    auto requestConfirmation() -> void { m_follower.requestConfirmation(); }
    /// Returns true if the copy equals the current table.
    auto isCurrent() const -> bool
    {
        if (copy.size() != store.rows().size())
            return false;
        return std::all_of(store.rows().begin(), store.rows().end(), [this](const auto &item) {
            const auto found = copy.find(item.first);
            return found != copy.end() && found->second == item.second.value;
        });
    }

    VirtualScheduler scheduler;
    SlowRowStore store;
    std::map<std::string, std::string> copy;
    std::vector<Utils::StoreVersion> appliedVersions; ///< Versions of written rows as they arrived.
    bool hasPeers = true;
    int repeatedQueries = 0;
    int losses = 0;
    int falseConfirmations = 0; ///< Confirmations while the copy lacked a change.
    Utils::TimePoint confirmedAt; ///< The copy holds all that the store held then.

private:
    /// Returns true if the copy holds each row as it was before `at`, or newer.
    auto knowsAllBefore(Utils::TimePoint at) const -> bool
    {
        const auto rows = store.rowsBefore(at);
        return std::all_of(rows.begin(), rows.end(), [this](const Row &row) {
            const auto found = copy.find(row.key);
            return found != copy.end() && found->second == row.value;
        });
    }

    auto events() -> TableFollower::Events
    {
        TableFollower::Events result;
        result.onRow = [this](const Row &row) {
            if (row.isRemoved) {
                copy.erase(row.key);
                return;
            }
            appliedVersions.push_back(row.version);
            copy[row.key] = row.value;
        };
        result.onCaughtUp = [] {};
        result.onConfirmed = [this](Utils::TimePoint at) {
            confirmedAt = std::max(confirmedAt, at);
            if (!knowsAllBefore(at))
                ++falseConfirmations;
        };
        result.onLost = [this](StoreError) { ++losses; };
        result.onRegained = [] {};
        return result;
    }

    /// Repeats the query if the copy is stale, as the gateway does every few milliseconds.
    auto checkStaleness() -> void
    {
        if (hasPeers)
            m_stalenessDetector.notePeerVersion(store.version(), scheduler.now());
        m_stalenessDetector.noteProgress(m_follower.lastProgressAt());
        if (m_stalenessDetector.isRepeatDue(m_follower.completeVersion(), scheduler.now())) {
            ++repeatedQueries;
            m_follower.queryAgain();
        }
        scheduler.callAfter(25ms, [this] { checkStaleness(); });
    }

    TableFollower m_follower;
    Availability::StalenessDetector m_stalenessDetector;
};

} // namespace

// On a slow link or processor each answer takes longer than the time after which the query counts
// as lost, and other gateways always know a newer row.
TEST(TableFollower, UsesAnswersThatTakeLongerThanTheLagTimeout)
{
    for (const auto answerTime : {350ms, 700ms, 1500ms, 2500ms}) {
        FollowerFixture fixture;
        fixture.store.put("config", "0");
        fixture.start();
        fixture.advance(2s);
        ASSERT_TRUE(fixture.isCurrent());
        fixture.store.answerTime = answerTime;
        for (int i = 1; i <= 60; ++i) {
            fixture.store.put("config", std::to_string(i));
            fixture.advance(500ms);
            // A version is known after at most one query and its answer.
            constexpr std::uint64_t maxVersionLag = 12;
            EXPECT_GE(fixture.newestRowVersion().number + maxVersionLag,
                      fixture.store.version().number)
                << answerTime.count();
        }
        fixture.advance(answerTime + 100ms);
        EXPECT_TRUE(fixture.isCurrent()) << answerTime.count();
    }
}

// Issue 22 (DENIED in the soak test): a gateway denied requests by an old configuration, as the new
// one has very many routes and its link was slow. Repeated queries share the link with the pending
// answer and must not keep it from arriving.
TEST(TableFollower, LargeAnswerIsNotDelayedByRepeatedQuestions)
{
    for (const auto transferTime : {400ms, 800ms, 1600ms, 2200ms}) {
        FollowerFixture fixture;
        fixture.store.put("config", "0");
        fixture.start();
        fixture.advance(2s);
        fixture.store.transferTime = transferTime;
        const auto version = fixture.put("config", "1");
        // The transfer itself, plus the timeout of one lost query.
        fixture.advance(transferTime + Gateway::Constants::ConfigurationLagTimeout + 50ms);
        EXPECT_GE(fixture.newestRowVersion(), version) << transferTime.count();
        EXPECT_EQ(fixture.repeatedQueries, 0) << transferTime.count();
    }
}

// Denials depend on confirmations. A confirmation has the time of the store's state that it
// confirms. A request for one is answered immediately and triggers no further query.
TEST(TableFollower, ConfirmationIsImmediateAndCostsOneCall)
{
    FollowerFixture fixture;
    fixture.store.put("config", "0");
    fixture.start();
    fixture.advance(1s);
    const auto requestedAt = fixture.scheduler.now();
    EXPECT_LT(fixture.confirmedAt, requestedAt);
    const int callsBefore = fixture.store.calls();
    fixture.requestConfirmation();
    fixture.advance(10ms);
    EXPECT_GE(fixture.confirmedAt, requestedAt);
    fixture.advance(1s);
    EXPECT_EQ(fixture.store.calls() - callsBefore, 1);
}

// A query for a confirmation would share the slow link with an answer that is being received.
TEST(TableFollower, NoConfirmationIsRequestedWhilePartsOfAnAnswerArrive)
{
    FollowerFixture fixture;
    fixture.store.put("config", "0");
    fixture.start();
    fixture.advance(1s);
    fixture.store.transferTime = 1s;
    fixture.store.put("config", "1");
    const int callsBefore = fixture.store.calls();
    for (int i = 0; i < 9; ++i) {
        fixture.advance(100ms);
        fixture.requestConfirmation();
    }
    EXPECT_EQ(fixture.store.calls(), callsBefore);
    fixture.advance(200ms);
    EXPECT_TRUE(fixture.isCurrent());
}

// Guards against endless queries: peers report the removal of a row that this follower never had
// because it started after the removal.
TEST(TableFollower, RemovalBeforeTheFirstReadCausesNoQueries)
{
    FollowerFixture fixture;
    fixture.store.put("a", "1");
    fixture.store.put("b", "1");
    fixture.store.eraseRow("b");
    fixture.start();
    fixture.advance(20s);
    EXPECT_TRUE(fixture.isCurrent());
    EXPECT_EQ(fixture.repeatedQueries, 0);
    EXPECT_LE(fixture.store.calls(), 9);
}

// A busy store starts its answers late. Each query that is repeated until then is answered over the
// same slow link.
TEST(TableFollower, LargeAnswerThatBeginsLateIsNotDelayedByRepeatedQuestions)
{
    for (const auto firstByte : {500ms, 1200ms}) {
        for (const auto transferTime : {800ms, 1600ms}) {
            FollowerFixture fixture;
            fixture.store.put("config", "0");
            fixture.start();
            fixture.advance(2s);
            fixture.store.answerTime = firstByte;
            fixture.store.transferTime = transferTime;
            const auto version = fixture.put("config", "1");
            const auto startedAt = fixture.scheduler.now();
            while (fixture.newestRowVersion() < version)
                fixture.advance(5ms);
            EXPECT_LE(fixture.scheduler.now() - startedAt, firstByte + 3 * transferTime / 2)
                << firstByte.count() << ' ' << transferTime.count() << ": "
                << Utils::toSeconds(fixture.scheduler.now() - startedAt) << " s";
        }
    }
}

// Guards against queries for a confirmation that delay the configuration itself: requests for a new
// route wait for the confirmation on a slow link, and no peer has reported the new version.
TEST(TableFollower, ConfirmationRequestsBarelyDelayALargeAnswer)
{
    for (const auto firstByte : {4ms, 200ms, 500ms}) {
        for (const auto transferTime : {400ms, 800ms, 1600ms}) {
            FollowerFixture fixture;
            fixture.hasPeers = false;
            fixture.store.put("config", "0");
            fixture.start();
            fixture.advance(2s);
            Gateway::DenialCheck check(
                fixture.scheduler, 1s,
                {[&fixture] { fixture.requestConfirmation(); }, [] { return Utils::Duration(0); }});
            fixture.store.answerTime = firstByte;
            fixture.store.transferTime = transferTime;
            const auto version = fixture.put("config", "1");
            check.waitForConfirmation([] {});
            fixture.advance(firstByte + 2 * transferTime + 100ms);
            EXPECT_GE(fixture.newestRowVersion(), version)
                << firstByte.count() << ' ' << transferTime.count();
        }
    }
}

// Slow answers must not restart the first read of the table either.
TEST(TableFollower, FirstReadIsNotRestartedWhileItsAnswerIsPending)
{
    FollowerFixture fixture;
    fixture.store.answerTime = 1200ms;
    fixture.store.put("a", "1");
    fixture.start();
    for (int i = 0; i < 8; ++i) {
        fixture.store.put("b", std::to_string(i));
        fixture.advance(300ms);
    }
    EXPECT_GT(fixture.newestRowVersion().number, 0U);
}

// A query that the store does not answer is repeated soon, more than once if necessary.
TEST(TableFollower, LostQueriesAreRepeated)
{
    FollowerFixture fixture;
    fixture.store.put("config", "0");
    fixture.start();
    fixture.advance(1s);
    fixture.store.dropsQueries = true;
    fixture.queryAgain();
    fixture.store.put("config", "1");
    fixture.advance(400ms);
    fixture.store.dropsQueries = false;
    fixture.advance(800ms);
    EXPECT_TRUE(fixture.isCurrent());
}

TEST(TableFollower, RepeatedQueriesBackOffUntilAnAnswerArrives)
{
    FollowerFixture fixture;
    fixture.store.put("config", "0");
    fixture.start();
    fixture.advance(1s);
    fixture.store.answerTime = 2500ms;
    fixture.store.put("config", "1");
    const int callsBefore = fixture.store.calls();
    fixture.advance(2400ms);
    EXPECT_LE(fixture.store.calls() - callsBefore, 4);
    fixture.advance(200ms);
    EXPECT_TRUE(fixture.isCurrent());
}

TEST(TableFollower, LateAnswersNeitherRevertRowsNorCauseQueries)
{
    FollowerFixture fixture;
    fixture.store.put("config", "0");
    fixture.start();
    fixture.advance(1s);
    fixture.store.answerTime = 2000ms;
    fixture.store.put("config", "1");
    fixture.advance(100ms);
    fixture.store.answerTime = 4ms;
    fixture.queryAgain();
    fixture.store.put("config", "2");
    fixture.advance(10s);
    EXPECT_TRUE(fixture.isCurrent());
    EXPECT_TRUE(std::is_sorted(fixture.appliedVersions.begin(), fixture.appliedVersions.end()));
    const int callsBefore = fixture.store.calls();
    fixture.advance(25s);
    EXPECT_LE(fixture.store.calls() - callsBefore, 11);
}

// Engines write their entries continuously. Batching their changes must save queries, and peers
// that always know newer rows must not trigger additional ones. A leaving server is still known
// within its notice, even if a query was lost.
TEST(TableFollower, BatchedChangesCostFewQueriesAndArriveWithinTheNotice)
{
    for (const auto notice : {2000ms, 3000ms, 4000ms}) {
        const auto pollInterval = std::chrono::duration_cast<std::chrono::milliseconds>(
            notice * Gateway::Constants::ServerListPollIntervalShare);
        FollowerFixture fixture(pollInterval,
                                pollInterval + Gateway::Constants::ServerListLagMargin);
        fixture.store.put("engine", "0");
        fixture.start();
        fixture.advance(1s);
        const int callsBefore = fixture.store.calls();
        constexpr auto duration = 30s;
        for (auto elapsed = 0ms; elapsed < duration; elapsed += 50ms) {
            fixture.store.put("engine", std::to_string(elapsed.count()));
            fixture.advance(50ms);
        }
        EXPECT_LE(fixture.store.calls() - callsBefore, duration / pollInterval + 1)
            << notice.count();
        EXPECT_EQ(fixture.repeatedQueries, 0);
        for (auto offset = 0ms; offset < pollInterval; offset += 100ms) {
            fixture.advance(10s + offset);
            fixture.store.dropsQueries = true;
            fixture.store.put("a", std::to_string(offset.count()));
            fixture.advance(pollInterval);
            fixture.store.dropsQueries = false;
            const auto version = fixture.put("b", std::to_string(offset.count()));
            fixture.advance(notice);
            EXPECT_GE(fixture.newestRowVersion(), version)
                << notice.count() << ' ' << offset.count();
        }
    }
}

TEST(TableFollower, TableWithRemovedRowsIsReadAgainAfterAHistoryGap)
{
    FollowerFixture fixture;
    fixture.store.put("a", "1");
    fixture.store.put("b", "1");
    fixture.start();
    fixture.advance(1s);
    fixture.store.isHistoryGone = true;
    fixture.queryAgain();
    fixture.store.eraseRow("a");
    fixture.advance(100ms);
    fixture.store.isHistoryGone = false;
    fixture.advance(1s);
    EXPECT_TRUE(fixture.isCurrent());
}

// Guards against a copy that keeps what the store has lost, or misses what it wrote since (issue
// 32, CONFIG): versions are given out again after the store came back from a copy.
TEST(TableFollower, StoreBackFromACopyIsReadAgainOnce)
{
    for (const auto lost : {1U, 3U, 5U}) {
        for (const auto written : {0U, 2U, 4U, 8U}) {
            FollowerFixture fixture;
            for (int i = 0; i < 6; ++i)
                fixture.store.put("k" + std::to_string(i), "old");
            fixture.start();
            fixture.advance(1s);
            fixture.store.restoreCopy(fixture.store.version().number - lost);
            for (unsigned i = 0; i < written; ++i)
                fixture.store.put("n" + std::to_string(i), "new");
            const int callsBefore = fixture.store.calls();
            fixture.advance(300ms);
            EXPECT_TRUE(fixture.isCurrent()) << lost << ' ' << written;
            EXPECT_EQ(fixture.falseConfirmations, 0);
            fixture.advance(700ms);
            // The failed poll, the read of the table, and the next poll.
            EXPECT_LE(fixture.store.calls() - callsBefore, 3) << lost << ' ' << written;
        }
    }
}

// An answer that was sent before the copy and arrives after the first one of the new era.
TEST(TableFollower, LateAnswerOfAnEarlierEraChangesNothing)
{
    FollowerFixture fixture;
    fixture.hasPeers = false;
    fixture.store.put("config", "0");
    fixture.start();
    fixture.advance(1s);
    fixture.store.answerTime = 900ms;
    fixture.store.put("config", "1");
    fixture.store.put("gone", "1");
    fixture.advance(100ms);
    fixture.store.answerTime = 4ms;
    fixture.store.restoreCopy(1);
    fixture.queryAgain();
    fixture.advance(100ms);
    EXPECT_TRUE(fixture.isCurrent());
    fixture.store.put("config", "2");
    fixture.advance(5s);
    EXPECT_TRUE(fixture.isCurrent());
    EXPECT_EQ(fixture.copy.count("gone"), 0U);
    EXPECT_EQ(fixture.falseConfirmations, 0);
}

// An answer of the new era to a query that named a version of the earlier one lacks what was
// written up to that number.
TEST(TableFollower, AnswerToAQueryOfAnEarlierEraHidesNoChange)
{
    FollowerFixture fixture;
    fixture.hasPeers = false;
    for (int i = 0; i < 20; ++i)
        fixture.store.put("k" + std::to_string(i), "old");
    fixture.start();
    fixture.advance(1s);
    fixture.store.queryTime = 500ms;
    fixture.requestConfirmation();
    fixture.store.queryTime = 0ms;
    fixture.store.restoreCopy(10);
    fixture.advance(400ms);
    ASSERT_TRUE(fixture.isCurrent());
    fixture.store.answerTime = 2s;
    for (int i = 0; i < 30; ++i)
        fixture.store.put("n" + std::to_string(i), "new");
    fixture.store.answerTime = 4ms;
    fixture.advance(200ms);
    EXPECT_EQ(fixture.falseConfirmations, 0);
    fixture.advance(3s);
    EXPECT_TRUE(fixture.isCurrent());
    EXPECT_EQ(fixture.falseConfirmations, 0);
}

// An answer of an earlier era without changes says nothing about the copy that was read since.
TEST(TableFollower, LateAnswerOfAnEarlierEraConfirmsNothing)
{
    FollowerFixture fixture;
    fixture.hasPeers = false;
    for (int i = 0; i < 20; ++i)
        fixture.store.put("k" + std::to_string(i), "old");
    fixture.start();
    fixture.advance(1s);
    fixture.store.answerTime = 900ms;
    fixture.requestConfirmation();
    fixture.advance(10ms);
    fixture.store.answerTime = 4ms;
    fixture.store.restoreCopy(10);
    fixture.advance(400ms);
    ASSERT_TRUE(fixture.isCurrent());
    fixture.advance(2s);
    EXPECT_EQ(fixture.falseConfirmations, 0);
}

// For any sequence of answer times, lost queries, repeated queries and returns of the store from a
// copy, the copy never reverts to older rows of one era, and equals the table again soon after the
// store recovers.
TEST(TableFollower, CopyIsCurrentSoonAfterTheStoreRecovers)
{
    EXPECT_TRUE(rc::check([] {
        FollowerFixture fixture(*rc::gen::element(0ms, 600ms));
        fixture.store.put("k0", "0");
        fixture.start();
        const int steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 4));
            switch (*rc::gen::inRange(0, 10)) {
            case 0:
                fixture.store.dropsQueries = !fixture.store.dropsQueries;
                break;
            case 1:
                fixture.store.isHistoryGone = !fixture.store.isHistoryGone;
                break;
            case 2:
                fixture.store.eraseRow(key);
                break;
            case 3:
                fixture.queryAgain();
                break;
            case 4:
                fixture.store.answerTime = std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
                break;
            case 6:
                fixture.requestConfirmation();
                break;
            case 7:
                // Apart from queries, so that each one belongs to one era.
                fixture.advance(1ms);
                fixture.store.restoreCopy(fixture.store.version().number
                                          - *rc::gen::inRange<std::uint64_t>(0, 8));
                fixture.advance(1ms);
                break;
            case 5:
                fixture.store.transferTime = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
                break;
            default:
                fixture.store.put(key, std::to_string(i));
            }
            fixture.advance(std::chrono::milliseconds(*rc::gen::inRange(0, 1500)));
        }
        fixture.store.dropsQueries = false;
        fixture.store.isHistoryGone = false;
        fixture.store.answerTime = 4ms;
        fixture.store.transferTime = 0ms;
        fixture.store.put("last", "1");
        fixture.advance(5s);
        RC_ASSERT(fixture.isCurrent());
        RC_ASSERT(fixture.falseConfirmations == 0);
        RC_ASSERT(std::is_sorted(fixture.appliedVersions.begin(), fixture.appliedVersions.end()));
    }));
}

// A transfer that stops in the middle must not keep its successors from being used: only an answer
// that arrives ends the other queries.
TEST(TableFollower, StalledTransferIsReplaced)
{
    FollowerFixture fixture;
    fixture.store.put("config", "0");
    fixture.start();
    fixture.advance(2s);
    fixture.store.transferTime = 1s;
    fixture.store.put("config", "1");
    fixture.advance(300ms);
    fixture.store.stallTransfers();
    fixture.advance(2400ms + 1s + 100ms);
    EXPECT_TRUE(fixture.isCurrent());
}

// Guards against a configuration that is in force late (issue 32, review): the holder tells all
// gateways that the store is back while each of them reads its table again, and every such report
// starts one more read over the same link. The read alone takes 1.7 s.
TEST(TableFollower, ReportsThatTheStoreIsBackDoNotDelayTheReadOfItsCopy)
{
    FollowerFixture fixture;
    for (int i = 0; i < 6; ++i)
        fixture.store.put("k" + std::to_string(i), "old");
    fixture.start();
    fixture.advance(1s);
    fixture.store.answerTime = 50ms;
    fixture.store.transferTime = 1500ms;
    fixture.store.restoreCopy(fixture.store.version().number - 3);
    fixture.advance(300ms);
    fixture.queryAgain();
    fixture.advance(50ms);
    fixture.queryAgain();
    fixture.advance(Gateway::GatewaySettings().configurationApplyTime - 350ms);
    EXPECT_TRUE(fixture.isCurrent());
}
