#include <app/daemon.h>
#include <standins/standinplatform.h>
#include <utils/settingsreader.h>

auto main(int argc, char **argv) -> int
{
    StandIns::PlatformOptions options;
    std::unique_ptr<StandIns::StandInPlatform> platform;
    const auto read = [&](Utils::SettingsReader &reader) {
        options.address = reader.address("address", true);
        options.loadsPerSecond =
            reader.number("loadsPerSecond", 0.01, 10000, options.loadsPerSecond);
        options.loadsAtOnce =
            static_cast<int>(reader.integer("loadsAtOnce", 1, 10000, options.loadsAtOnce));
    };
    const auto start = [&](Net::Reactor &reactor, std::string &error) -> App::StopCallback {
        auto created = StandIns::StandInPlatform::create(reactor, options);
        if (!created) {
            error = created.error();
            return nullptr;
        }
        platform = std::move(*created);
        return [](const auto &done) { done(); };
    };
    const int code = App::runDaemon(argc, argv, "standin-platform", read, start);
    static_cast<void>(platform.release());
    return code;
}
