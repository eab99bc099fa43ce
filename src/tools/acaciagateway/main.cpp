#include <app/daemon.h>
#include <gateway/gatewayserver.h>
#include <gateway/gatewaysettings.h>
#include <platform/platformwireformat.h>
#include <platform/rowstoreclient.h>
#include <resources/allocator.h>

auto main(int argc, char **argv) -> int
{
    Resources::configureAllocator();
    Gateway::GatewaySettings settings;
    const Platform::PlatformWireFormat wire;
    std::unique_ptr<Platform::RowStoreClient> store;
    std::unique_ptr<Gateway::GatewayServer> server;
    const auto start = [&](Net::Reactor &reactor, std::string &error) -> App::StopCallback {
        store = std::make_unique<Platform::RowStoreClient>(reactor, settings.storeAddress);
        auto created = Gateway::GatewayServer::create(reactor, settings, *store, wire);
        if (!created) {
            error = created.error();
            return nullptr;
        }
        server = std::move(*created);
        return [&](const auto &done) { server->drain(done); };
    };
    const auto read = [&](Utils::SettingsReader &reader) {
        settings = Gateway::readGatewaySettings(reader);
    };
    const auto reload = [&] { server->reload(settings); };
    const int code = App::runDaemon(argc, argv, "acacia-gateway", read, start,
                                    Utils::LogTarget::BoundedStandardOutput, reload);
    // Their event loop is gone already, so these are not destroyed; the process ends.
    static_cast<void>(server.release());
    static_cast<void>(store.release());
    return code;
}
