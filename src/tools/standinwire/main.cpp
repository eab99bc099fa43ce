#include <app/daemon.h>
#include <net/httpserver.h>
#include <standins/standinwire.h>
#include <utils/settingsreader.h>

#include <nlohmann/json.hpp>

namespace {

/// Handles `/freeze`, which stops forwarding on all open connections; any path answers with the
/// number of frozen connections.
auto handleOrder(StandIns::StandInWire &wire, Net::HttpExchange &exchange) -> void
{
    constexpr int ok = 200;
    if (exchange.request().path == "/freeze")
        wire.freeze();
    const nlohmann::json body = {{"frozen", wire.frozenCount()}};
    exchange.respond(ok, {{"Content-Type", "application/json"}}, body.dump());
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::string address;
    std::string target;
    std::string orderAddress;
    std::unique_ptr<StandIns::StandInWire> wire;
    std::unique_ptr<Net::HttpServer> orders;
    const auto read = [&](Utils::SettingsReader &reader) {
        address = reader.address("address", true);
        target = reader.address("target", true);
        orderAddress = reader.address("orderAddress", true);
    };
    const auto start = [&](Net::Reactor &reactor, std::string &error) -> App::StopCallback {
        constexpr size_t maxBodyBytes = 4096;
        auto created = StandIns::StandInWire::create(reactor, address, target);
        auto server =
            Net::HttpServer::listen(reactor, orderAddress, maxBodyBytes,
                                    [&](const auto &exchange) { handleOrder(*wire, *exchange); });
        if (!created || !server) {
            error = created ? server.error() : created.error();
            return nullptr;
        }
        wire = std::move(*created);
        orders = std::move(*server);
        return [](const auto &done) { done(); };
    };
    const int code = App::runDaemon(argc, argv, "standin-wire", read, start);
    static_cast<void>(wire.release());
    static_cast<void>(orders.release());
    return code;
}
