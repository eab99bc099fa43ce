#pragma once

#include <string_view>

namespace Utils {

/// Bounds the memory that one name of a caller's choice takes in tables and messages.
constexpr size_t MaxNameBytes = 200;

/// True for text that can be a name of a model, adapter, service, failure domain or customer: valid
/// UTF-8 without control characters, of at most `MaxNameBytes`. An empty text is one.
auto isValidName(std::string_view text) -> bool;

} // namespace Utils
