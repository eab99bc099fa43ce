#include <agent/agentserver.h>
#include <agent/agentsettings.h>
#include <app/daemon.h>

auto main(int argc, char **argv) -> int
{
    Agent::AgentSettings settings;
    std::unique_ptr<Agent::AgentServer> server;
    const auto start = [&](Net::Reactor &reactor, std::string &error) -> App::StopCallback {
        auto created = Agent::AgentServer::create(reactor, settings);
        if (!created) {
            error = created.error();
            return nullptr;
        }
        server = std::move(*created);
        return [&](const auto &done) { server->drain(done); };
    };
    const auto read = [&](Utils::SettingsReader &reader) {
        settings = Agent::readAgentSettings(reader);
    };
    const int code = App::runDaemon(argc, argv, "acacia-agent", read, start);
    // The server's event loop is gone already, so the server is not destroyed; the process ends.
    static_cast<void>(server.release());
    return code;
}
