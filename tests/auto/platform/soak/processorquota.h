#pragma once

#include <net/periodictimer.h>
#include <utils/timepoint.h>

#include <chrono>

namespace Net {
class Reactor;
}

namespace Soak {

class GatewayProcess;

/// Limits a gateway to a share of a processor, as control groups do: it is suspended for the rest
/// of a period once it has used its share.
class ProcessorQuota
{
public:
    ProcessorQuota(Net::Reactor &reactor, GatewayProcess &process, std::chrono::milliseconds share);

private:
    auto tick() -> void;

    Net::Reactor &m_reactor;
    GatewayProcess &m_process;
    std::chrono::milliseconds m_share; ///< Processor time in each period.
    Utils::TimePoint m_periodStart;
    std::chrono::nanoseconds m_usedAtStart{0};
    Net::PeriodicTimer m_timer;
};

} // namespace Soak
