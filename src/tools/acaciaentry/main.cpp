#include <app/daemon.h>
#include <entry/entryserver.h>
#include <entry/entrysettings.h>

auto main(int argc, char **argv) -> int
{
    Entry::EntrySettings settings;
    std::unique_ptr<Entry::EntryServer> server;
    const auto start = [&](Net::Reactor &reactor, std::string &error) -> App::StopCallback {
        auto created = Entry::EntryServer::create(reactor, settings);
        if (!created) {
            error = created.error();
            return nullptr;
        }
        server = std::move(*created);
        return [&](const auto &done) { server->drain(done); };
    };
    const auto read = [&](Utils::SettingsReader &reader) {
        settings = Entry::readEntrySettings(reader);
    };
    const int code = App::runDaemon(argc, argv, "acacia-entry", read, start);
    // The server's event loop is gone already, so the server is not destroyed; the process ends.
    static_cast<void>(server.release());
    return code;
}
