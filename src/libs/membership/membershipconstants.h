#pragma once

#include <chrono>

namespace Membership::Constants {

/// Time between two renewals of a lease.
constexpr std::chrono::milliseconds RenewInterval(1000);
/// A holder that could not renew the lease for this long stops acting as the holder.
constexpr std::chrono::milliseconds HoldTimeout(3000);
/// A lease that is unchanged for this long may be taken over; must exceed HoldTimeout.
constexpr std::chrono::milliseconds TakeoverTimeout(5000);

} // namespace Membership::Constants
