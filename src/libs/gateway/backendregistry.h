#pragma once

#include "backendserver.h"

#include <utils/timepoint.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

struct BackendLoad;
struct EngineReport;

/// What a request needs of a backend server.
struct BackendRequirements
{
    std::string service;
    std::string model; ///< Empty where the service has no models.
    std::string adapter;
    std::string
        affinity; ///< Requests with the same text go to the same server if all else is equal.
    std::set<std::string> excluded; ///< Servers that this request was sent to before.
};

/// How a send ended, as far as it tells about the backend server.
enum class SendOutcome {
    Good,
    Failed, ///< An error, a cut or unreadable answer.
    Unreachable, ///< No connection, or lost at once.
    Busy, ///< It refused because it is full.
    Abandoned, ///< Given up for reasons of the caller's.
};

/// What this process knows of backend servers: who they are, what they hold, how they fare, and
/// what is under way there. Chooses where a request goes. Needs no network and reads no clock.
class BackendRegistry
{
public:
    /// Own failure domain, and how many gateways share the servers.
    explicit BackendRegistry(std::string failureDomain);

    auto setGatewayCount(int count) -> void;
    /// The list's newest entry. False if an entry of a newer incarnation is known.
    auto update(const BackendServer &server, Utils::TimePoint now) -> bool;
    auto remove(const std::string &id) -> void;
    /// What an engine itself reports of its models; ignored if it is older than what is known.
    auto applyReport(const std::string &id, const EngineReport &report) -> void;
    auto updateLoad(const std::string &id, const BackendLoad &load, Utils::TimePoint now) -> void;
    /// A server said that it leaves: nothing new goes to that incarnation, whatever the list says.
    /// True if that was not known.
    auto noteLeaving(const std::string &id, std::int64_t startedAtMs) -> bool;
    /// A server wants no requests of this gateway until then.
    auto notePause(const std::string &id, Utils::TimePoint until) -> void;
    /// When the first of the servers that a request may use ends its pause; nothing if one of them
    /// has no pause, or there is none.
    auto pauseEnd(const BackendRequirements &requirements, Utils::TimePoint now) const
        -> std::optional<Utils::TimePoint>;
    /// An engine said that it doesn't hold the model or adapter.
    auto noteMissing(const std::string &id, const std::string &model, const std::string &adapter)
        -> void;
    /// Most requests at one server of a service from all gateways together.
    auto setCapacity(const std::string &service, int slots) -> void;

    /// The server for a request now; nothing if none has room or holds the model.
    auto choose(const BackendRequirements &requirements, Utils::TimePoint now) const
        -> std::optional<std::string>;
    /// True if any server that may be used holds the model, whether or not it has room.
    auto isHeld(const BackendRequirements &requirements) const -> bool;
    /// True if any server of the service may be used.
    auto hasService(const std::string &service) const -> bool;

    auto noteSent(const std::string &id) -> void;
    auto noteEnded(const std::string &id, SendOutcome outcome, Utils::TimePoint now) -> void;

    auto find(const std::string &id) const -> const BackendServer *;
    auto servers() const -> std::vector<const BackendServer *>;
    auto inFlight(const std::string &id) const -> int;
    /// When the server was seen to have started again under its id, if ever.
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
        Utils::TimePoint pausedUntil; ///< By its own word.
        std::optional<Utils::TimePoint> restartedAt;
        int reportedOthers = 0; ///< Requests of other gateways when the server last told.
        Utils::TimePoint reportedAt;
    };

    /// The list's entry, with what the server itself said.
    auto withAnnouncedState(const BackendServer &server) const -> BackendServer;
    auto holds(const Entry &entry, const BackendRequirements &requirements) const -> bool;
    auto mayEject(const std::string &service, Utils::TimePoint now) const -> bool;
    auto loadOf(const Entry &entry, Utils::TimePoint now) const -> double;
    auto capacityOf(const Entry &entry) const -> int;

    std::string m_failureDomain;
    int m_gatewayCount = 1;
    std::map<std::string, Entry> m_entries;
    /// Start of the newest incarnation that said it leaves, also of servers that are listed no
    /// more: an entry may lapse and come back.
    std::map<std::string, std::int64_t> m_announcedLeaving;
    std::map<std::string, int> m_capacity;
};

} // namespace Gateway
