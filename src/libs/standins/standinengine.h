#pragma once

#include <utils/result.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace StandIns {

/// Configuration of a stand-in engine.
struct EngineOptions
{
    std::string address = "127.0.0.1:0";
    std::string platformAddress; ///< Source of the weights; if empty, loads need no weight store.
    std::uint64_t memoryBytes = 0;
    std::chrono::milliseconds loadTime{200};
    std::chrono::milliseconds adapterLoadTime{5};
    std::chrono::milliseconds firstTokenTime{5};
    std::chrono::milliseconds tokenTime{2};
    bool honoursFencing = true;
    bool mayCrash = false; ///< Ends the process on a prompt that contains "crash-the-engine".
};

/// Simulates a model engine: loads models within its memory, streams completions, and records the
/// requests it receives and the rules that its callers violate. Parts for fault injection:
/// "orders", "runs", "status".
class StandInEngine
{
public:
    static auto create(Net::Reactor &reactor, const EngineOptions &options)
        -> Utils::Result<std::unique_ptr<StandInEngine>, std::string>;
    ~StandInEngine();

    auto port() const -> int;

private:
    struct Private;
    explicit StandInEngine(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

/// The text that a stand-in engine generates for a prompt. It depends on the prompt, so that
/// callers can verify that an answer is theirs.
auto expectedCompletion(const std::string &prompt, int tokens) -> std::string;

} // namespace StandIns
