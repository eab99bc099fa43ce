#pragma once

#include <utils/timepoint.h>

namespace Routing {

/// Tokens that the requests at one incarnation of a server hold or will hold in its memory: this
/// gateway's requests exactly, those of other gateways from the server's reports.
class TokenLedger
{
public:
    auto add(double tokens) -> void;
    auto remove(double tokens) -> void;
    /// The server reported that it holds that many requests of other gateways.
    auto noteOthers(int requests, Utils::TimePoint now) -> void;
    /// True if the server has memory for another request. `meanTokens` is the mean size of a
    /// request, `capacity` the size of the memory; 0 means unlimited. An idle server takes any
    /// request, as no other server could hold it either.
    auto fits(double tokens, double meanTokens, double capacity, Utils::TimePoint now) const
        -> bool;
    auto held(double meanTokens, Utils::TimePoint now) const -> double;

private:
    double m_own = 0;
    int m_others = 0;
    Utils::TimePoint m_reportedAt;
};

} // namespace Routing
