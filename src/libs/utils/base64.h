#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Utils {

/// Encodes with the standard alphabet and padding.
auto base64Encode(std::string_view data) -> std::string;
/// Returns nothing if `text` is not valid base64.
auto base64Decode(std::string_view text) -> std::optional<std::string>;

} // namespace Utils
