#pragma once

#include <chrono>

namespace Gateway::Constants {

/// Timeout of one long poll for changes. A poll that an unresponsive store dropped ends after this
/// time plus the time for an answer, which is within the five seconds after the store's recovery in
/// which a change made then must be known. Each poll is billed, so the timeout is not shorter.
constexpr std::chrono::milliseconds LongPollTimeout(2500);
/// Interval between two polls for changed backend servers, as a fraction of the notice that a
/// leaving server gives. Engines write an entry at each load and each poll is billed; only the news
/// that a server leaves is urgent.
constexpr double ServerListPollIntervalShare = 0.3;
/// A query to the store counts as lost once other gateways have known a newer row for at least this
/// long. Changes of servers are batched for the poll interval; changes of the configuration are
/// reported at once.
constexpr std::chrono::milliseconds ServerListLagMargin(100);
constexpr std::chrono::milliseconds ConfigurationLagTimeout(300);
/// An answer whose transfer takes longer than this has the link to itself: other pending queries
/// for the same table are given up.
constexpr std::chrono::milliseconds MinSlowTransferTime(50);
/// Initial and longest delay before a failed query is retried. Refused calls are billed too, and a
/// change must be known two seconds after it was made.
constexpr std::chrono::milliseconds InitialRetryDelay(100);
constexpr std::chrono::milliseconds MaxRetryDelay(800);
/// Entries that expired while the store was unreachable are written again within this time after
/// its recovery.
constexpr std::chrono::milliseconds ExpiredEntryGracePeriod(1900);

/// Lifetime of a confirmation by the store that allows final denials, as a fraction of the time in
/// which a configuration must be in force everywhere. The rest covers the time that a request needs
/// to reach the gateway.
constexpr double ConfirmationLifetimeShare = 0.5;
/// How long another gateway's report of a newer configuration forbids denials; reports are repeated
/// several times a second.
constexpr std::chrono::milliseconds NewerConfigurationLifetime(1000);
/// Initial and longest interval between two queries for such a confirmation. Each query is billed,
/// and its answer shares the link with the answers to earlier queries.
constexpr std::chrono::milliseconds InitialConfirmationInterval(600);
constexpr std::chrono::milliseconds MaxConfirmationInterval(2400);
/// Longest time that a request waits for a confirmation; after it, the caller is better served by
/// another gateway.
constexpr std::chrono::milliseconds ConfirmationTimeout(1000);
/// Shortest suspension of the machine that is detected. The two clocks are not read at the same
/// moment, so smaller differences mean nothing.
constexpr std::chrono::milliseconds MinDetectedSuspension(50);
/// Limit on requests that wait for a confirmation at once; anybody can send requests that must be
/// denied.
constexpr size_t MaxUnconfirmedDenials = 128;

/// A backend server that does not accept a connection within this time is skipped; the farthest one
/// is a few milliseconds away.
constexpr std::chrono::milliseconds ConnectTimeout(300);
/// Time for which a backend server is skipped after it refused or lost a connection.
constexpr std::chrono::milliseconds ConnectFailureCooldown(400);
/// How long a backend server that keeps failing is ejected; the time doubles up to the maximum.
constexpr std::chrono::milliseconds InitialEjectionTime(1500);
constexpr std::chrono::milliseconds MaxEjectionTime(6000);
/// Weight of the newest outcome in a backend server's failure rate, and the rate above which the
/// server is ejected. Services return errors of their own for one request in seven; three failures
/// in a row are tolerated.
constexpr double FailureWeight = 0.12;
constexpr double EjectionFailureRate = 0.4;
/// Fraction of a service's backend servers that may be ejected at once.
constexpr double MaxEjectedShare = 0.34;
/// How long a reported load of a backend server is valid.
constexpr std::chrono::milliseconds ReportedLoadLifetime(1000);

/// Idle time after which a connection is not reused for requests that may run only once: if the
/// peer is closing the connection, it is unknown whether such a request has run.
constexpr std::chrono::milliseconds AtMostOnceMaxIdle(250);
/// The same for requests that may be repeated, unless the peer states a shorter time.
constexpr std::chrono::milliseconds RepeatableMaxIdle(3000);
/// Limit on idle connections to one backend server.
constexpr size_t MaxIdleConnections = 16;
/// A connection is closed after this many refused attempts, as each of them is remembered.
constexpr size_t MaxRefusalsPerConnection = 32;

/// Fraction of the caller's timeout for which a request may wait for a backend server.
constexpr double MaxWaitShare = 0.5;
/// Reserved from the remaining time for sending the answer back to the caller.
constexpr std::chrono::milliseconds AnswerMargin(5);
/// An idempotent request that has not been answered after this many latency objectives is sent to
/// another backend server.
constexpr double RepeatAfterObjectives = 3;
/// A resumable stream without an event for this long is resumed at another backend server.
constexpr std::chrono::milliseconds StreamIdleTimeout(1500);
/// The same timeout before the first event, in latency objectives.
constexpr double FirstEventTimeoutObjectives = 2.5;
/// Time from the first event of a stream during which a crash of its server may be due to it.
constexpr std::chrono::milliseconds AnswerBeginningTime(200);
/// Longest time for which a request waits until it is known which version began its stream.
constexpr std::chrono::milliseconds MaxOriginWait(1000);
/// Longest name of an attempt whose stream can be taken up; names are kept for a while.
constexpr size_t MaxResumableAttemptBytes = 200;
/// Time within which a server that has started writes its entry into the list.
constexpr std::chrono::milliseconds EntryWriteTime(2500);
/// Shortest and longest interval between two reports requested from a server whose connection was
/// lost, and the time allowed for one.
constexpr std::chrono::milliseconds MinReportInterval(400);
constexpr std::chrono::milliseconds MaxReportInterval(1600);
constexpr std::chrono::milliseconds ReportTimeout(800);
/// Limit on streams that are known to have begun lately.
constexpr size_t MaxStreamBeginnings = 8192;
/// Delay after the loss of a connection before another one shows whether the server still listens,
/// and the time allowed for that.
constexpr std::chrono::milliseconds CrashProbeDelay(50);
constexpr std::chrono::milliseconds CrashProbeTimeout(300);
/// A request that finds too little quota waits for grants from other gateways: for its latency
/// objective divided by this number, and no longer than a few round trips.
constexpr int QuotaWaitDivisor = 8;
constexpr std::chrono::milliseconds MaxQuotaWait(40);
/// Number of checks in that time; each one requests the missing quota from other gateways again.
constexpr int QuotaChecks = 4;
/// Largest answer that is buffered before it is forwarded, and largest event of a stream; a server
/// that sends more counts as failed. Answers are a few kilobytes, and many are buffered at once.
constexpr size_t MaxAnswerBytes = 2 << 20;
constexpr size_t MaxEventBytes = 256 << 10;
/// Interval at which a paused answer checks whether its client has taken what it has.
constexpr std::chrono::milliseconds RoomCheckInterval(10);
/// Retry-After when no better estimate exists: about the time of a model swap.
constexpr std::chrono::milliseconds DefaultRetryAfter(500);
/// Longest Retry-After; demand cannot be predicted further ahead.
constexpr std::chrono::milliseconds MaxRetryAfter(2000);

/// A gateway that has received no confirmation of the number of gateways for this long stops
/// refilling its part of the quotas: the holder of the placement lease may have assigned it to the
/// others. Longer than a change of the lease holder takes (4.7 s).
constexpr std::chrono::milliseconds QuotaPartLifetime(6000);
/// A gateway that was silent for this long is considered gone. Its part of the quotas has stopped
/// refilling by then, with two seconds of margin for the last message that it received and for
/// message delays.
constexpr std::chrono::milliseconds GatewaySilenceTimeout(8000);
/// Fraction of the platform's quota tolerance with which a restarted gateway starts, as it does not
/// know its previous level. All gateways may restart twice in one window.
constexpr double RestartToleranceShare = 0.5;

/// Fraction of the fleet's retry budget that is used; the rest covers sliding windows.
constexpr double RetryBudgetUse = 0.8;

/// Fraction of a backend server's limit on requests per second that the second issuer of permits
/// uses. The first one uses all of it, and both may be asked at once.
constexpr double SecondIssuerRateShare = 0.35;
/// Permits that the two issuers issue at once after an idle time.
constexpr int PermitBurst = 2;
constexpr int SecondIssuerBurst = 1;
/// Time after a permit's due time in which the request must be written.
constexpr std::chrono::milliseconds PermitLifetime(400);
/// Permits per second for a server that names a lower limit or none at all; its answers show when
/// the limit ends.
constexpr double MinPermitRate = 0.25;
/// After this time without an answer, a permit is requested again.
constexpr std::chrono::milliseconds PermitAskTimeout(100);
/// How long the second issuer is asked after the first one did not answer.
constexpr std::chrono::milliseconds IssuerSilenceTime(1000);
/// A gateway that the holder of the placement lease doesn't list for this long issues no permits.
/// A new holder lists the others only once they have reported to it.
constexpr std::chrono::milliseconds PermitIssuerRetention(8000);
/// After a limit has ended, its rate doubles at this interval, and is unlimited after this time.
constexpr std::chrono::milliseconds RateLimitRampStep(500);
constexpr std::chrono::milliseconds RateLimitRampTime(2000);

/// Delay before waiting requests are dispatched, so that many events at once cause one pass.
constexpr std::chrono::milliseconds DispatchDelay(2);
/// Interval between two writes of buffered log lines; each write costs a system call.
constexpr std::chrono::milliseconds LogFlushInterval(50);

} // namespace Gateway::Constants
