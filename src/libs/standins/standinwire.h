#pragma once

#include <utils/result.h>
#include <utils/timepoint.h>

#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace StandIns {

/// A proxy that simulates a faulty network path between two processes.
class StandInWire
{
public:
    /// The directions in which bytes are held back; connections stay open at both ends.
    enum class Silence {
        None,
        ToTarget, ///< No bytes reach the target.
        FromTarget,
        Both,
    };

    /// Listens on `address` and forwards each connection to `target`.
    static auto create(Net::Reactor &reactor, const std::string &address, const std::string &target)
        -> Utils::Result<std::unique_ptr<StandInWire>, std::string>;
    ~StandInWire();

    auto port() const -> int;
    /// Permanently stops forwarding on all open connections, like a path that lost its connection
    /// state; new connections work.
    auto freeze() -> void;
    auto frozenCount() const -> int;
    /// Holds back bytes until the silence ends, on new connections as well. A connection that is
    /// reset meanwhile loses them, as the sender doesn't transmit them any more.
    auto setSilence(Silence silence) -> void;
    /// Delays bytes in both directions.
    auto setDelay(Utils::Duration delay) -> void;
    /// Resets every open connection.
    auto reset() -> void;

private:
    struct Private;
    explicit StandInWire(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace StandIns
