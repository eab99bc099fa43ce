#pragma once

#include "milliseconds.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

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

/// Weight of the previous measurements of a delay for each new one: about 500 count.
constexpr double DelayRetention = 0.998;
/// Measurements before servers are compared, and between two solutions of the fit.
constexpr std::uint64_t MinDelayMeasurements = 64;
constexpr std::uint64_t DelaySolveInterval = 32;
/// A response that takes this many times the expected time counts as that many times.
constexpr double MaxDelayRatio = 4;
/// The effect of load and of tokens is measured only if they vary by at least half a request or 50
/// tokens (standard deviation).
constexpr double MinLoadVariance = 0.25;
constexpr double MinTokenVariance = 2500;
/// Bounds of the delay at an idle server, in requests held there. They keep an inaccurate fit from
/// sending all requests to the fastest servers, or from ignoring that some are faster.
constexpr double MinIdleLoad = 0.5;
constexpr double MaxIdleLoad = 8;
/// Limit on models of one service with a fit of their own.
constexpr size_t MaxDelayModels = 256;
/// Delay of one more request at a server before it is known.
constexpr Milliseconds UnknownDelayPerRequest(10);

/// Number of responses that a server's speed is smoothed over, and the smallest number that shows
/// it. Single responses vary by a factor of two.
constexpr int SpeedSmoothingResponses = 64;
constexpr int MinSpeedResponses = 20;
/// Servers whose times differ by less than this factor count as equally fast. The difference must
/// also exceed this many standard errors: with a fixed factor alone, one of 12 equal servers
/// counted as slower after about 22 responses each.
constexpr double MinSpeedDifference = 1.25;
constexpr double SpeedSignificance = 4;
/// Variance of the logarithm of a response's time that is assumed at first, and the number of
/// responses that it counts for: few responses may lie close together by chance.
constexpr double UsualSpeedVariance = 0.2;
constexpr double UsualSpeedVarianceWeight = 8;
/// A server without responses for this long is assigned the median speed of its peers.
constexpr std::chrono::seconds SpeedLifetime(60);
/// Fewest events of a stream that show the time per event.
constexpr int MinEventsForSpeed = 4;

/// Weight of the newest value in the mean size of a service's requests.
constexpr double MeanWeight = 1.0 / 64;
/// Mean length of an answer relative to its hint, before it is measured, and its bounds. The hint
/// is right in the median and the lengths are skewed, so that the mean is higher.
constexpr double InitialHintRatio = 1.25;
constexpr double MinHintRatio = 1;
constexpr double MaxHintRatio = 8;
/// The answer of a request that outgrew its estimate is expected to be this many times as long as
/// it is by then.
constexpr double OutgrownAnswerFactor = 1.5;
/// Fraction of a server's memory that is used: the lengths of answers are estimates, and other
/// gateways send requests between two reports.
constexpr double MaxMemoryUse = 0.9;
/// How long other gateways' requests count after a server's last report; about as long as requests
/// run that hold much memory.
constexpr std::chrono::seconds OtherRequestsLifetime(5);

/// Limit on leading prompt parts of a request that are remembered, and on all of them.
constexpr size_t MaxPrefixParts = 8;
constexpr size_t MaxPrefixEntries = 4096;
/// How long a server is assumed to keep a prompt prefix that no request has used.
constexpr std::chrono::seconds PrefixLifetime(30);
/// Largest gain by a prompt cache, in requests: beyond this load a second server reads the prefix
/// too.
constexpr double MaxCacheGain = 6;

/// Cost of leaving the failure domain for a mean request, in requests at a server. Without a
/// setting for the cost, it stays below one request, so that with idle servers the own domain is
/// left as soon as another server holds one request less.
constexpr double UsualRemoteWeight = 0.75;
constexpr double MinRemoteWeight = 0.25;
constexpr double MaxUsualRemoteWeight = 0.95;
constexpr double MaxRemoteWeight = 64;
/// Added to that for requests outside the share that may leave. It bounds the delay that a wrong
/// share causes to that of two requests.
constexpr double HoldBackWeight = 2;
/// Weight of one request in the fraction that leaves the domain.
constexpr double LeavingWeight = 1.0 / 64;
/// Number of steps of the share.
constexpr int DomainShareSteps = 16;
/// Interval between two looks at all servers of a service.
constexpr std::chrono::milliseconds DomainObservationInterval(200);
/// Shortest interval between two steps of the share. It doubles with each reversal up to the
/// maximum number, and is short again after the reversal is forgotten.
constexpr std::chrono::steady_clock::duration DomainStepInterval = std::chrono::milliseconds(400);
constexpr int MaxDomainReversals = 5;
constexpr std::chrono::seconds DomainReversalMemory(60);
/// Time constant for smoothing the use of the own domain and what leaving it saves.
constexpr std::chrono::milliseconds DomainSmoothingTime(1000);
/// Use of the own domain's slots above which the share is limited, and below which it no longer is.
constexpr double DomainBusyUse = 0.6;
constexpr double DomainSpareUse = 0.45;

} // namespace Routing::Constants
