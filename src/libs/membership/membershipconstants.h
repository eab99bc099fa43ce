#pragma once

#include <chrono>

namespace Membership::Constants {

/// Time between two renewals of a duty's lease.
constexpr std::chrono::milliseconds RenewInterval(1000);
/// A holder that could not renew for this long stops its duty.
constexpr std::chrono::milliseconds HoldTimeout(3000);
/// A lease unchanged for this long may be taken over; longer than the hold limit.
constexpr std::chrono::milliseconds TakeoverTimeout(5000);

} // namespace Membership::Constants
