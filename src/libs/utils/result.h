#pragma once

#include <tl/expected.hpp>

namespace Utils {

/// A value or the typed error of the layer that returns it.
template <typename Value, typename Error>
using Result = tl::expected<Value, Error>;

} // namespace Utils
