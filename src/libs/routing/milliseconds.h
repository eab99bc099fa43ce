#pragma once

#include <chrono>

namespace Routing {

/// The unit of all estimated delays.
using Milliseconds = std::chrono::duration<double, std::milli>;

} // namespace Routing
