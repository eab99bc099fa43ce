#pragma once

#include <utils/timepoint.h>

namespace Admission {

/// Running estimate of how long something takes, from what it took lately.
class ServiceTime
{
public:
    explicit ServiceTime(Utils::Duration initial);

    auto note(Utils::Duration taken) -> void;
    /// Mean of the latest times.
    auto mean() const -> Utils::Duration;

private:
    Utils::Duration m_mean;
};

} // namespace Admission
