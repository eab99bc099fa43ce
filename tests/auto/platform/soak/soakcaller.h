#pragma once

#include "attempt.h"

#include <http1/socketaddress.h>

#include <functional>
#include <memory>
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

/// A caller that asks one thing after the other on a connection it keeps until the gateway ends it.
class SoakCaller : public std::enable_shared_from_this<SoakCaller>
{
public:
    struct Environment
    {
        Net::Reactor &reactor;
        InvariantChecker &checker;
        /// Gateway for a new connection, and its address.
        std::function<std::pair<size_t, Http1::SocketAddress>(std::mt19937_64 &)> pickGateway;
        /// Also asks for what the operator adds and drops.
        bool probesChanges = false;
        std::function<bool()> isBurstActive;
    };

    SoakCaller(Environment surroundings, int number, std::uint64_t seed);
    ~SoakCaller();

    auto start() -> void;
    /// Makes no more requests once the open one has ended.
    auto stop() -> void;
    auto isIdle() const -> bool;

private:
    auto chance(int percent) -> bool;
    auto scheduleNext() -> void;
    auto sendNext() -> void;
    auto makeAttempt() -> Attempt;
    /// For what a new version of the configuration has changed, or what was never there.
    auto makeProbe() -> Attempt;
    auto send(const Attempt &attempt) -> void;
    auto handleEnd(const std::string &id, bool isWhole) -> void;
    /// Closes the connection; not by its own wish if no answer came in any time.
    auto abandon(const std::string &id, bool isIntended) -> void;
    auto disconnect() -> void;

    Environment m_environment;
    int m_number;
    std::mt19937_64 m_random;
    int m_count = 0;
    bool m_isStopped = false;
    std::string m_openId; ///< Id of the request under way; empty if none.
    AttemptEnd m_end;
    bool m_closesConnection = false; ///< The answer ends the connection.
    size_t m_gateway = 0;
    std::unique_ptr<Http1::ClientConnection> m_connection;
};

} // namespace Soak
