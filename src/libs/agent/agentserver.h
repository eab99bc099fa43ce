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

/// The process beside one backend server: takes requests from entries, queues them, and is the only
/// one to give its backend server orders and work.
class AgentServer
{
public:
    static auto create(Net::Reactor &reactor, const AgentSettings &settings)
        -> Utils::Result<std::unique_ptr<AgentServer>, std::string>;
    ~AgentServer();

    /// Takes no new work, hands back what waits, finishes what runs, then calls `done`.
    auto drain(std::function<void()> done) -> void;

private:
    struct Private;
    explicit AgentServer(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Agent
