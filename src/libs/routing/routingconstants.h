#pragma once

#include <array>
#include <chrono>

namespace Routing::Constants {

/// Crashes after which a request is refused everywhere.
constexpr int MaxCrashes = 2;
/// Crashes after which a request is refused that had run for a while at some of them. Requests that
/// have nothing to do with a crash run at that time as well, so this is more than for one that
/// waited for the beginning of its answer. The platform counts from the third crash on.
constexpr int MaxCrashesOfRun = 3;
/// Crashes after which a part of prompts is refused everywhere. Requests that have nothing to do
/// with a crash share parts, so this is more than for a whole request.
constexpr int MaxCrashesOfPart = 3;
/// Crashes of several servers within this time may have a common cause. They count once against a
/// part that requests are known to have survived.
constexpr std::chrono::milliseconds CommonCauseWindow(300);
/// After these times from a verdict on, one request in the whole fleet shows whether the verdict
/// still holds. The platform allows three requests in all.
constexpr std::array<std::chrono::seconds, 2> TrialDelays = {std::chrono::seconds(10),
                                                             std::chrono::seconds(60)};
/// Crash records expire after this time, so that one faulty server can't block a request forever.
constexpr std::chrono::minutes CrashRecordLifetime(30);
/// Fraction of a retry that each request earns, and the maximum number saved up.
constexpr double RetryRatio = 0.1;
constexpr double MaxSavedRetries = 20;

/// Time constant for smoothing the slowdown that a server reports. The reported figure changes many
/// times a second, and requests take tenths of a second, so only its mean over about one request
/// matters.
constexpr std::chrono::milliseconds SlowdownSmoothingTime(250);
/// Several answers within one moment repeat the same observation; each counts as if this time had
/// passed.
constexpr std::chrono::steady_clock::duration MinReportSpacing = std::chrono::milliseconds(5);
/// A reported slowdown is used unchanged for the first time and has no effect after the second. A
/// slow server gets few requests, so its report must fade for the server to be tried again.
constexpr std::chrono::milliseconds SlowdownFreshTime(300);
constexpr std::chrono::milliseconds SlowdownLifetime(2000);
/// Bound on a reported slowdown; a machine that is slower than this is one to avoid in any case.
constexpr double MaxSlowdown = 20;

} // namespace Routing::Constants
