#pragma once

#include "timepoint.h"

namespace Utils {

/// Time since the machine booted, including time in suspend, which the monotonic clock excludes.
/// Leases need it: another process may take one over while this machine is suspended.
auto bootTime() -> TimePoint;

} // namespace Utils
