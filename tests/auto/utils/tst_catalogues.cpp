// Checks that the pages that list events, refusals and metrics match the catalogues in the code.

#include <admission/refusal.h>
#include <monitoring/metrics.h>
#include <utils/eventlog.h>

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <set>

namespace {

auto readPage(const std::string &name) -> std::string
{
    std::ifstream file(std::string(DOCS_FOLDER) + "/" + name);
    return {std::istreambuf_iterator<char>(file), {}};
}

auto countOccurrences(const std::string &text, const std::string &pattern) -> size_t
{
    size_t count = 0;
    for (size_t at = text.find(pattern); at != std::string::npos; at = text.find(pattern, at + 1))
        ++count;
    return count;
}

} // namespace

TEST(Catalogues, EventsPageListsEachEventOnce)
{
    const std::string text = readPage("EVENTS.md");
    std::set<int> numbers;
    for (const auto &entry : Utils::eventCatalogue()) {
        const int number = static_cast<int>(entry.event);
        EXPECT_TRUE(numbers.insert(number).second) << number;
        const std::string row = "| " + std::to_string(number) + " | `" + std::string(entry.name)
            + "` | " + std::string(entry.meaning) + " |";
        EXPECT_EQ(countOccurrences(text, row), 1U) << row;
    }
    EXPECT_EQ(countOccurrences(text, "\n| 1") + countOccurrences(text, "\n| 2")
                  + countOccurrences(text, "\n| 3") + countOccurrences(text, "\n| 4")
                  + countOccurrences(text, "\n| 5") + countOccurrences(text, "\n| 6")
                  + countOccurrences(text, "\n| 7"),
              numbers.size());
}

TEST(Catalogues, RefusalsPageListsEachReasonOnce)
{
    const std::string text = readPage("REFUSALS.md");
    for (const auto &entry : Admission::refusalCatalogue()) {
        const std::string row = "| `" + std::string(entry.code) + "` | "
            + std::to_string(entry.httpStatus) + " | " + std::string(entry.meaning) + " |";
        EXPECT_EQ(countOccurrences(text, row), 1U) << row;
    }
}

TEST(Catalogues, MetricsPageListsEachMetricOnce)
{
    const std::string text = readPage("METRICS.md");
    for (const auto &entry : Monitoring::metricCatalogue()) {
        const std::string row =
            "| `" + entry.name + "` | " + entry.kind + " | " + entry.meaning + " |";
        EXPECT_EQ(countOccurrences(text, row), 1U) << row;
    }
}
