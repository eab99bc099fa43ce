#include "tokenledger.h"

#include "routingconstants.h"

#include <algorithm>

namespace Routing {

using Utils::TimePoint;

auto TokenLedger::add(double tokens) -> void
{
    m_own += tokens;
}

auto TokenLedger::remove(double tokens) -> void
{
    m_own = std::max(0.0, m_own - tokens);
}

auto TokenLedger::noteOthers(int requests, TimePoint now) -> void
{
    m_others = requests;
    m_reportedAt = now;
}

auto TokenLedger::held(double meanTokens, TimePoint now) const -> double
{
    const bool isRecent = now - m_reportedAt < Constants::OtherRequestsLifetime;
    return m_own + (isRecent ? m_others * meanTokens : 0);
}

auto TokenLedger::fits(double tokens, double meanTokens, double capacity, TimePoint now) const
    -> bool
{
    if (capacity <= 0)
        return true;
    const double alreadyHeld = held(meanTokens, now);
    return alreadyHeld <= 0 || alreadyHeld + tokens <= capacity * Constants::MaxMemoryUse;
}

} // namespace Routing
