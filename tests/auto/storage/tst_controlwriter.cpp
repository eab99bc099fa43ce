#include "../shared/faketable.h"

#include <storage/controlstore.h>
#include <storage/controlwriter.h>
#include <storage/objectstore.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Storage;
using Control::ControlState;

namespace {

class FakeObjects : public ObjectStore
{
public:
    auto read(const std::string &name, ReadCallback done) -> void override
    {
        if (contents.count(name) > 0)
            done(contents[name]);
        else
            done(tl::unexpected(ObjectError::NotFound));
    }

    auto write(const std::string &name, const std::string &content, WriteCallback done)
        -> void override
    {
        contents[name] = content;
        done({});
    }

    std::map<std::string, std::string> contents;
};

/// A writer with its own copy of the control state.
struct Writer
{
    Writer(FakeTable &table, FakeObjects &objects)
        : store(table, objects)
        , node({"w", "d", "1"}, {}, Utils::TimePoint())
        , writer(node, store)
    { }

    /// Increments a counter in the control state.
    auto increment() -> Utils::Result<Control::Revision, ProposalError>
    {
        const auto edit = [](const ControlState &state) -> Utils::Result<ControlEdit, std::string> {
            const auto *item = state.item("counter");
            ControlEdit result;
            result.puts["counter"] = {{"n", (item ? item->value["n"].get<int>() : 0) + 1}};
            return result;
        };
        std::optional<Utils::Result<Control::Revision, ProposalError>> outcome;
        writer.propose({"w", "increment", edit},
                       [&outcome](const auto &result) { outcome = result; });
        return *outcome;
    }

    auto counter() -> int
    {
        while (true) {
            bool isBehind = false;
            store.readAfter(node.state().revision(), [&](const auto &answer) {
                node.applyStoreRead(*answer);
                isBehind = node.state().revision() < answer->head;
            });
            if (!isBehind)
                break;
        }
        const auto *item = node.state().item("counter");
        return item ? item->value["n"].get<int>() : 0;
    }

    ControlStore store;
    Control::ControlNode node;
    ControlWriter writer;
};

} // namespace

TEST(ControlWriter, AChangeWhoseAnswerWasLostIsNotRepeated)
{
    FakeTable table;
    FakeObjects objects;
    Writer writer(table, objects);
    table.callOutcomes = {TableCallOutcome::Answered, TableCallOutcome::ResponseLost};
    EXPECT_TRUE(writer.increment());
    EXPECT_EQ(writer.counter(), 1);
}

TEST(ControlWriter, AnOutageReportsWhetherTheChangeMayHaveTakenEffect)
{
    FakeTable table;
    FakeObjects objects;
    Writer writer(table, objects);
    table.callOutcomes = {TableCallOutcome::RequestLost};
    const auto unread = writer.increment();
    ASSERT_FALSE(unread);
    EXPECT_FALSE(unread.error().mayHaveTakenEffect);
    table.callOutcomes = {TableCallOutcome::Answered, TableCallOutcome::ResponseLost,
                          TableCallOutcome::RequestLost};
    const auto lost = writer.increment();
    ASSERT_FALSE(lost);
    EXPECT_TRUE(lost.error().mayHaveTakenEffect);
}

TEST(ControlWriter, ReadersThatAreFarBehindTakeTheSnapshot)
{
    FakeTable table;
    FakeObjects objects;
    Writer writer(table, objects);
    constexpr int changeCount = 1600;
    for (int i = 0; i < changeCount; ++i)
        ASSERT_TRUE(writer.increment());
    Writer late(table, objects);
    EXPECT_EQ(late.counter(), changeCount);
    EXPECT_LT(table.table.scan("control/log/", "control/log/~", 100000).size(),
              static_cast<size_t>(changeCount));
}

RC_GTEST_PROP(ControlWriter, ConcurrentWritersNeitherLoseNorRepeatChanges, ())
{
    FakeTable table;
    FakeObjects objects;
    std::vector<std::unique_ptr<Writer>> writers;
    for (int i = 0; i < 3; ++i)
        writers.push_back(std::make_unique<Writer>(table, objects));
    int certain = 0;
    int possible = 0;
    for (int i = 0; i < 30; ++i) {
        const int losses = *rc::gen::inRange(0, 6);
        table.callOutcomes.clear();
        for (int f = 0; f < losses; ++f)
            table.callOutcomes.push_back(
                *rc::gen::element(TableCallOutcome::Answered, TableCallOutcome::RequestLost,
                                  TableCallOutcome::ResponseLost, TableCallOutcome::CommitDelayed));
        const auto result = writers[static_cast<size_t>(*rc::gen::inRange(0, 3))]->increment();
        if (result)
            ++certain;
        else if (result.error().mayHaveTakenEffect)
            ++possible;
        if (*rc::gen::arbitrary<bool>())
            table.applyDelayedCommits();
    }
    table.applyDelayedCommits();
    table.callOutcomes.clear();
    Writer reader(table, objects);
    const int counter = reader.counter();
    RC_ASSERT(counter >= certain);
    RC_ASSERT(counter <= certain + possible);
}
