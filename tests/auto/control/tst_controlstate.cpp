#include <control/controlconstants.h>
#include <control/controlstate.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Control;

namespace {

auto change(Revision revision, const std::string &key, const nlohmann::json &value) -> Change
{
    return {revision, "t" + std::to_string(revision), "tester", "test", 0, {{key, value}}, {}};
}

} // namespace

TEST(ControlState, AppliesOnlyTheNextRevision)
{
    ControlState state;
    EXPECT_FALSE(state.apply(change(2, "a", 1)));
    EXPECT_TRUE(state.apply(change(1, "a", 1)));
    EXPECT_FALSE(state.apply(change(1, "a", 2))) << "a late reply must not take effect";
    EXPECT_EQ(state.item("a")->value, 1);
    EXPECT_EQ(state.revision(), 1U);
}

TEST(ControlState, RestoreIgnoresOlderSnapshots)
{
    ControlState older;
    older.apply(change(1, "a", 1));
    ControlState newer = older;
    newer.apply(change(2, "a", 2));
    const auto snapshot = older.toSnapshot();
    EXPECT_FALSE(newer.restore(snapshot));
    EXPECT_EQ(newer.item("a")->value, 2);
    ControlState fresh;
    EXPECT_TRUE(fresh.restore(newer.toSnapshot()));
    EXPECT_EQ(fresh.item("a")->value, 2);
    EXPECT_EQ(fresh.item("a")->revision, 2U);
}

TEST(ControlState, DamagedSnapshotsChangeNothing)
{
    ControlState state;
    state.apply(change(1, "a", 1));
    for (const auto &damaged :
         {nlohmann::json(), nlohmann::json{{"revision", 9}}, nlohmann::json{{"revision", "x"}}}) {
        EXPECT_FALSE(state.restore(damaged));
        EXPECT_EQ(state.revision(), 1U);
    }
}

TEST(ControlState, KeepsALimitedNumberOfChanges)
{
    ControlState state;
    const Revision last = Constants::MaxKeptChanges + 10;
    for (Revision revision = 1; revision <= last; ++revision)
        state.apply(change(revision, "a", revision));
    EXPECT_FALSE(state.changesAfter(0));
    EXPECT_EQ(state.changesAfter(last - 3)->size(), 3U);
    EXPECT_TRUE(state.changesAfter(last)->empty());
}

RC_GTEST_PROP(ControlState, DeltasAndSnapshotsLeadToTheSameState, ())
{
    ControlState source;
    const int count = *rc::gen::inRange(1, 40);
    ControlState follower;
    for (Revision revision = 1; revision <= static_cast<Revision>(count); ++revision) {
        Change next{revision, "t", "a", "r", 0, {}, {}};
        const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 5)));
        if (*rc::gen::arbitrary<bool>())
            next.puts[key] = *rc::gen::inRange(0, 100);
        else
            next.deletes.push_back(key);
        source.apply(next);
        if (*rc::gen::inRange(0, 4) == 0) {
            const auto missing = source.changesAfter(follower.revision());
            for (const auto &missed : *missing)
                follower.apply(missed);
        }
    }
    ControlState restored;
    restored.restore(source.toSnapshot());
    const auto missing = source.changesAfter(follower.revision());
    for (const auto &missed : *missing)
        follower.apply(missed);
    RC_ASSERT(follower.toSnapshot()["items"] == source.toSnapshot()["items"]);
    RC_ASSERT(restored.toSnapshot()["items"] == source.toSnapshot()["items"]);
}

RC_GTEST_PROP(ControlState, ParsingAnArbitraryDocumentAsAChangeDoesNotFail,
              (const std::string &text))
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    changeFromJson(document);
    const auto bytes = nlohmann::json::from_msgpack(text, true, false);
    changeFromJson(bytes);
}
