// What was sent, answered and run, in the order in which it was seen.
#pragma once

#include "net.hh"

#include <cstdio>
#include <mutex>
#include <string>

namespace standins {

class Record
{
public:
    explicit Record(const std::string &path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_startedAt(nowMs())
    { }
    ~Record()
    {
        if (m_file)
            std::fclose(m_file);
    }
    auto add(const std::string &line) -> void
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_file)
            return;
        std::fprintf(m_file, "%8.3f s  %s\n",
                     static_cast<double>(nowMs() - m_startedAt) / 1000.0, line.c_str());
        std::fflush(m_file);
    }

private:
    std::mutex m_mutex;
    std::FILE *m_file;
    std::int64_t m_startedAt;
};

} // namespace standins
