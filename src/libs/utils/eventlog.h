#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace Utils {

/// Numbered log events. Numbers are never reused; docs/EVENTS.md is the catalogue.
enum class Event : int {
    AssertionFailed = 1,
    ProcessStarted = 100,
    ProcessStopped = 101,
    DrainStarted = 102,
    SettingsReloaded = 103,
    SettingsRejected = 104,
    LoopDelayed = 105,
    RevisionApplied = 200,
    FreshnessLost = 201,
    FreshnessRegained = 202,
    StoreUnavailable = 203,
    SupersededByNewer = 204,
    StoreRegained = 205,
    ConfigurationTaken = 206,
    ConfigurationRejected = 207,
    EntryRejected = 208,
    BackendChanged = 209,
    BackendGone = 210,
    StoreAskedAnew = 211,
    GatewayGivenUp = 212,
    BackendLeaving = 213,
    BackendPaused = 214,
    RateLimitChanged = 215,
    RateLimitRejected = 216,
    PermitUnanswered = 217,
    StoreEraChanged = 218,
    StoreEraRejected = 219,
    ConfigurationOutdated = 220,
    EvacuationBegun = 221,
    EvacuationEnded = 222,
    VersionsChanged = 225,
    CrossDomainShareChanged = 230,
    RequestRefused = 300,
    RequestServed = 301,
    RequestRetried = 302,
    StreamEnded = 303,
    RequestSentUnderLimit = 304,
    PermitRefused = 305,
    RequestSentToColdServer = 306,
    RequestRefusedEarly = 307,
    StreamOriginFound = 310,
    StreamOriginUnknown = 311,
    LoadOrdered = 400,
    LoadConfirmed = 401,
    LoadFailed = 402,
    UnloadOrdered = 403,
    UnloadConfirmed = 404,
    PermitChanged = 405,
    OrderAnswered = 406,
    LinkSilent = 500,
    LinkRejected = 501,
    SubmissionRecorded = 600,
    SubmissionUnknown = 601,
    CrashSuspected = 602,
    CrashVerdictGiven = 603,
    CrashVerdictEnded = 604,
    CrashTrialAllowed = 605,
    DutyTaken = 700,
    DutyLost = 701,
};

/// Name and meaning of one event, as the catalogue prints it.
struct EventDescription
{
    Event event;
    std::string_view name;
    std::string_view meaning;
};

/// All events, ordered by number.
auto eventCatalogue() -> const std::vector<EventDescription> &;

/// Destination of log lines.
enum class LogTarget {
    StandardError, ///< Unbuffered, line by line.
    /// Buffered; `flushLog` writes as much as the reader accepts. Lines that don't fit into the
    /// buffer are dropped and counted.
    BoundedStandardOutput,
};

/// Sets the process name that appears in each line, and the destination.
auto configureLog(const std::string &processName, LogTarget target = LogTarget::StandardError)
    -> void;

/// Writes buffered lines as far as possible without blocking.
auto flushLog() -> void;

/// Writes one line of JSON: time, process, event number and name, then `fields`.
auto logEvent(Event event, const nlohmann::json &fields) -> void;

} // namespace Utils
