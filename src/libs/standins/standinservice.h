#pragma once

#include <utils/result.h>

#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace StandIns {

/// Simulates a plain service: counts how often each submission ran and records the requests it
/// receives. Part for fault injection: "calls".
class StandInService
{
public:
    static auto create(Net::Reactor &reactor, const std::string &address)
        -> Utils::Result<std::unique_ptr<StandInService>, std::string>;
    ~StandInService();

    auto port() const -> int;

private:
    struct Private;
    explicit StandInService(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace StandIns
