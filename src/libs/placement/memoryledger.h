#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Placement {

/// Accounts for a backend server's memory. Bytes are reserved before an order is sent and released
/// only after the server has confirmed that they are free.
class MemoryLedger
{
public:
    explicit MemoryLedger(std::uint64_t capacityBytes);

    /// Returns false, with no effect, if too few bytes are free or the item is already reserved.
    auto reserve(const std::string &item, std::uint64_t bytes) -> bool;
    auto release(const std::string &item) -> void;
    /// Records an item that the server reports, even beyond the capacity; further reservations then
    /// fail.
    auto adopt(const std::string &item, std::uint64_t bytes) -> void;
    auto holds(const std::string &item) const -> bool;
    auto freeBytes() const -> std::uint64_t;
    auto usedBytes() const -> std::uint64_t;
    auto capacityBytes() const -> std::uint64_t;

private:
    std::uint64_t m_capacityBytes;
    std::uint64_t m_usedBytes = 0;
    std::map<std::string, std::uint64_t> m_reservations;
};

} // namespace Placement
