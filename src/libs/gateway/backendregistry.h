#pragma once

#include "backendserver.h"

#include <availability/coldstartlimiter.h>
#include <availability/evacuationlist.h>
#include <routing/serverselector.h>
#include <utils/timepoint.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

class SendAllowance;
struct BackendLoad;
struct EngineReport;

/// What a request requires of a backend server.
struct BackendRequirements
{
    std::string service;
    std::string model; ///< Empty where the service has no models.
    std::string adapter;
    std::string affinity; ///< Among equal servers, the same text selects the same one.
    std::set<std::string> excluded; ///< Servers that this request was already sent to.
    /// Version that a stream goes on at; no server has the empty one.
    std::optional<std::string> softwareVersion = {};
    /// If set, only servers of the versions for which it returns true.
    std::function<bool(const std::string &softwareVersion)> mayUseVersion = nullptr;
    /// Only servers that have not started again since they were listed, as far as is known.
    bool needsKnownIncarnation = false;
    const Routing::RequestProfile *profile = nullptr; ///< Must outlive the requirements.
};

/// The outcome of an attempt, as it concerns the backend server.
enum class SendOutcome {
    Good,
    Failed, ///< An error, or an answer that was cut off or malformed.
    Unreachable, ///< No connection, or lost immediately.
    Busy, ///< Refused because the server is full.
    Abandoned, ///< Cancelled for reasons on the caller's side.
};

/// Tracks the known backend servers, the models they hold, their failures and their in-flight
/// requests, and selects the server for a request. Needs no network and reads no clock.
class BackendRegistry
{
public:
    /// `failureDomain` is the failure domain of this gateway; `seed` differs between gateways.
    explicit BackendRegistry(std::string failureDomain, std::uint64_t seed = 0);

    auto setGatewayCount(int count) -> void;
    /// Servers that need a permit are only chosen if there is one. Must outlive the registry.
    auto setSendAllowance(const SendAllowance *allowance) -> void;
    /// Applies an entry of the server list. Returns false if an entry of a newer incarnation is
    /// known.
    auto update(const BackendServer &server, Utils::TimePoint now) -> bool;
    auto remove(const std::string &id) -> void;
    /// Applies an engine's own report of its models, unless it is older than the known state.
    auto applyReport(const std::string &id, const EngineReport &report) -> void;
    auto updateLoad(const std::string &id, const BackendLoad &load, Utils::TimePoint now) -> void;
    /// A server announced that it is leaving: that incarnation gets no new requests, whatever the
    /// list says. Returns true if that was unknown.
    auto noteLeaving(const std::string &id, std::int64_t startedAtMs) -> bool;
    /// The servers of an evacuated domain get no requests. Returns false if that was known.
    auto setEvacuated(const std::string &domain, bool isEvacuated, Utils::TimePoint now) -> bool;
    auto evacuations() const -> const Availability::EvacuationList & { return m_evacuations; }
    auto coldStarts() -> Availability::ColdStartLimiter & { return m_coldStarts; }
    /// The server's entry can't be read: it gets no new requests until an update. Returns true if
    /// the server was usable before.
    auto noteUnreadable(const std::string &id) -> bool;
    /// The server accepts no requests from this gateway before `until`.
    auto notePause(const std::string &id, Utils::TimePoint until) -> void;
    /// Earliest end of a pause among the servers that a request may use; unset if one of them is
    /// not paused, or if there are none.
    auto pauseEnd(const BackendRequirements &requirements, Utils::TimePoint now) const
        -> std::optional<Utils::TimePoint>;
    /// An engine answered that it doesn't hold the model or adapter.
    auto noteMissing(const std::string &id, const std::string &model, const std::string &adapter)
        -> void;
    /// A connection to that incarnation was lost or refused: the server may have started again, and
    /// the list may be behind.
    auto noteConnectionLost(const std::string &id, std::int64_t startedAtMs, Utils::TimePoint now)
        -> void;
    /// Nothing listened at the address of that incarnation, so that the next one starts later.
    auto noteRefusal(const std::string &id, std::int64_t startedAtMs, Utils::TimePoint now) -> void;
    /// That incarnation was alive at that time.
    auto confirmIncarnation(const std::string &id, std::int64_t startedAtMs, Utils::TimePoint at)
        -> void;
    /// A connection opened at `connectedAt` carried an answer to a request sent at `sentAt`.
    auto noteAnswered(const std::string &id, std::int64_t startedAtMs, Utils::TimePoint connectedAt,
                      Utils::TimePoint sentAt) -> void;
    auto isIncarnationKnown(const std::string &id, std::int64_t startedAtMs) const -> bool;
    /// When connections to the server were last refused, if ever.
    auto refusedAt(const std::string &id) const -> std::optional<Utils::TimePoint>;
    /// Maximum number of requests at one server of a service, from all gateways together, and of
    /// the tokens that they hold; 0 tokens mean no limit.
    auto setCapacity(const std::string &service, int slots, double tokens = 0) -> void;

    /// Selects the server for a request; unset if no server with the model has capacity.
    auto choose(const BackendRequirements &requirements, Utils::TimePoint now) const
        -> std::optional<std::string>;
    /// Selects the server to request a permit for; unset if none needs one. Keeps `current` while
    /// it may still be selected.
    auto choosePermitServer(const BackendRequirements &requirements, const std::string &current,
                            Utils::TimePoint now) const -> std::optional<std::string>;
    /// True if a server may serve the request without a permit, now or after a load or a pause.
    auto hasServerWithoutLimit(const BackendRequirements &requirements) const -> bool;
    /// True if a server may serve the request, now or after it has loaded the model.
    auto hasPossibleServer(const BackendRequirements &requirements) const -> bool;
    /// True if any usable server holds the model, with or without free capacity.
    auto isHeld(const BackendRequirements &requirements) const -> bool;
    /// True if the service has any usable server.
    auto hasService(const std::string &service) const -> bool;

    auto selector() -> Routing::ServerSelector & { return m_selector; }
    /// Null if that incarnation of the server is not the current one.
    auto stateOf(const std::string &id, std::int64_t startedAtMs) -> Routing::ServerState *;
    /// Called when the request is about to be sent, before `noteSent`.
    auto noteRequest(const std::string &id, const Routing::RequestProfile &request,
                     Utils::TimePoint now) -> Routing::RunningRequest;
    /// Called when the share of requests that may leave the failure domain has changed.
    std::function<void(const std::string &service, const Routing::DomainPolicy &)> onShareChanged;
    auto noteSent(const std::string &id) -> void;
    auto noteEnded(const std::string &id, SendOutcome outcome, Utils::TimePoint now) -> void;

    auto find(const std::string &id) const -> const BackendServer *;
    auto servers() const -> std::vector<const BackendServer *>;
    auto inFlight(const std::string &id) const -> int;
    /// When a restart of the server under its id was detected, if ever.
    auto restartedAt(const std::string &id) const -> std::optional<Utils::TimePoint>;
    auto ejectedUntil(const std::string &id) const -> Utils::TimePoint;

private:
    struct Entry
    {
        BackendServer server;
        int inFlight = 0;
        double failureRate = 0;
        int ejections = 0;
        Utils::TimePoint ejectedUntil;
        Utils::TimePoint avoidedUntil;
        Utils::TimePoint pausedUntil; ///< As announced by the server.
        std::optional<Utils::TimePoint> restartedAt;
        std::optional<Utils::TimePoint> lostAt; ///< Last lost connection, until confirmed again.
        std::optional<Utils::TimePoint> refusedAt;
        int reportedOtherRequests = 0; ///< Other gateways' requests in the server's last report.
        Utils::TimePoint reportedAt;
        Routing::ServerState state;
    };
    struct Capacity
    {
        int slots = 0;
        double tokens = 0;
    };

    /// The list's entry, merged with what the server itself announced.
    auto withAnnouncedState(const BackendServer &server) const -> BackendServer;
    auto holds(const Entry &entry, const BackendRequirements &requirements) const -> bool;
    /// True if the server may serve the request, apart from its models, load and failures.
    auto isSuitable(const Entry &entry, const BackendRequirements &requirements) const -> bool;
    /// True if the server may get the request now, apart from a permit.
    auto isCandidate(const Entry &entry, const BackendRequirements &requirements,
                     const Routing::SelectionWeights &weights) const -> bool;
    auto needsPermit(const Entry &entry) const -> bool;
    /// The lowest score is the best one.
    auto scoreOf(const Entry &entry, const Routing::SelectionWeights &weights) const -> double;
    auto isRemote(const Entry &entry) const -> bool;
    auto observe(const std::string &service, Utils::TimePoint now) -> void;
    auto mayEject(const std::string &service, Utils::TimePoint now) const -> bool;
    auto loadOf(const Entry &entry, Utils::TimePoint now) const -> double;
    auto capacityOf(const Entry &entry) const -> Capacity;

    std::string m_failureDomain;
    int m_gatewayCount = 1;
    const SendAllowance *m_allowance = nullptr;
    std::map<std::string, Entry> m_entries;
    /// Start time of the newest incarnation that announced its leaving. Includes unlisted servers,
    /// because an entry may expire and reappear.
    std::map<std::string, std::int64_t> m_announcedLeaving;
    std::map<std::string, Capacity> m_capacity;
    Availability::EvacuationList m_evacuations;
    Availability::ColdStartLimiter m_coldStarts;
    Routing::ServerSelector m_selector;
};

} // namespace Gateway
