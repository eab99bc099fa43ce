#pragma once

namespace Contracts {

/// Rate in tokens a second and burst in tokens of one customer over the whole fleet.
struct Contract
{
    double rate = 0;
    double burst = 0;

    auto operator==(const Contract &) const -> bool = default;
};

} // namespace Contracts
