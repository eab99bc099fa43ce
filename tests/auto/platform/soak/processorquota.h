#pragma once

#include <net/periodictimer.h>
#include <utils/timepoint.h>

#include <chrono>

namespace Net {
class Reactor;
}

namespace Soak {

class GatewayProcess;

/// Gives a gateway a part of a processor as control groups do: it stands still for the rest of a
/// period whose share it has used.
class ProcessorQuota
{
public:
    ProcessorQuota(Net::Reactor &reactor, GatewayProcess &process, std::chrono::milliseconds share);

private:
    auto tick() -> void;

    Net::Reactor &m_reactor;
    GatewayProcess &m_process;
    std::chrono::milliseconds m_share; ///< Of each period.
    Utils::TimePoint m_periodStart;
    std::chrono::nanoseconds m_usedAtStart{0};
    Net::PeriodicTimer m_timer;
};

} // namespace Soak
