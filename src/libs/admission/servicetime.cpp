#include "servicetime.h"

namespace Admission {

namespace {

/// Weight of a new observation in the moving average.
constexpr double newestWeight = 0.1;

} // namespace

ServiceTime::ServiceTime(Utils::Duration initial)
    : m_mean(initial)
{ }

auto ServiceTime::note(Utils::Duration taken) -> void
{
    const double mean =
        (1 - newestWeight) * Utils::toSeconds(m_mean) + newestWeight * Utils::toSeconds(taken);
    m_mean = Utils::fromSeconds(mean);
}

auto ServiceTime::mean() const -> Utils::Duration
{
    return m_mean;
}

} // namespace Admission
