#pragma once

#include <utils/result.h>
#include <utils/timepoint.h>

#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace StandIns {

/// A network path between two processes that misbehaves as told.
class StandInWire
{
public:
    /// What becomes of bytes on the way; connections stay open at both ends.
    enum class Silence {
        None,
        ToTarget, ///< Nothing arrives at the target.
        FromTarget,
        Both,
    };

    /// Listens on `address` and carries each connection on to `target`.
    static auto create(Net::Reactor &reactor, const std::string &address, const std::string &target)
        -> Utils::Result<std::unique_ptr<StandInWire>, std::string>;
    ~StandInWire();

    auto port() const -> int;
    /// Silences for good every connection that is open now, as a path that lost track of them; new
    /// ones work.
    auto freeze() -> void;
    auto frozenCount() const -> int;
    /// Holds bytes back until the silence ends, on new connections as well.
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
