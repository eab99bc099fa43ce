#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Placement {

/// Limits of the weight store: loads started per second and loads running concurrently.
struct LoadLimits
{
    double perSecond = 0;
    int maxConcurrent = 0;
};

/// A queued request to load a model.
struct LoadRequest
{
    std::uint64_t id = 0;
    std::string holder;
    Utils::TimePoint deadline;
    /// Part of its contract that the worst-served waiting customer received, from 0; lower values
    /// have priority.
    double servedShare = 1;
};

/// Grants the weight store's load slots in order of deadline; among similar deadlines, the
/// worst-served customers come first.
class LoadPacer
{
public:
    explicit LoadPacer(const LoadLimits &limits);

    auto request(const LoadRequest &request) -> void;
    auto withdraw(std::uint64_t id) -> void;
    /// Returns a granted slot.
    auto finish(std::uint64_t id) -> void;
    /// The requests that may start now.
    auto grant(Utils::TimePoint now) -> std::vector<LoadRequest>;
    /// Time at which `grant` should be called again; unset if no queued request waits for the rate
    /// limit.
    auto nextGrantAt() const -> std::optional<Utils::TimePoint>;
    auto inFlight() const -> size_t;
    auto waiting() const -> size_t;

private:
    auto dropExpired(Utils::TimePoint now) -> void;

    LoadLimits m_limits;
    std::map<std::uint64_t, LoadRequest> m_waiting;
    std::map<std::uint64_t, Utils::TimePoint> m_granted; // When the slot's lease expires.
    Utils::TimePoint m_nextStart;
};

} // namespace Placement
