#pragma once

#include <chrono>

namespace Routing::Constants {

/// Crashes after which a request is refused everywhere.
constexpr int MaxCrashes = 2;
/// Crash records expire after this time, so that one faulty server can't block a request forever.
constexpr std::chrono::minutes CrashRecordLifetime(30);
/// Fraction of a retry that each request earns, and the maximum number saved up.
constexpr double RetryRatio = 0.1;
constexpr double MaxSavedRetries = 20;

} // namespace Routing::Constants
