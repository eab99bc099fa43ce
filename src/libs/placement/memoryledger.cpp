#include "memoryledger.h"

namespace Placement {

MemoryLedger::MemoryLedger(std::uint64_t capacityBytes)
    : m_capacityBytes(capacityBytes)
{ }

auto MemoryLedger::reserve(const std::string &item, std::uint64_t bytes) -> bool
{
    if (bytes > freeBytes() || holds(item))
        return false;
    m_reservations[item] = bytes;
    m_usedBytes += bytes;
    return true;
}

auto MemoryLedger::release(const std::string &item) -> void
{
    const auto found = m_reservations.find(item);
    if (found == m_reservations.end())
        return;
    m_usedBytes -= found->second;
    m_reservations.erase(found);
}

auto MemoryLedger::adopt(const std::string &item, std::uint64_t bytes) -> void
{
    release(item);
    m_reservations[item] = bytes;
    m_usedBytes += bytes;
}

auto MemoryLedger::holds(const std::string &item) const -> bool
{
    return m_reservations.count(item) > 0;
}

auto MemoryLedger::freeBytes() const -> std::uint64_t
{
    return m_usedBytes >= m_capacityBytes ? 0 : m_capacityBytes - m_usedBytes;
}

auto MemoryLedger::usedBytes() const -> std::uint64_t
{
    return m_usedBytes;
}

auto MemoryLedger::capacityBytes() const -> std::uint64_t
{
    return m_capacityBytes;
}

} // namespace Placement
