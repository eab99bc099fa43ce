#pragma once

#include <utils/timepoint.h>

namespace Routing {

/// How much longer than usual work takes on a server's machine, as the server reports it: 1 means
/// as usual. Reports are smoothed, and fade to 1 as they age.
class MachineSlowdown
{
public:
    auto note(double reported, Utils::TimePoint now) -> void;
    auto value(Utils::TimePoint now) const -> double;

private:
    double m_smoothed = 1;
    Utils::TimePoint m_reportedAt; ///< The epoch before the first report.
};

} // namespace Routing
