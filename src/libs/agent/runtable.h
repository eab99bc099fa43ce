#pragma once

#include <agent/run.h>
#include <utils/timepoint.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Agent {

using RunPointer = std::shared_ptr<Run>;

/// An agent's runs: the open ones, the ended ones that an entry may still resume, and the ids of
/// requests that must no longer run.
class RunTable
{
public:
    auto add(const RunPointer &run) -> void;
    auto at(std::uint64_t number) const -> const RunPointer &;
    /// The run of a request; null if there is none.
    auto find(const std::string &requestId) const -> RunPointer;
    auto open() const -> std::vector<RunPointer>;
    auto markEnded(const RunPointer &run, Utils::TimePoint now) -> void;

    /// Prevents a request from running in future. Returns false if its id was already closed.
    auto closeId(const std::string &requestId, Utils::TimePoint now) -> bool;
    auto isClosed(const std::string &requestId) const -> bool;
    /// Removes ended runs and closed ids whose retention time is over.
    auto removeExpired(Utils::TimePoint now) -> void;

private:
    std::map<std::uint64_t, RunPointer> m_runs;
    std::map<std::string, std::uint64_t> m_numbers; // By request id.
    std::set<std::uint64_t> m_open;
    std::deque<std::uint64_t> m_ended; // In order of their end.
    std::set<std::string> m_closedIds;
    std::deque<std::pair<Utils::TimePoint, std::string>> m_closedOrder;
};

} // namespace Agent
