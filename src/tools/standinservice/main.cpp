#include <app/daemon.h>
#include <standins/standinservice.h>
#include <utils/settingsreader.h>

auto main(int argc, char **argv) -> int
{
    std::string address;
    std::unique_ptr<StandIns::StandInService> service;
    const auto read = [&](Utils::SettingsReader &reader) {
        address = reader.address("address", true);
    };
    const auto start = [&](Net::Reactor &reactor, std::string &error) -> App::StopCallback {
        auto created = StandIns::StandInService::create(reactor, address);
        if (!created) {
            error = created.error();
            return nullptr;
        }
        service = std::move(*created);
        return [](const auto &done) { done(); };
    };
    const int code = App::runDaemon(argc, argv, "standin-service", read, start);
    static_cast<void>(service.release());
    return code;
}
