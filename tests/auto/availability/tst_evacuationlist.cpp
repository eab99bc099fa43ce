// Tests which failure domains count as evacuated.

#include <availability/evacuationlist.h>

#include <gtest/gtest.h>

using Availability::EvacuationList;

// Guards against: a row that is read twice, as after a gap in the store's history, counted as news.
TEST(EvacuationList, TellsNewsFromWhatIsKnown)
{
    EvacuationList list;
    EXPECT_FALSE(list.isEvacuated("a"));
    EXPECT_FALSE(list.end("a"));
    EXPECT_TRUE(list.begin("a"));
    EXPECT_FALSE(list.begin("a"));
    EXPECT_TRUE(list.isEvacuated("a"));
    EXPECT_FALSE(list.isEvacuated("b"));
    EXPECT_FALSE(list.isEvacuated("A")) << "names are compared exactly";
    EXPECT_EQ(list.domains().size(), 1U);
    EXPECT_TRUE(list.end("a"));
    EXPECT_FALSE(list.isEvacuated("a"));
    EXPECT_FALSE(list.end("a"));
}
