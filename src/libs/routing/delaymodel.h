#pragma once

#include "milliseconds.h"

#include <cstdint>

namespace Routing {

/// Fits measured delays of a service to `base + perRequest * load + perToken * tokens` by least
/// squares, with older measurements fading. The fit says what a server of usual speed needs, and
/// converts a number of requests or tokens to a delay.
class DelayModel
{
public:
    /// `load` is the number of other requests at the server, `tokens` the part of the prompt that
    /// it had to read.
    auto note(double load, double tokens, Milliseconds delay) -> void;
    /// True once there are enough measurements to compare servers with each other.
    auto isKnown() const -> bool;
    auto expected(double load, double tokens) const -> Milliseconds;
    /// Additional delay for each request that the server holds already; 0 before `isKnown`.
    auto perRequest() const -> Milliseconds { return m_perRequest; }
    /// Additional delay for each token to read; 0 unless it was measured.
    auto perToken() const -> Milliseconds { return m_perToken; }
    /// Delay at an idle server, in requests held there; 1 as long as that was not measured.
    auto idleLoad() const -> double { return m_idleLoad; }

private:
    auto solve() -> void;

    std::uint64_t m_count = 0;
    double m_weight = 0;
    double m_meanLoad = 0;
    double m_meanTokens = 0;
    double m_meanDelay = 0;
    // Weighted sums of products of deviations from the means.
    double m_loadLoad = 0;
    double m_loadTokens = 0;
    double m_tokensTokens = 0;
    double m_loadDelay = 0;
    double m_tokensDelay = 0;

    Milliseconds m_perRequest{0};
    Milliseconds m_perToken{0};
    Milliseconds m_base{0};
    double m_idleLoad = 1;
};

} // namespace Routing
