#include <app/daemon.h>
#include <standins/standinengine.h>
#include <utils/settingsreader.h>

namespace {

auto readOptions(Utils::SettingsReader &reader) -> StandIns::EngineOptions
{
    constexpr long long maxMebibytes = 64LL << 20;
    StandIns::EngineOptions options;
    options.address = reader.address("address", true);
    options.platformAddress = reader.address("platformAddress", false);
    options.memoryBytes =
        static_cast<std::uint64_t>(reader.integer("memoryMiB", 1, maxMebibytes, 1)) << 20;
    options.loadTime = reader.milliseconds("loadMs", options.loadTime);
    options.adapterLoadTime = reader.milliseconds("adapterLoadMs", options.adapterLoadTime);
    options.firstTokenTime = reader.milliseconds("firstTokenMs", options.firstTokenTime);
    options.tokenTime = reader.milliseconds("tokenMs", options.tokenTime);
    options.honoursFencing = reader.boolean("honoursFencing", options.honoursFencing);
    options.mayCrash = reader.boolean("mayCrash", options.mayCrash);
    return options;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    StandIns::EngineOptions options;
    std::unique_ptr<StandIns::StandInEngine> engine;
    const auto read = [&](Utils::SettingsReader &reader) { options = readOptions(reader); };
    const auto start = [&](Net::Reactor &reactor, std::string &error) -> App::StopCallback {
        auto created = StandIns::StandInEngine::create(reactor, options);
        if (!created) {
            error = created.error();
            return nullptr;
        }
        engine = std::move(*created);
        return [](const auto &done) { done(); };
    };
    const int code = App::runDaemon(argc, argv, "standin-engine", read, start);
    static_cast<void>(engine.release());
    return code;
}
