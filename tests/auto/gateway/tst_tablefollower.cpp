// A copy of a table over a store whose answers are slow, lost, or overtaken by newer rows.

#include "../shared/slowrowstore.h"
#include "../shared/virtualscheduler.h"

#include <gateway/denialcheck.h>
#include <gateway/gatewayconstants.h>
#include <gateway/stalenessdetector.h>
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

/// A follower beside peers that know each row as soon as it is written.
class Followed
{
public:
    explicit Followed(
        std::chrono::milliseconds batchInterval = 0ms,
        std::chrono::milliseconds patience = Gateway::Constants::ConfigurationLagTimeout)
        : store(scheduler)
        , m_follower(scheduler, store, "table", batchInterval, events())
        , m_watch(patience)
    { }

    auto start() -> void
    {
        m_follower.start();
        look();
    }
    auto pass(Utils::Duration duration) -> void { scheduler.pass(duration); }
    auto newestRowVersion() const -> std::uint64_t { return m_follower.newestRowVersion(); }
    auto queryAgain() -> void { m_follower.queryAgain(); }
    auto requestConfirmation() -> void { m_follower.requestConfirmation(); }
    /// True if the copy is the table as it is now.
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
    std::vector<std::uint64_t> versions; ///< Of the rows written, as they were taken.
    bool hasPeers = true;
    int hurries = 0;
    int losses = 0;
    int falseConfirmations = 0; ///< Something that the store held then was not known.
    Utils::TimePoint confirmedAt; ///< All that the store held then is known.

private:
    /// True if each row is known as it was then, or newer.
    auto knowsAllBefore(Utils::TimePoint at) const -> bool
    {
        const auto version = store.versionBefore(at);
        return std::all_of(store.rows().begin(), store.rows().end(), [&](const auto &item) {
            const auto found = copy.find(item.first);
            return item.second.version > version
                || (found != copy.end() && found->second == item.second.value);
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
            versions.push_back(row.version);
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

    /// As the gateway does each few milliseconds.
    auto look() -> void
    {
        if (hasPeers)
            m_watch.notePeerVersion(store.version(), scheduler.now());
        m_watch.noteProgress(m_follower.lastProgressAt());
        if (m_watch.isRepeatDue(m_follower.completeVersion(), scheduler.now())) {
            ++hurries;
            m_follower.queryAgain();
        }
        scheduler.callAfter(25ms, [this] { look(); });
    }

    TableFollower m_follower;
    StalenessDetector m_watch;
};

} // namespace

// Pattern: a gateway on a slow link or processor; each answer takes longer than the time after
// which the question counts as swallowed, and other gateways always know a newer row.
TEST(TableFollower, LearnsFromAnswersThatTakeLongerThanItsPatience)
{
    for (const auto answerTime : {350ms, 700ms, 1500ms, 2500ms}) {
        Followed followed;
        followed.store.put("config", "0");
        followed.start();
        followed.pass(2s);
        ASSERT_TRUE(followed.isCurrent());
        followed.store.answerTime = answerTime;
        for (int i = 1; i <= 60; ++i) {
            followed.store.put("config", std::to_string(i));
            followed.pass(500ms);
            // A version is known after one question and its answer at most.
            constexpr std::uint64_t perQuestion = 12;
            EXPECT_GE(followed.newestRowVersion() + perQuestion, followed.store.version())
                << answerTime.count();
        }
        followed.pass(answerTime + 100ms);
        EXPECT_TRUE(followed.isCurrent()) << answerTime.count();
    }
}

// Guards against DENIED of issue 22: a configuration with very many routes on a slow link. Repeated
// questions share the link with the answer that is on its way, and must not keep it from arriving.
TEST(TableFollower, LargeAnswerIsNotDelayedByRepeatedQuestions)
{
    for (const auto transferTime : {400ms, 800ms, 1600ms, 2200ms}) {
        Followed followed;
        followed.store.put("config", "0");
        followed.start();
        followed.pass(2s);
        followed.store.transferTime = transferTime;
        const auto version = followed.store.put("config", "1");
        // One time-out of a question that was lost, beside the transfer itself.
        followed.pass(transferTime + Gateway::Constants::ConfigurationLagTimeout + 50ms);
        EXPECT_GE(followed.newestRowVersion(), version) << transferTime.count();
        EXPECT_EQ(followed.hurries, 0) << transferTime.count();
    }
}

// Denials rest on confirmations: each is as old as what it vouches for, and comes when it is asked
// for, without another question in its wake.
TEST(TableFollower, ConfirmationComesAtOnceAndCostsOneCall)
{
    Followed followed;
    followed.store.put("config", "0");
    followed.start();
    followed.pass(1s);
    const auto asked = followed.scheduler.now();
    EXPECT_LT(followed.confirmedAt, asked);
    const int before = followed.store.calls();
    followed.requestConfirmation();
    followed.pass(10ms);
    EXPECT_GE(followed.confirmedAt, asked);
    followed.pass(1s);
    EXPECT_EQ(followed.store.calls() - before, 1);
}

// Pattern: an answer arrives on a slow link; a question for confirmation would share it.
TEST(TableFollower, NoConfirmationIsAskedForWhilePartsOfAnAnswerArrive)
{
    Followed followed;
    followed.store.put("config", "0");
    followed.start();
    followed.pass(1s);
    followed.store.transferTime = 1s;
    followed.store.put("config", "1");
    const int before = followed.store.calls();
    for (int i = 0; i < 9; ++i) {
        followed.pass(100ms);
        followed.requestConfirmation();
    }
    EXPECT_EQ(followed.store.calls(), before);
    followed.pass(200ms);
    EXPECT_TRUE(followed.isCurrent());
}

// Guards against questions without end: others tell of the removal of a row that this follower
// never had, as it came later.
TEST(TableFollower, RemovalBeforeTheFirstReadIsNotAskedFor)
{
    Followed followed;
    followed.store.put("a", "1");
    followed.store.put("b", "1");
    followed.store.drop("b");
    followed.start();
    followed.pass(20s);
    EXPECT_TRUE(followed.isCurrent());
    EXPECT_EQ(followed.hurries, 0);
    EXPECT_LE(followed.store.calls(), 9);
}

// Pattern: a store that is busy begins its answers late, and each repeat until then is answered
// over the same slow link.
TEST(TableFollower, LargeAnswerThatBeginsLateIsNotDelayedByRepeatedQuestions)
{
    for (const auto firstByte : {500ms, 1200ms}) {
        for (const auto transferTime : {800ms, 1600ms}) {
            Followed followed;
            followed.store.put("config", "0");
            followed.start();
            followed.pass(2s);
            followed.store.answerTime = firstByte;
            followed.store.transferTime = transferTime;
            const auto version = followed.store.put("config", "1");
            const auto begun = followed.scheduler.now();
            while (followed.newestRowVersion() < version)
                followed.pass(5ms);
            EXPECT_LE(followed.scheduler.now() - begun, firstByte + 3 * transferTime / 2)
                << firstByte.count() << ' ' << transferTime.count() << ": "
                << Utils::toSeconds(followed.scheduler.now() - begun) << " s";
        }
    }
}

// Guards against questions for a confirmation that keep the configuration from arriving: requests
// for a new route wait for it on a slow link, and no gateway has told of it.
TEST(TableFollower, ConfirmationsDelayALargeAnswerLittle)
{
    for (const auto firstByte : {4ms, 200ms, 500ms}) {
        for (const auto transferTime : {400ms, 800ms, 1600ms}) {
            Followed followed;
            followed.hasPeers = false;
            followed.store.put("config", "0");
            followed.start();
            followed.pass(2s);
            Gateway::DenialCheck check(followed.scheduler, 1s,
                                       {[&followed] { followed.requestConfirmation(); },
                                        [] { return Utils::Duration(0); }});
            followed.store.answerTime = firstByte;
            followed.store.transferTime = transferTime;
            const auto version = followed.store.put("config", "1");
            check.waitForConfirmation([] {});
            followed.pass(firstByte + 2 * transferTime + 100ms);
            EXPECT_GE(followed.newestRowVersion(), version)
                << firstByte.count() << ' ' << transferTime.count();
        }
    }
}

// Pattern: the same while the follower still reads the table for the first time.
TEST(TableFollower, FirstReadIsNotStartedOverWhileItsAnswerIsOnTheWay)
{
    Followed followed;
    followed.store.answerTime = 1200ms;
    followed.store.put("a", "1");
    followed.start();
    for (int i = 0; i < 8; ++i) {
        followed.store.put("b", std::to_string(i));
        followed.pass(300ms);
    }
    EXPECT_GT(followed.newestRowVersion(), 0U);
}

// Pattern: a silent store swallows a question; it is asked again soon, and again if need be.
TEST(TableFollower, SwallowedQuestionsAreAskedAgain)
{
    Followed followed;
    followed.store.put("config", "0");
    followed.start();
    followed.pass(1s);
    followed.store.swallows = true;
    followed.queryAgain();
    followed.store.put("config", "1");
    followed.pass(400ms);
    followed.store.swallows = false;
    followed.pass(800ms);
    EXPECT_TRUE(followed.isCurrent());
}

TEST(TableFollower, RepeatsBecomeRarerWhileNoAnswerComes)
{
    Followed followed;
    followed.store.put("config", "0");
    followed.start();
    followed.pass(1s);
    followed.store.answerTime = 2500ms;
    followed.store.put("config", "1");
    const int before = followed.store.calls();
    followed.pass(2400ms);
    EXPECT_LE(followed.store.calls() - before, 4);
    followed.pass(200ms);
    EXPECT_TRUE(followed.isCurrent());
}

TEST(TableFollower, AnswersToOlderQuestionsNeitherGoBackNorAddQuestions)
{
    Followed followed;
    followed.store.put("config", "0");
    followed.start();
    followed.pass(1s);
    followed.store.answerTime = 2000ms;
    followed.store.put("config", "1");
    followed.pass(100ms);
    followed.store.answerTime = 4ms;
    followed.queryAgain();
    followed.store.put("config", "2");
    followed.pass(10s);
    EXPECT_TRUE(followed.isCurrent());
    EXPECT_TRUE(std::is_sorted(followed.versions.begin(), followed.versions.end()));
    const int before = followed.store.calls();
    followed.pass(25s);
    EXPECT_LE(followed.store.calls() - before, 11);
}

// Pattern: engines write their entries all the time. Gathering their changes must save questions,
// and peers that always know more must not bring them back; a server that leaves is known within
// its notice even if the question was swallowed.
TEST(TableFollower, GatheredChangesCostFewQuestionsAndAreKnownWithinTheNotice)
{
    for (const auto notice : {2000ms, 3000ms, 4000ms}) {
        const auto pause = std::chrono::duration_cast<std::chrono::milliseconds>(
            notice * Gateway::Constants::ServerListPollIntervalShare);
        Followed followed(pause, pause + Gateway::Constants::ServerListLagMargin);
        followed.store.put("engine", "0");
        followed.start();
        followed.pass(1s);
        const int before = followed.store.calls();
        constexpr auto time = 30s;
        for (auto passed = 0ms; passed < time; passed += 50ms) {
            followed.store.put("engine", std::to_string(passed.count()));
            followed.pass(50ms);
        }
        EXPECT_LE(followed.store.calls() - before, time / pause + 1) << notice.count();
        EXPECT_EQ(followed.hurries, 0);
        for (auto offset = 0ms; offset < pause; offset += 100ms) {
            followed.pass(10s + offset);
            followed.store.swallows = true;
            followed.store.put("a", std::to_string(offset.count()));
            followed.pass(pause);
            followed.store.swallows = false;
            const auto version = followed.store.put("b", std::to_string(offset.count()));
            followed.pass(notice);
            EXPECT_GE(followed.newestRowVersion(), version)
                << notice.count() << ' ' << offset.count();
        }
    }
}

TEST(TableFollower, ForgottenHistoryIsReadAnewWithWhatWasRemoved)
{
    Followed followed;
    followed.store.put("a", "1");
    followed.store.put("b", "1");
    followed.start();
    followed.pass(1s);
    followed.store.historyIsGone = true;
    followed.queryAgain();
    followed.store.drop("a");
    followed.pass(100ms);
    followed.store.historyIsGone = false;
    followed.pass(1s);
    EXPECT_TRUE(followed.isCurrent());
}

// Whatever the store's answer times, losses and the follower's haste, the copy never goes back and
// is the table again soon after the store is well.
TEST(TableFollower, CopyIsCurrentSoonAfterTheStoreIsWell)
{
    rc::check([] {
        Followed followed(*rc::gen::element(0ms, 600ms));
        followed.store.put("k0", "0");
        followed.start();
        const int steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 4));
            switch (*rc::gen::inRange(0, 9)) {
            case 0:
                followed.store.swallows = !followed.store.swallows;
                break;
            case 1:
                followed.store.historyIsGone = !followed.store.historyIsGone;
                break;
            case 2:
                followed.store.drop(key);
                break;
            case 3:
                followed.queryAgain();
                break;
            case 4:
                followed.store.answerTime = std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
                break;
            case 6:
                followed.requestConfirmation();
                break;
            case 5:
                followed.store.transferTime = std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
                break;
            default:
                followed.store.put(key, std::to_string(i));
            }
            followed.pass(std::chrono::milliseconds(*rc::gen::inRange(0, 1500)));
        }
        followed.store.swallows = false;
        followed.store.historyIsGone = false;
        followed.store.answerTime = 4ms;
        followed.store.transferTime = 0ms;
        followed.store.put("last", "1");
        followed.pass(5s);
        RC_ASSERT(followed.isCurrent());
        RC_ASSERT(followed.falseConfirmations == 0);
        RC_ASSERT(std::is_sorted(followed.versions.begin(), followed.versions.end()));
    });
}
