#pragma once

#include <utils/result.h>

#include <functional>
#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace Gateway {

struct GatewaySettings;
class RowStore;
class StreamOrigins;
class WireFormat;

/// A gateway: accepts callers' requests and forwards them to backend servers. It follows the
/// configuration and the list of backend servers in the store.
class GatewayServer
{
public:
    static auto create(Net::Reactor &reactor, const GatewaySettings &settings, RowStore &store,
                       const WireFormat &wire)
        -> Utils::Result<std::unique_ptr<GatewayServer>, std::string>;
    ~GatewayServer();

    /// Replaces the source of the versions that began streams. Must outlive the gateway.
    auto setStreamOrigins(StreamOrigins &origins) -> void;
    /// Applies the settings that may change at run time: stop time and retry budget. Addresses and
    /// names need a restart.
    auto reload(const GatewaySettings &settings) -> void;
    /// Stops accepting connections, finishes the open requests, then calls `done`.
    auto drain(const std::function<void()> &done) -> void;

private:
    struct Private;
    explicit GatewayServer(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Gateway
