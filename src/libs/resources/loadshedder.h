#pragma once

#include "resourcelimits.h"

#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace Resources {

/// What a client's connection is doing.
enum class Stage {
    Idle, ///< Between requests, or before the first one.
    Head, ///< Its request's head is being received.
    Body, ///< Its request's body is being received.
    Running, ///< Its request is complete and not answered yet.
};

/// Why a connection is given up.
enum class ShedReason { Memory, Connections };

/// What a connection uses at present.
struct ConnectionUse
{
    Stage stage = Stage::Idle;
    Utils::TimePoint since; ///< Begin of the stage.
    bool isRouted = true; ///< False if no server will get the request.
    bool hasServed = false; ///< An earlier request was answered.
    size_t requestBytes = 0;
    size_t pipelinedBytes = 0; ///< Received ahead of the open request.
    size_t answerBytes = 0; ///< Not sent yet.
    Utils::TimePoint readAt; ///< When the client last took a part of its answers.
};

/// Accounts what all clients' connections of a process use, and decides which one is given up when
/// they use too much.
class LoadShedder
{
public:
    using Id = std::uint64_t;
    using ShedCallback = std::function<void(ShedReason)>;

    explicit LoadShedder(const ResourceLimits &limits);

    /// `shed` gives the connection up; it calls `update` or `remove`, and may be called from
    /// `relieve` for any connection.
    auto add(Utils::TimePoint now, ShedCallback shed) -> Id;
    auto update(Id id, const ConnectionUse &use) -> void;
    auto remove(Id id) -> void;
    /// Gives connections up so that one more may be added.
    auto makeRoom(Utils::TimePoint now) -> void;
    /// Gives connections up until the limits are kept or nothing is left that may be lost.
    auto relieve(Utils::TimePoint now) -> void;
    /// The connection to give up next, or nothing, if `arriving` ones are to be added.
    auto choose(Utils::TimePoint now, ShedReason &reason, size_t arriving = 0) const
        -> std::optional<Id>;
    /// False if the memory is used up, apart from what this connection uses.
    auto mayRun(Id id) const -> bool;
    /// False if more of the answer must not be read from its server at present.
    auto mayGrow(Id id) const -> bool;
    auto usedBytes() const -> size_t;
    auto connectionCount() const -> size_t { return m_connections.size(); }
    auto shedCount() const -> std::uint64_t { return m_shedCount; }

private:
    struct Connection
    {
        ConnectionUse use;
        ShedCallback shed;
    };

    static auto isReceiving(const ConnectionUse &use) -> bool;
    auto shedUntilKept(Utils::TimePoint now, size_t arriving) -> void;
    auto count(const ConnectionUse &use, int sign) -> void;
    auto chooseReceiving(Utils::TimePoint now) const -> std::optional<Id>;
    auto chooseStalledReader(Utils::TimePoint now) const -> std::optional<Id>;
    auto chooseConnection(Utils::TimePoint now) const -> std::optional<Id>;

    ResourceLimits m_limits;
    std::map<Id, Connection> m_connections;
    Id m_nextId = 1;
    size_t m_receivingBytes = 0;
    size_t m_runningBytes = 0;
    size_t m_answerBytes = 0;
    std::uint64_t m_shedCount = 0;
};

} // namespace Resources
