#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Placement {

/// Location of the nearest copy of a checkpoint, relative to one backend server.
enum class CheckpointPlace { Memory, Disk, Remote };

/// A server with a permit for the model, considered for loading it.
struct WakeCandidate
{
    std::string server;
    bool isLoaded = false;
    CheckpointPlace nearest = CheckpointPlace::Remote;
    bool hasFreeMemory = false; ///< The model fits without unloading another one.
    int queuedRequests = 0;
    bool isInCallersDomain = false;
    bool isPrimary = false; ///< The planner prefers to load the model here first.
};

/// Ranks the servers with a permit for a model for one request, best first.
class WakePolicy
{
public:
    virtual ~WakePolicy() = default;
    virtual auto rank(const std::string &model, std::vector<WakeCandidate> candidates) const
        -> std::vector<std::string> = 0;
};

/// Creates the policy named "nearest" (loaded first, then the nearest checkpoint; same order at
/// every entry) or "least-loaded" (the baseline); returns null for any other name.
auto makeWakePolicy(const std::string &name) -> std::unique_ptr<WakePolicy>;

} // namespace Placement
