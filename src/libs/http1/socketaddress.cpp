#include "socketaddress.h"

#include <arpa/inet.h>

#include <charconv>

namespace Http1 {

auto SocketAddress::create(std::uint32_t hostOrderIp, std::uint16_t port) -> SocketAddress
{
    SocketAddress address;
    address.m_ip = hostOrderIp;
    address.m_port = port;
    return address;
}

auto SocketAddress::parse(const std::string &text) -> Utils::Result<SocketAddress, std::string>
{
    const auto parseError = [&text] {
        return tl::unexpected("expected an address such as 10.1.0.25:8221, found \"" + text + '"');
    };
    const auto colon = text.rfind(':');
    // The conversion below would stop at a null character.
    if (colon == std::string::npos || text.find('\0') != std::string::npos)
        return parseError();
    in_addr ip = {};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &ip) != 1)
        return parseError();
    std::uint16_t port = 0;
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, port);
    if (parsed.ec != std::errc() || parsed.ptr != last)
        return parseError();
    return create(ntohl(ip.s_addr), port);
}

auto SocketAddress::isConnectable() const -> bool
{
    constexpr std::uint32_t firstOctet = 0xff000000;
    constexpr std::uint32_t firstMulticast = 0xe0000000;
    return m_port != 0 && (m_ip & firstOctet) != 0 && m_ip < firstMulticast;
}

auto SocketAddress::toString() const -> std::string
{
    in_addr ip = {};
    ip.s_addr = htonl(m_ip);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &ip, text, sizeof text);
    return std::string(text) + ':' + std::to_string(m_port);
}

} // namespace Http1
