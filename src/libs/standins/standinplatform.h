#pragma once

#include <utils/result.h>

#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace StandIns {

/// Configuration of a stand-in platform.
struct PlatformOptions
{
    std::string address = "127.0.0.1:0";
    double loadsPerSecond = 3;
    int loadsAtOnce = 4;
};

/// Simulates the platform's table service, object store, instance list and weight store. Parts for
/// fault injection: "table", "objects", "instances", "weights".
class StandInPlatform
{
public:
    static auto create(Net::Reactor &reactor, const PlatformOptions &options)
        -> Utils::Result<std::unique_ptr<StandInPlatform>, std::string>;
    ~StandInPlatform();

    auto port() const -> int;

private:
    struct Private;
    explicit StandInPlatform(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace StandIns
