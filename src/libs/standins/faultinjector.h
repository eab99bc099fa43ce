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

/// How one part of a stand-in misbehaves for the time being.
struct InjectedFault
{
    bool isDown = false; ///< Takes requests and never answers, without effect.
    bool losesAnswers = false; ///< Has its effect and never answers.
    std::chrono::milliseconds delay{0};
};

/// The fault orders of a stand-in, by the name of the part they concern.
class FaultInjector
{
public:
    /// Takes {"part": …, "down": …, "loseAnswers": …, "delayMs": …}; false when it isn't that.
    auto update(const std::string &body) -> bool;
    auto faultFor(const std::string &part) const -> InjectedFault;
    /// Runs `effect` and then `answer` as the part's order says.
    auto apply(Net::Reactor &reactor, const std::string &part, const std::function<void()> &effect,
               const std::function<void()> &answer) const -> void;

private:
    std::map<std::string, InjectedFault> m_faults;
};

} // namespace StandIns
