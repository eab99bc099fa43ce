#pragma once

#include <utils/result.h>

#include <cstdint>
#include <string>

namespace Http1 {

/// A numeric IPv4 address and port.
class SocketAddress
{
public:
    /// Parses "10.1.0.25:8221".
    static auto parse(const std::string &text) -> Utils::Result<SocketAddress, std::string>;
    static auto create(std::uint32_t hostOrderIp, std::uint16_t port) -> SocketAddress;

    auto ip() const -> std::uint32_t { return m_ip; } ///< Host byte order.
    auto port() const -> std::uint16_t { return m_port; }
    auto withPort(std::uint16_t port) const -> SocketAddress { return create(m_ip, port); }
    auto toString() const -> std::string;
    /// True if it can be another process's address: no port 0, and no "any", multicast, reserved or
    /// broadcast address.
    auto isConnectable() const -> bool;
    auto operator==(const SocketAddress &) const -> bool = default;
    auto operator<(const SocketAddress &other) const -> bool
    {
        return m_ip != other.m_ip ? m_ip < other.m_ip : m_port < other.m_port;
    }

private:
    std::uint32_t m_ip = 0;
    std::uint16_t m_port = 0;
};

} // namespace Http1
