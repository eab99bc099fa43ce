#pragma once

#include <agent/agentsettings.h>
#include <utils/result.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace Agent {

/// The process next to one backend server: accepts requests from entries and queues them. Only this
/// process sends requests and model orders to its backend server.
class AgentServer
{
public:
    static auto create(Net::Reactor &reactor, const AgentSettings &settings)
        -> Utils::Result<std::unique_ptr<AgentServer>, std::string>;
    ~AgentServer();

    /// Stops accepting requests, refuses the queued ones so that entries can send them elsewhere,
    /// finishes the running ones, then calls `done`.
    auto drain(std::function<void()> done) -> void;

private:
    struct Private;
    explicit AgentServer(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Agent
