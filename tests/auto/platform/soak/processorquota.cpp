#include "processorquota.h"

#include "gatewayprocess.h"

#include <net/reactor.h>

namespace Soak {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds Period(100);
constexpr milliseconds TickInterval(2);

} // namespace

ProcessorQuota::ProcessorQuota(Net::Reactor &reactor, GatewayProcess &process, milliseconds share)
    : m_reactor(reactor)
    , m_process(process)
    , m_share(share)
    , m_timer(reactor, TickInterval, [this] { tick(); })
{ }

auto ProcessorQuota::tick() -> void
{
    const Utils::TimePoint now = m_reactor.now();
    const std::chrono::nanoseconds used = m_process.processorTime();
    if (now - m_periodStart >= Period) {
        // Time used beyond the last period's share is deducted from this period's.
        const auto over = used - m_usedAtStart - m_share;
        m_usedAtStart = over.count() > 0 && over < Period ? used - over : used;
        m_periodStart = now;
        m_process.resume();
    }
    if (used - m_usedAtStart >= m_share)
        m_process.pause();
}

} // namespace Soak
