#pragma once

#include <routing/crashsuspects.h>

#include <string>
#include <vector>

namespace Node {

class FleetNode;

/// Shares with the whole fleet which requests were in flight when a backend server crashed.
class CrashSuspectRegistry
{
public:
    explicit CrashSuspectRegistry(FleetNode &node);

    /// Counts here, tells every registered instance at once, and keeps it in the control state.
    auto report(const std::vector<std::string> &fingerprints, const std::string &crash) -> void;
    /// The request ran to its end: it is not what crashed servers.
    auto clearSuspect(const std::string &fingerprint) -> void;
    auto suspects() -> Routing::CrashSuspects &;

private:
    auto broadcast(const std::string &message) -> void;
    auto handlePeerReport(const std::string &body) -> void;
    auto applyControlState() -> void;

    FleetNode &m_node;
    Routing::CrashSuspects m_suspects;
    std::uint64_t m_seenRevision = 0;
};

/// Key prefix of the strikes in the control state.
extern const std::string strikeItemPrefix;

} // namespace Node
