#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Placement {

/// What the weight store allows: loads started a second and loads at once.
struct LoadLimits
{
    double perSecond = 0;
    int maxConcurrent = 0;
};

/// A load that waits for its turn.
struct LoadRequest
{
    std::uint64_t id = 0;
    std::string holder;
    Utils::TimePoint deadline;
    /// Share of its contract that the worst-served waiting customer got, from 0; lower goes first.
    double servedShare = 1;
};

/// Hands out the weight store's load slots in order of deadline, worst-served customers first among
/// those that are close.
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
    /// When to ask again, if anything waits for the passing of time.
    auto nextGrantAt() const -> std::optional<Utils::TimePoint>;
    auto inFlight() const -> size_t;
    auto waiting() const -> size_t;

private:
    auto dropExpired(Utils::TimePoint now) -> void;

    LoadLimits m_limits;
    std::map<std::uint64_t, LoadRequest> m_waiting;
    std::map<std::uint64_t, Utils::TimePoint> m_granted; // Until when the slot is held at most.
    Utils::TimePoint m_nextStart;
};

} // namespace Placement
