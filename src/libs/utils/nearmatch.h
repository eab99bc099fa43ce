#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Utils {

/// Returns the candidate closest to `word` by edit distance, or an empty string if none is close.
auto nearMatch(std::string_view word, const std::vector<std::string> &candidates) -> std::string;

} // namespace Utils
