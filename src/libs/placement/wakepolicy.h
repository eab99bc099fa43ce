#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Placement {

/// Where the nearest copy of a checkpoint is, seen from one backend server.
enum class CheckpointPlace { Memory, Disk, Remote };

/// One holder of a permit as a place to wake the model.
struct WakeCandidate
{
    std::string server;
    bool isLoaded = false;
    CheckpointPlace nearest = CheckpointPlace::Remote;
    bool hasFreeMemory = false; ///< Without unloading anything.
    int queuedRequests = 0;
    bool isInCallersDomain = false;
    bool isPrimary = false; ///< Where the planner wants the model to wake first.
};

/// Orders the holders of a model's permit for a request, best first.
class WakePolicy
{
public:
    virtual ~WakePolicy() = default;
    virtual auto rank(const std::string &model, std::vector<WakeCandidate> candidates) const
        -> std::vector<std::string> = 0;
};

/// "nearest" (loaded, then nearest checkpoint, the same order at every entry) or "least-loaded"
/// (the baseline); null for any other name.
auto makeWakePolicy(const std::string &name) -> std::unique_ptr<WakePolicy>;

} // namespace Placement
