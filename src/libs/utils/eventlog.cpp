#include "eventlog.h"

#include "wallclock.h"

#include <easylogging++.h>

#include <algorithm>
#include <iostream>

#include <fcntl.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace Utils {

namespace {

auto processNameStorage() -> std::string &
{
    static std::string name = "acacia";
    return name;
}

/// Limit for lines that the reader has not accepted yet; further lines are dropped.
constexpr size_t MaxBufferedBytes = 256 << 10;

/// Writes lines to the configured target.
struct Sink
{
    LogTarget target = LogTarget::StandardError;
    std::string buffer;
    size_t droppedLines = 0;

    auto write(const std::string &line) -> void
    {
        if (target == LogTarget::StandardError) {
            std::cerr << line;
            return;
        }
        if (buffer.size() + line.size() > MaxBufferedBytes) {
            ++droppedLines;
            return;
        }
        if (droppedLines > 0) {
            buffer += nlohmann::json({{"linesLeftOut", droppedLines}}).dump() + '\n';
            droppedLines = 0;
        }
        buffer += line;
    }

    auto flush() -> void
    {
        size_t done = 0;
        while (done < buffer.size()) {
            const auto count = ::write(STDOUT_FILENO, buffer.data() + done, buffer.size() - done);
            if (count <= 0)
                break;
            done += static_cast<size_t>(count);
        }
        buffer.erase(0, done);
    }

    /// Keeps a pipe whose reader has stopped from blocking the process.
    auto makeNonBlocking() -> void
    {
        const int flags = fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0)
            fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
};

auto sink() -> Sink &
{
    static Sink instance;
    return instance;
}

auto eventName(Event event) -> std::string_view
{
    const auto &all = eventCatalogue();
    const auto found = std::find_if(all.begin(), all.end(),
                                    [event](const auto &entry) { return entry.event == event; });
    return found == all.end() ? std::string_view("unlisted") : found->name;
}

} // namespace

auto eventCatalogue() -> const std::vector<EventDescription> &
{
    static const std::vector<EventDescription> catalogue = {
        {Event::AssertionFailed, "assertion-failed",
         "An internal expectation did not hold; the step was skipped."},
        {Event::ProcessStarted, "process-started",
         "Settings were checked and the process listens."},
        {Event::ProcessStopped, "process-stopped", "The process ends; no work is left unfinished."},
        {Event::DrainStarted, "drain-started",
         "The process accepts no new work and finishes the work in progress."},
        {Event::SettingsReloaded, "settings-reloaded",
         "Changed settings were checked and are in force."},
        {Event::SettingsRejected, "settings-rejected",
         "Changed settings are invalid; the previous ones stay in force."},
        {Event::LoopDelayed, "loop-delayed",
         "The event loop was blocked; events that arrived meanwhile were handled late."},
        {Event::RevisionApplied, "revision-applied",
         "A newer revision of the control state is in force here."},
        {Event::FreshnessLost, "freshness-lost",
         "Neither the store nor a majority answered in time; work is refused."},
        {Event::FreshnessRegained, "freshness-regained",
         "The control state is proved fresh again."},
        {Event::StoreUnavailable, "store-unavailable",
         "The platform's table service did not answer."},
        {Event::SupersededByNewer, "superseded",
         "A newer process took over this backend server; this one stops its orders."},
        {Event::StoreRegained, "store-regained",
         "The platform's store answers again, or for the first time."},
        {Event::ConfigurationTaken, "configuration-taken",
         "A configuration is in force at this gateway."},
        {Event::ConfigurationRejected, "configuration-rejected",
         "A configuration could not be read; the previous one stays in force."},
        {Event::EntryRejected, "entry-rejected",
         "An entry, report or message could not be read and was left out."},
        {Event::BackendChanged, "backend-changed",
         "A backend server is new, restarted, leaving or back."},
        {Event::BackendPaused, "backend-paused",
         "A backend server asked this gateway to send no requests for a while."},
        {Event::RateLimitChanged, "rate-limit-changed",
         "A backend server named, changed or ended a limit on requests per second."},
        {Event::RateLimitRejected, "rate-limit-rejected",
         "A backend server named a limit that is no number of requests per second; it is ignored."},
        {Event::PermitUnanswered, "permit-unanswered",
         "The gateway that issues a server's permits did not answer; another one is asked."},
        {Event::StoreEraChanged, "store-era-changed",
         "The platform's store came back from a copy; versions before it mean nothing any more."},
        {Event::StoreEraRejected, "store-era-rejected",
         "An answer of the platform's store named no era that can be read; it has no effect."},
        {Event::ConfigurationOutdated, "configuration-outdated",
         "The store has an older configuration than the one in force, which stays."},
        {Event::EvacuationBegun, "evacuation-begun",
         "The operators evacuate a failure domain; its servers get no new requests or orders."},
        {Event::EvacuationEnded, "evacuation-ended",
         "A failure domain is no longer evacuated; its servers count as cold for a while."},
        {Event::VersionsChanged, "versions-changed",
         "The software versions at which a service's running streams can have begun have changed."},
        {Event::BackendLeaving, "backend-leaving",
         "A backend server announced in an answer that it is leaving; it gets no new requests."},
        {Event::GatewayGivenUp, "gateway-given-up",
         "A gateway was silent for too long; the others share its part of the quotas."},
        {Event::StoreAskedAnew, "store-asked-anew",
         "A request to the store may have been lost and was sent again."},
        {Event::BackendGone, "backend-gone", "A backend server is no longer listed."},
        {Event::CrossDomainShareChanged, "cross-domain-share-changed",
         "Another share of a service's requests may leave the gateway's failure domain."},
        {Event::RequestRefused, "request-refused",
         "A caller got a refusal; reason, rule line and person are given."},
        {Event::RequestServed, "request-served", "A caller got a whole answer."},
        {Event::RequestRetried, "request-retried",
         "A request that provably did not run was sent to another backend server."},
        {Event::StreamEnded, "stream-ended",
         "A running answer was ended early; the reason is given."},
        {Event::RequestSentUnderLimit, "request-sent-under-limit",
         "A request was sent to a backend server that has named a limit."},
        {Event::PermitRefused, "permit-refused",
         "A server's limit leaves no room for the request in time; the next free time is given."},
        {Event::RequestSentToColdServer, "request-sent-to-cold-server",
         "A request was sent to a cold server, within this gateway's share of its rate."},
        {Event::RequestRefusedEarly, "request-refused-early",
         "A waiting request can't get a slot in time; the estimate and what it is based on are "
         "given."},
        {Event::StreamOriginFound, "stream-origin-found",
         "The software version that began a stream was found; source is memory, single-version or "
         "record."},
        {Event::StreamOriginUnknown, "stream-origin-unknown",
         "No proof of the software version that began a stream was found; it can't be taken up."},
        {Event::LoadOrdered, "load-ordered", "A model's load was ordered from the backend server."},
        {Event::LoadConfirmed, "load-confirmed", "The backend server confirmed a load."},
        {Event::LoadFailed, "load-failed",
         "A load failed or its answer was lost; memory stays reserved until reconciled."},
        {Event::UnloadOrdered, "unload-ordered",
         "A model's unload was ordered from the backend server."},
        {Event::UnloadConfirmed, "unload-confirmed",
         "The backend server confirmed an unload; memory is free."},
        {Event::PermitChanged, "permit-changed",
         "The planner decided which backend servers may hold a model."},
        {Event::OrderAnswered, "order-answered",
         "An engine answered an order, or the order was given up; `ending` tells which and why."},
        {Event::LinkSilent, "link-silent",
         "A connection missed its heartbeat; a second connection is opened."},
        {Event::LinkRejected, "link-rejected",
         "A peer did not prove that it knows the fleet secret."},
        {Event::SubmissionRecorded, "submission-recorded",
         "An at-most-once submission's outcome was recorded."},
        {Event::SubmissionUnknown, "submission-unknown",
         "A submission may have run; it will not be run again."},
        {Event::CrashSuspected, "crash-suspected",
         "A request was in flight when its backend server crashed."},
        {Event::CrashVerdictGiven, "crash-verdict-given",
         "Requests with this feature crash backend servers; all gateways refuse them."},
        {Event::CrashVerdictEnded, "crash-verdict-ended",
         "A request with the feature was answered; such requests are sent again."},
        {Event::CrashTrialAllowed, "crash-trial-allowed",
         "One request with a refused feature may show whether it still crashes servers."},
        {Event::DutyTaken, "duty-taken",
         "This process holds a shared duty's lease. For placement, `fence` is the token of its "
         "orders, and `tenure` tells whether it is new or goes on from before."},
        {Event::DutyLost, "duty-lost", "This process no longer holds a shared duty's lease."},
    };
    return catalogue;
}

auto configureLog(const std::string &processName, LogTarget target) -> void
{
    processNameStorage() = processName;
    sink().target = target;
    if (target == LogTarget::BoundedStandardOutput)
        sink().makeNonBlocking();
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    el::Loggers::reconfigureAllLoggers(configuration);
}

auto logEvent(Event event, const nlohmann::json &fields) -> void
{
    nlohmann::json line = {{"time", wallClock().count()},
                           {"process", processNameStorage()},
                           {"event", static_cast<int>(event)},
                           {"name", eventName(event)}};
    line.update(fields);
    sink().write(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n');
}

auto flushLog() -> void
{
    sink().flush();
}

} // namespace Utils
