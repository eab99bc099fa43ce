#pragma once

#include <utils/timepoint.h>

#include <cstddef>
#include <vector>

namespace Admission {

/// Sizes and service times of a route's recent requests.
class RouteProfile
{
public:
    auto noteSize(double size) -> void;
    auto noteAnswered(double size, Utils::Duration taken) -> void;
    /// True if the size is among the largest tenth.
    auto isLarge(double size) const -> bool;
    /// Expected time of a request of that size; zero until one has been answered.
    auto expectedTime(double size) const -> Utils::Duration;
    auto meanTime() const -> Utils::Duration;

private:
    auto relativeSize(double size) const -> double;

    std::vector<double> m_sizes; ///< A ring of the last sizes.
    size_t m_next = 0;
    size_t m_sinceRefresh = 0;
    double m_largeFrom = 0;
    double m_meanSize = 0;
    double m_meanSeconds = 0;
    bool m_hasTime = false;
};

} // namespace Admission
