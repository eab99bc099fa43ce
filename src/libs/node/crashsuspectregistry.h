#pragma once

#include <routing/crashsuspects.h>

#include <string>
#include <vector>

namespace Node {

class FleetNode;

/// Tracks which requests were in flight when a backend server crashed, and shares this with the
/// whole fleet.
class CrashSuspectRegistry
{
public:
    explicit CrashSuspectRegistry(FleetNode &node);

    /// Records the crash locally, sends it to every registered instance immediately, and writes it
    /// to the control state.
    auto report(const std::vector<std::string> &fingerprints, const std::string &crash) -> void;
    /// Clears the suspicion against a request that ran to its end, so did not crash the server.
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

/// Key prefix of the control state's items that list the crashes for each request fingerprint.
extern const std::string strikeItemPrefix;

} // namespace Node
