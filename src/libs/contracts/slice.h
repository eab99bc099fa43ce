#pragma once

#include <utils/timepoint.h>

namespace Contracts {

/// A part of a contract: tokens a second, most tokens it may hold, tokens it holds now.
struct SliceAmount
{
    double rate = 0;
    double capacity = 0;
    double level = 0;
};

/// A token bucket that can be split and merged without the sum of all parts ever growing.
class Slice
{
public:
    Slice() = default;
    Slice(const SliceAmount &amount, Utils::TimePoint now);

    /// What the slice amounts to at `now`, refilled.
    auto amount(Utils::TimePoint now) -> SliceAmount;
    /// Spends `tokens` if it holds as many.
    auto spend(double tokens, Utils::TimePoint now) -> bool;
    /// Returns tokens that were spent but not used; what the capacity can't hold is lost.
    auto refund(double tokens, Utils::TimePoint now) -> void;
    /// Takes a part out, at most what there is, and never more level than capacity goes with it.
    auto split(const SliceAmount &wanted, Utils::TimePoint now) -> SliceAmount;
    auto merge(const SliceAmount &part, Utils::TimePoint now) -> void;
    /// Lowers rate, capacity and level to at most these.
    auto limitTo(double rate, double capacity, Utils::TimePoint now) -> void;

private:
    auto refill(Utils::TimePoint now) -> void;

    SliceAmount m_amount;
    Utils::TimePoint m_refilledAt;
};

} // namespace Contracts
