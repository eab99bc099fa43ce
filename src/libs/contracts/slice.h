#pragma once

#include <utils/timepoint.h>

namespace Contracts {

/// A part of a contract: refill rate in tokens a second, maximum number of tokens, current number
/// of tokens.
struct SliceAmount
{
    double rate = 0;
    double capacity = 0;
    double level = 0;
};

/// A token bucket that can be split and merged; the sum of all parts never grows.
class Slice
{
public:
    Slice() = default;
    Slice(const SliceAmount &amount, Utils::TimePoint now);

    /// Refills the slice up to `now` and returns its amount.
    auto amount(Utils::TimePoint now) -> SliceAmount;
    /// Spends `tokens` and returns true if the slice holds that many; otherwise returns false.
    auto spend(double tokens, Utils::TimePoint now) -> bool;
    /// Puts back tokens that were spent but not used; what exceeds the capacity is lost.
    auto refund(double tokens, Utils::TimePoint now) -> void;
    /// Removes and returns a part, limited to what the slice holds; the part's level never exceeds
    /// its capacity.
    auto split(const SliceAmount &wanted, Utils::TimePoint now) -> SliceAmount;
    auto merge(const SliceAmount &part, Utils::TimePoint now) -> void;
    /// Lowers rate and capacity to at most these values, and the level to the capacity.
    auto limitTo(double rate, double capacity, Utils::TimePoint now) -> void;

private:
    auto refill(Utils::TimePoint now) -> void;

    SliceAmount m_amount;
    Utils::TimePoint m_refilledAt;
};

} // namespace Contracts
