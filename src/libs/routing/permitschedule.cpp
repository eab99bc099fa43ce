#include "permitschedule.h"

#include <algorithm>

namespace Routing {

using Utils::Duration;
using Utils::TimePoint;

namespace {

/// Limit on the reservations of one server; further requests are rejected.
constexpr size_t MaxReservations = 1024;

} // namespace

PermitSchedule::PermitSchedule(double perSecond, int burst, TimePoint start)
    : m_perSecond(perSecond)
    , m_burst(burst)
    , m_next(start)
{ }

auto PermitSchedule::interval() const -> Duration
{
    return Utils::fromSeconds(1 / m_perSecond);
}

auto PermitSchedule::setRate(double perSecond, TimePoint now) -> void
{
    if (perSecond == m_perSecond)
        return;
    m_perSecond = perSecond;
    m_freed.clear();
    TimePoint lastFirm = std::min(m_next, now) - interval();
    std::erase_if(m_reservations, [&](const auto &item) {
        if (item.second.isFirm)
            lastFirm = std::max(lastFirm, item.second.time);
        return !item.second.isFirm;
    });
    m_next = lastFirm + interval();
}

auto PermitSchedule::removePast(TimePoint now) -> void
{
    std::erase_if(m_reservations, [now](const auto &item) { return item.second.time < now; });
    m_freed.erase(m_freed.begin(), m_freed.lower_bound(now));
}

auto PermitSchedule::confirm(Reservation &reservation, TimePoint now) const -> Reply
{
    const Duration delay = reservation.time - now;
    reservation.isFirm = reservation.isFirm || delay <= FirmHorizon;
    return {true, reservation.isFirm, delay};
}

auto PermitSchedule::reserve(const std::string &name, Duration patience, TimePoint now) -> Reply
{
    removePast(now);
    const auto known = m_reservations.find(name);
    if (known != m_reservations.end())
        return confirm(known->second, now);
    const TimePoint due = std::max(m_next, now - (m_burst - 1) * interval());
    const bool usesFreed = !m_freed.empty() && *m_freed.begin() < std::max(due, now);
    const TimePoint time = usesFreed ? *m_freed.begin() : std::max(due, now);
    if (time - now > patience || m_reservations.size() >= MaxReservations)
        return {false, false, time - now};
    if (usesFreed)
        m_freed.erase(m_freed.begin());
    else
        m_next = due + interval();
    return confirm(m_reservations[name] = {time, false}, now);
}

auto PermitSchedule::release(const std::string &name, TimePoint now) -> void
{
    const auto found = m_reservations.find(name);
    if (found == m_reservations.end())
        return;
    if (found->second.time >= now)
        m_freed.insert(found->second.time);
    m_reservations.erase(found);
}

} // namespace Routing
