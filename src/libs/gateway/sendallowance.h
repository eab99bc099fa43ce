#pragma once

#include <string>

namespace Gateway {

struct BackendServer;

/// Whether limits that backend servers named allow this gateway to send now.
class SendAllowance
{
public:
    virtual ~SendAllowance() = default;

    /// True if requests to the server need a permit.
    virtual auto needsPermit(const BackendServer &server) const -> bool = 0;
    /// True if this gateway holds a permit for the server that may be used now.
    virtual auto hasPermit(const BackendServer &server) const -> bool = 0;
};

} // namespace Gateway
