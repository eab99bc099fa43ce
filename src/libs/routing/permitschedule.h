#pragma once

#include <utils/timepoint.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace Routing {

/// Schedules the requests to one backend server with a limit, first come, first served. A
/// reservation far ahead can be withdrawn; one that is close becomes a firm permit and is never
/// withdrawn, so that the permits of two schedules of one server overlap for a known time only.
/// Needs no network and reads no clock.
class PermitSchedule
{
public:
    /// Reservations become firm this long before their time.
    static constexpr std::chrono::milliseconds FirmHorizon{1000};

    struct Reply
    {
        bool isReserved = false; ///< False if the next free time is too late.
        bool isFirm = false;
        Utils::Duration delay{0}; ///< Until the reserved time, or until the next free one.
    };

    /// Issues nothing before `start`. Beyond the steady rate, at most `burst` permits are issued
    /// after an idle time.
    PermitSchedule(double perSecond, int burst, Utils::TimePoint start);

    /// Changes the rate from `now` on and withdraws the reservations that are not firm.
    auto setRate(double perSecond, Utils::TimePoint now) -> void;
    /// Reserves the next free time, unless it is more than `patience` away. Asking again under the
    /// same name returns the same reservation.
    auto reserve(const std::string &name, Utils::Duration patience, Utils::TimePoint now) -> Reply;
    /// Frees a reservation that will not be used.
    auto release(const std::string &name, Utils::TimePoint now) -> void;
    auto perSecond() const -> double { return m_perSecond; }
    auto reservationCount() const -> size_t { return m_reservations.size(); }

private:
    struct Reservation
    {
        Utils::TimePoint time;
        bool isFirm = false;
    };

    auto interval() const -> Utils::Duration;
    auto removePast(Utils::TimePoint now) -> void;
    auto confirm(Reservation &reservation, Utils::TimePoint now) const -> Reply;

    double m_perSecond;
    int m_burst;
    Utils::TimePoint m_next; ///< Next time of the steady rate; lies in the past after idle time.
    std::map<std::string, Reservation> m_reservations;
    std::set<Utils::TimePoint> m_freed; ///< Times of released reservations.
};

} // namespace Routing
