#include "loadshedder.h"

#include "resourceconstants.h"

#include <tuple>

namespace Resources {

LoadShedder::LoadShedder(const ResourceLimits &limits)
    : m_limits(limits)
{ }

auto LoadShedder::isReceiving(const ConnectionUse &use) -> bool
{
    return use.stage == Stage::Head || use.stage == Stage::Body;
}

auto LoadShedder::count(const ConnectionUse &use, int sign) -> void
{
    size_t &bytes = isReceiving(use) ? m_receivingBytes : m_runningBytes;
    bytes += sign > 0 ? use.requestBytes : 0 - use.requestBytes;
    m_receivingBytes += sign > 0 ? use.pipelinedBytes : 0 - use.pipelinedBytes;
    m_answerBytes += sign > 0 ? use.answerBytes : 0 - use.answerBytes;
}

auto LoadShedder::add(Utils::TimePoint now, ShedCallback shed) -> Id
{
    const Id id = m_nextId++;
    Connection connection;
    connection.use.since = now;
    connection.use.readAt = now;
    connection.shed = std::move(shed);
    m_connections.emplace(id, std::move(connection));
    return id;
}

auto LoadShedder::update(Id id, const ConnectionUse &use) -> void
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    count(found->second.use, -1);
    found->second.use = use;
    count(use, 1);
}

auto LoadShedder::remove(Id id) -> void
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    count(found->second.use, -1);
    m_connections.erase(found);
}

auto LoadShedder::usedBytes() const -> size_t
{
    return m_receivingBytes + m_runningBytes + m_answerBytes
        + m_connections.size() * Constants::ConnectionBytes;
}

auto LoadShedder::makeRoom(Utils::TimePoint now) -> void
{
    shedUntilKept(now, 1);
}

auto LoadShedder::relieve(Utils::TimePoint now) -> void
{
    shedUntilKept(now, 0);
}

auto LoadShedder::shedUntilKept(Utils::TimePoint now, size_t arriving) -> void
{
    ShedReason reason = ShedReason::Memory;
    // Bounded, so that this ends even if a callback frees nothing.
    for (size_t left = m_connections.size(); left > 0; --left) {
        const auto id = choose(now, reason, arriving);
        if (!id)
            return;
        ++m_shedCount;
        const ShedCallback shed = m_connections.at(*id).shed;
        shed(reason);
    }
}

auto LoadShedder::choose(Utils::TimePoint now, ShedReason &reason, size_t arriving) const
    -> std::optional<Id>
{
    if (m_connections.size() + arriving > m_limits.connections) {
        reason = ShedReason::Connections;
        if (const auto id = chooseConnection(now))
            return id;
    }
    reason = ShedReason::Memory;
    const bool isShort = usedBytes() > m_limits.memoryBytes;
    if (isShort || m_receivingBytes > m_limits.receivingBytes) {
        if (const auto id = chooseReceiving(now))
            return id;
    }
    if (isShort || m_answerBytes > m_limits.answerBytes) {
        if (const auto id = chooseStalledReader(now))
            return id;
    }
    return isShort ? chooseConnection(now) : std::nullopt;
}

/// Requests without a route come first. Of the others, the one that has used the most memory for
/// the longest time: a slow sender, or one that has stopped.
auto LoadShedder::chooseReceiving(Utils::TimePoint now) const -> std::optional<Id>
{
    std::optional<Id> worst;
    std::pair<bool, double> worstScore(false, 0);
    for (const auto &[id, connection] : m_connections) {
        const ConnectionUse &use = connection.use;
        const size_t bytes = use.pipelinedBytes + (isReceiving(use) ? use.requestBytes : 0);
        if (bytes == 0)
            continue;
        constexpr double minAgeSeconds = 0.001;
        const std::pair score(!use.isRouted,
                              static_cast<double>(bytes)
                                  * (Utils::toSeconds(now - use.since) + minAgeSeconds));
        if (!worst || score > worstScore) {
            worst = id;
            worstScore = score;
        }
    }
    return worst;
}

/// A reader that takes its answer is never cut off.
auto LoadShedder::chooseStalledReader(Utils::TimePoint now) const -> std::optional<Id>
{
    std::optional<Id> worst;
    size_t worstBytes = 0;
    for (const auto &[id, connection] : m_connections) {
        const ConnectionUse &use = connection.use;
        if (use.answerBytes > worstBytes && now - use.readAt >= Constants::StalledReaderTime) {
            worst = id;
            worstBytes = use.answerBytes;
        }
    }
    return worst;
}

/// Connections that never had a request come first, then idle ones, then those inside a request.
auto LoadShedder::chooseConnection(Utils::TimePoint now) const -> std::optional<Id>
{
    std::optional<Id> worst;
    std::tuple<int, Utils::Duration> worstScore;
    for (const auto &[id, connection] : m_connections) {
        const ConnectionUse &use = connection.use;
        const bool isIdle = use.stage == Stage::Idle && use.answerBytes == 0;
        const bool isUnused = !use.hasServed && (isIdle || use.stage == Stage::Head);
        constexpr int unused = 2;
        if (!isIdle && !isReceiving(use))
            continue;
        const std::tuple score(isUnused ? unused : isIdle ? 1 : 0, now - use.since);
        if (!worst || score > worstScore) {
            worst = id;
            worstScore = score;
        }
    }
    return worst ? worst : chooseStalledReader(now);
}

auto LoadShedder::mayRun(Id id) const -> bool
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return true;
    const size_t own = found->second.use.requestBytes;
    const bool isAlone = m_runningBytes <= (isReceiving(found->second.use) ? 0 : own);
    return isAlone || usedBytes() <= m_limits.memoryBytes;
}

auto LoadShedder::mayGrow(Id id) const -> bool
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || m_answerBytes <= m_limits.answerBytes)
        return true;
    if (found->second.use.answerBytes <= Constants::SmallConnectionBytes)
        return true;
    // One answer always goes on, so that answers don't wait for each other.
    for (const auto &[other, connection] : m_connections) {
        if (connection.use.answerBytes > Constants::SmallConnectionBytes)
            return other == id;
    }
    return true;
}

} // namespace Resources
