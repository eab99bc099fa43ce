#pragma once

#include <utils/timepoint.h>

namespace Admission {

/// Exponential moving average of recent service times.
class ServiceTime
{
public:
    explicit ServiceTime(Utils::Duration initial);

    auto note(Utils::Duration taken) -> void;
    /// Current value of the moving average.
    auto mean() const -> Utils::Duration;

private:
    Utils::Duration m_mean;
};

} // namespace Admission
