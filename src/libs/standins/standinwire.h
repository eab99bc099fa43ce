#pragma once

#include <utils/result.h>

#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace StandIns {

/// A network path between two processes that can lose track of established connections: after
/// `freeze` those stay open at both ends and carry nothing more, while new ones work.
class StandInWire
{
public:
    /// Listens on `address` and carries each connection on to `target`.
    static auto create(Net::Reactor &reactor, const std::string &address, const std::string &target)
        -> Utils::Result<std::unique_ptr<StandInWire>, std::string>;
    ~StandInWire();

    auto port() const -> int;
    /// Silences every connection that is open now.
    auto freeze() -> void;
    auto frozenCount() const -> int;

private:
    struct Private;
    explicit StandInWire(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace StandIns
