#include "slice.h"

#include <algorithm>

namespace Contracts {

Slice::Slice(const SliceAmount &amount, Utils::TimePoint now)
    : m_amount(amount)
    , m_refilledAt(now)
{
    m_amount.level = std::min(m_amount.level, m_amount.capacity);
}

auto Slice::refill(Utils::TimePoint now) -> void
{
    if (now <= m_refilledAt)
        return;
    const double gained = m_amount.rate * Utils::toSeconds(now - m_refilledAt);
    m_amount.level = std::min(m_amount.capacity, m_amount.level + gained);
    m_refilledAt = now;
}

auto Slice::amount(Utils::TimePoint now) -> SliceAmount
{
    refill(now);
    return m_amount;
}

auto Slice::spend(double tokens, Utils::TimePoint now) -> bool
{
    refill(now);
    if (tokens > m_amount.level)
        return false;
    m_amount.level -= tokens;
    return true;
}

auto Slice::refund(double tokens, Utils::TimePoint now) -> void
{
    refill(now);
    m_amount.level = std::min(m_amount.capacity, m_amount.level + tokens);
}

auto Slice::split(const SliceAmount &wanted, Utils::TimePoint now) -> SliceAmount
{
    refill(now);
    SliceAmount part;
    part.rate = std::clamp(wanted.rate, 0.0, m_amount.rate);
    part.capacity = std::clamp(wanted.capacity, 0.0, m_amount.capacity);
    part.level = std::clamp(wanted.level, 0.0, std::min(part.capacity, m_amount.level));
    m_amount.rate -= part.rate;
    m_amount.capacity -= part.capacity;
    m_amount.level = std::min(m_amount.level - part.level, m_amount.capacity);
    return part;
}

auto Slice::merge(const SliceAmount &part, Utils::TimePoint now) -> void
{
    refill(now);
    m_amount.rate += part.rate;
    m_amount.capacity += part.capacity;
    m_amount.level =
        std::min(m_amount.capacity, m_amount.level + std::min(part.level, part.capacity));
}

auto Slice::limitTo(double rate, double capacity, Utils::TimePoint now) -> void
{
    refill(now);
    m_amount.rate = std::min(m_amount.rate, rate);
    m_amount.capacity = std::min(m_amount.capacity, capacity);
    m_amount.level = std::min(m_amount.level, m_amount.capacity);
}

} // namespace Contracts
