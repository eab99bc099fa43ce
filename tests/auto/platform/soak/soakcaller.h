#pragma once

#include "attempt.h"

#include <http1/socketaddress.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace Http1 {
class ClientConnection;
struct ResponseHead;
} // namespace Http1

namespace Net {
class Reactor;
}

namespace Soak {

class InvariantChecker;

/// A caller that sends one request at a time. It mostly reuses its connection until the gateway
/// closes it.
class SoakCaller : public std::enable_shared_from_this<SoakCaller>
{
public:
    struct Environment
    {
        Net::Reactor &reactor;
        InvariantChecker &checker;
        /// Picks a gateway for a new connection; returns its index and address.
        std::function<std::pair<size_t, Http1::SocketAddress>(std::mt19937_64 &)> pickGateway;
        /// Also sends requests with routes and keys that the operator adds and removes.
        bool probesChanges = false;
        std::function<bool()> isBurstActive;
        /// Asks for the rest of resumable streams that broke off.
        bool takesStreamsUp = false;
        /// Names the parts of prompts, among them one on which engines crash.
        bool sendsCrashingParts = false;
    };

    SoakCaller(Environment surroundings, int number, std::uint64_t seed);
    ~SoakCaller();

    auto start() -> void;
    /// Sends no more requests after the current one.
    auto stop() -> void;
    auto isIdle() const -> bool;

private:
    auto chance(int percent) -> bool;
    auto scheduleNext() -> void;
    auto scheduleAfter(std::chrono::milliseconds pause) -> void;
    auto sendNext() -> void;
    auto makeAttempt() -> Attempt;
    /// Makes a request with a route or key that has been added or removed, or never existed.
    auto makeProbe() -> Attempt;
    /// Makes the next try of a resumable stream, which goes on behind the last event received.
    auto makeNextTry() -> Attempt;
    /// Connects to a gateway, mostly to another one than the last try's; false if it can't.
    auto connect(bool isNextTry) -> bool;
    auto send(const Attempt &attempt) -> void;
    /// Prepares the next try of a resumable stream that has ended early, if there is one.
    auto planNextTry() -> void;
    /// Closes the connection as if the caller's own link had failed.
    auto loseLink(const std::string &id) -> void;
    /// Leaves if nothing has come for too long.
    auto watchForSilence(const std::string &id) -> void;
    auto handleEnd(const std::string &id, bool isWhole) -> void;
    /// Closes the connection; `isIntended` is false if the caller gave up waiting for an answer.
    auto abandon(const std::string &id, bool isIntended) -> void;
    auto disconnect() -> void;

    Environment m_environment;
    int m_number;
    std::mt19937_64 m_random;
    int m_count = 0;
    bool m_isStopped = false;
    std::string m_openId; ///< Id of the current request; empty if none.
    AttemptEnd m_end;
    bool m_closesConnection = false; ///< The answer closes the connection.
    size_t m_gateway = 0;
    std::unique_ptr<Http1::ClientConnection> m_connection;
    Attempt m_attempt; ///< Sent last.
    bool m_hasNextTry = false; ///< The stream of `m_attempt` is asked for again.
    int m_tries = 0; ///< Of the present stream, after the first.
    Utils::TimePoint m_deadline; ///< Of the present stream, over all tries.
    Utils::TimePoint m_lastDataAt;
};

} // namespace Soak
