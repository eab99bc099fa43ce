#include "nearmatch.h"

#include <algorithm>
#include <numeric>

namespace Utils {

namespace {

auto editDistance(std::string_view left, std::string_view right) -> size_t
{
    std::vector<size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), size_t(0));
    for (size_t i = 1; i <= left.size(); ++i) {
        size_t diagonal = row[0];
        row[0] = i;
        for (size_t j = 1; j <= right.size(); ++j) {
            const size_t above = row[j];
            const size_t replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            row[j] = std::min({above + 1, row[j - 1] + 1, replaced});
            diagonal = above;
        }
    }
    return row.back();
}

} // namespace

auto nearMatch(std::string_view word, const std::vector<std::string> &candidates) -> std::string
{
    std::string best;
    size_t bestDistance = std::max<size_t>(2, word.size() / 3) + 1;
    for (const auto &candidate : candidates) {
        const size_t distance = editDistance(word, candidate);
        if (distance < bestDistance) {
            bestDistance = distance;
            best = candidate;
        }
    }
    return best;
}

} // namespace Utils
