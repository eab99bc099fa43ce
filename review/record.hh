// Record of what was sent, answered and run, one line an event.
#pragma once

#include <fstream>
#include <mutex>
#include <set>
#include <string>

namespace Review {

class Record
{
public:
    explicit Record(const std::string &path);
    /// Writes the milliseconds since the start and the line.
    auto note(const std::string &line) -> void;
    auto sinceStart() const -> long long;
    /// Remembers that a client attempt has reached an engine.
    auto noteArrival(const std::string &attempt) -> void;
    auto hasArrived(const std::string &attempt) -> bool;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    long long m_start = 0;
    std::set<std::string> m_arrived;
};

} // namespace Review
