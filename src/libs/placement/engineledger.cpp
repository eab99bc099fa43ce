#include "engineledger.h"

#include <algorithm>

namespace Placement {

EngineLedger::EngineLedger(const Capacity &capacity)
    : m_capacity(capacity)
{ }

auto EngineLedger::addModel(double mb) -> void
{
    m_modelsMb += mb;
}

auto EngineLedger::addAdapter(double mb) -> void
{
    m_adaptersMb += mb;
    ++m_adapters;
}

auto EngineLedger::addEarlierOrders(double mb, int adapters) -> void
{
    m_earlierMb += mb;
    m_earlierAdapters += adapters;
}

auto EngineLedger::addLateOrders(double mb, int adapters) -> void
{
    m_lateMb += mb;
    m_lateAdapters += adapters;
}

auto EngineLedger::keepForAdapters(double mb) -> void
{
    m_keptMb = mb;
}

auto EngineLedger::missingForModel(double mb) const -> double
{
    return mb + m_modelsMb + std::max(m_keptMb, m_adaptersMb) + m_earlierMb - m_capacity.memoryMb;
}

auto EngineLedger::mayFitModel(double mb) const -> bool
{
    return !m_isBlocked && mb + m_lateMb + std::max(m_keptMb, m_adaptersMb) <= m_capacity.memoryMb;
}

auto EngineLedger::canLoadAdapter(double mb) const -> bool
{
    return canReplaceAdapters(mb)
        && mb + m_modelsMb + m_adaptersMb + m_earlierMb <= m_capacity.memoryMb
        && m_adapters + m_earlierAdapters < m_capacity.adapterSlots;
}

auto EngineLedger::canReplaceAdapters(double mb) const -> bool
{
    return !m_isBlocked && mb + m_lateMb <= m_capacity.memoryMb
        && mb + m_modelsMb + m_earlierMb <= m_capacity.memoryMb
        && std::max(m_earlierAdapters, m_lateAdapters) < m_capacity.adapterSlots;
}

} // namespace Placement
