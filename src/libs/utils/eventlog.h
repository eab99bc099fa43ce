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
    RevisionApplied = 200,
    FreshnessLost = 201,
    FreshnessRegained = 202,
    StoreUnavailable = 203,
    SupersededByNewer = 204,
    RequestRefused = 300,
    RequestServed = 301,
    RequestRetried = 302,
    StreamEnded = 303,
    LoadOrdered = 400,
    LoadConfirmed = 401,
    LoadFailed = 402,
    UnloadOrdered = 403,
    UnloadConfirmed = 404,
    PermitChanged = 405,
    LinkSilent = 500,
    LinkRejected = 501,
    SubmissionRecorded = 600,
    SubmissionUnknown = 601,
    CrashSuspected = 602,
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

/// Every event there is, in order of number.
auto eventCatalogue() -> const std::vector<EventDescription> &;

/// Sets the process name that each line carries; lines go to standard error.
auto configureLog(const std::string &processName) -> void;

/// Writes one line of JSON: time, process, event number and name, then `fields`.
auto logEvent(Event event, const nlohmann::json &fields) -> void;

} // namespace Utils
