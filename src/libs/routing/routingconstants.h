#pragma once

#include <chrono>

namespace Routing::Constants {

/// Crashes after which a request is refused everywhere.
constexpr int MaxCrashes = 2;
/// A strike is forgotten after this, so that one bad server can't condemn a request for good.
constexpr std::chrono::minutes CrashRecordLifetime(30);
/// Part of a retry that each request earns, and the most that are saved up.
constexpr double RetryRatio = 0.1;
constexpr double MaxSavedRetries = 20;

} // namespace Routing::Constants
