#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Checks the platform's rules on streams of servers with several software versions. A stream may
/// hold events of one version only, in one answer and over its caller's tries, each event once and
/// in order (ORDER). Of `MinTakeUps` or more streams that callers take up at undisturbed gateways,
/// while two servers of their version serve, the share that goes on must be at least half of the
/// share of new streams that begin (LOST).
class StreamVersionChecker
{
public:
    static constexpr int MinTakeUps = 12;

    struct Event
    {
        std::int64_t id = 0;
        std::string version; ///< Of the software that wrote it.
    };

    /// The caller received these events in one try. `stream` is the id of the try that brought the
    /// first event. Returns a description of each violation.
    auto noteTry(const std::string &stream, const std::vector<Event> &events)
        -> std::vector<std::string>
    {
        std::vector<std::string> found;
        if (events.empty())
            return found;
        Stream &entry = m_streams[stream];
        for (const Event &event : events) {
            if (event.id != entry.lastEvent + 1)
                found.push_back(stream + " got event " + std::to_string(event.id) + " after "
                                + std::to_string(entry.lastEvent));
            entry.lastEvent = event.id;
            if (entry.version.empty())
                entry.version = event.version;
            if (event.version == entry.version || entry.isJoined)
                continue;
            entry.isJoined = true;
            ++m_joined;
            found.push_back(stream + " was begun by " + entry.version + " and got event "
                            + std::to_string(event.id) + " of " + event.version);
        }
        return found;
    }

    /// Version that began the stream; empty if it has no event.
    auto versionOf(const std::string &stream) const -> std::string
    {
        const auto found = m_streams.find(stream);
        return found == m_streams.end() ? std::string() : found->second.version;
    }

    /// From `now` on, this many servers of the version serve without a disturbance.
    auto noteServing(const std::string &version, int servers, Utils::TimePoint now) -> void
    {
        if (servers >= MinServers)
            m_servingSince.emplace(version, now);
        else
            m_servingSince.erase(version);
    }

    /// A caller asked an undisturbed gateway for a new stream.
    auto noteNewStream(bool hasBegun) -> void
    {
        ++m_newStreams.asked;
        m_newStreams.served += hasBegun ? 1 : 0;
    }

    /// A caller took a stream up at an undisturbed gateway; the try has just ended.
    auto noteTakeUp(const std::string &stream, Utils::TimePoint sentAt, bool goesOn) -> void
    {
        const auto serving = m_servingSince.find(versionOf(stream));
        if (serving == m_servingSince.end() || serving->second > sentAt)
            return;
        ++m_takeUps.asked;
        m_takeUps.served += goesOn ? 1 : 0;
    }

    /// Violations of LOST so far.
    auto violations() const -> std::vector<std::string>
    {
        if (m_takeUps.asked < MinTakeUps
            || 2 * m_takeUps.served * m_newStreams.asked >= m_newStreams.served * m_takeUps.asked)
            return {};
        return {describeShares()};
    }

    auto describeShares() const -> std::string
    {
        return std::to_string(m_takeUps.served) + " of " + std::to_string(m_takeUps.asked)
            + " streams taken up went on, " + std::to_string(m_newStreams.served) + " of "
            + std::to_string(m_newStreams.asked) + " new ones began";
    }

    /// Number of streams that hold events of more than one version.
    auto joined() const -> int { return m_joined; }
    auto judgedTakeUps() const -> int { return m_takeUps.asked; }

private:
    static constexpr int MinServers = 2;

    struct Stream
    {
        std::int64_t lastEvent = 0;
        std::string version;
        bool isJoined = false;
    };
    struct Share
    {
        std::int64_t asked = 0;
        std::int64_t served = 0;
    };

    std::map<std::string, Stream> m_streams;
    /// Since when at least `MinServers` of the version serve.
    std::map<std::string, Utils::TimePoint> m_servingSince;
    Share m_newStreams;
    Share m_takeUps;
    int m_joined = 0;
};
