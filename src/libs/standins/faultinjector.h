#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace Net {
class Reactor;
}

namespace StandIns {

/// The fault currently injected into one part of a stand-in.
struct InjectedFault
{
    bool isDown = false; ///< Accepts requests but neither executes nor answers them.
    bool losesAnswers = false; ///< Executes requests but never answers them.
    std::chrono::milliseconds delay{0};
};

/// The faults injected into a stand-in, by the name of the affected part.
class FaultInjector
{
public:
    /// Sets a fault from {"part": …, "down": …, "loseAnswers": …, "delayMs": …}; returns false if
    /// `body` is malformed.
    auto update(const std::string &body) -> bool;
    auto faultFor(const std::string &part) const -> InjectedFault;
    /// Runs `effect` and then `answer`, subject to the part's fault.
    auto apply(Net::Reactor &reactor, const std::string &part, const std::function<void()> &effect,
               const std::function<void()> &answer) const -> void;

private:
    std::map<std::string, InjectedFault> m_faults;
};

} // namespace StandIns
