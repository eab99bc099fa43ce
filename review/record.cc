#include "record.hh"

#include <chrono>

namespace Review {

namespace {

auto nowMs() -> long long
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace

Record::Record(const std::string &path)
    : m_file(path, std::ios::trunc)
    , m_start(nowMs())
{ }

auto Record::sinceStart() const -> long long
{
    return nowMs() - m_start;
}

auto Record::note(const std::string &line) -> void
{
    const std::lock_guard lock(m_mutex);
    m_file << sinceStart() << ' ' << line << std::endl;
}

auto Record::noteArrival(const std::string &attempt) -> void
{
    const std::lock_guard lock(m_mutex);
    m_arrived.insert(attempt);
}

auto Record::hasArrived(const std::string &attempt) -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_arrived.count(attempt) > 0;
}

} // namespace Review
