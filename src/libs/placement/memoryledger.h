#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Placement {

/// Accounts for a backend server's memory: bytes are reserved before an order goes out and released
/// only when the server confirmed that they are free.
class MemoryLedger
{
public:
    explicit MemoryLedger(std::uint64_t capacityBytes);

    /// False, and no effect, when the bytes are not free or the item has a reservation already.
    auto reserve(const std::string &item, std::uint64_t bytes) -> bool;
    auto release(const std::string &item) -> void;
    /// Takes over what the server says that it holds, even beyond the capacity; nothing fits then.
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
