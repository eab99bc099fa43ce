#include "delaymodel.h"

#include "routingconstants.h"

#include <algorithm>
#include <cmath>

namespace Routing {

auto DelayModel::note(double load, double tokens, Milliseconds delay) -> void
{
    if (!std::isfinite(delay.count()) || delay.count() < 0)
        return;
    // One response that was held up for another reason must not bend the line.
    const double limit =
        isKnown() ? expected(load, tokens).count() * Constants::MaxDelayRatio : delay.count();
    const double bounded = std::min(delay.count(), limit);
    const double kept = m_weight * Constants::DelayRetention;
    m_weight = kept + 1;
    const double share = kept / m_weight;
    const double loadDeviation = load - m_meanLoad;
    const double tokensDeviation = tokens - m_meanTokens;
    const double delayDeviation = bounded - m_meanDelay;
    const auto accumulate = [&](double &sum, double left, double right) {
        sum = sum * Constants::DelayRetention + share * left * right;
    };
    accumulate(m_loadLoad, loadDeviation, loadDeviation);
    accumulate(m_loadTokens, loadDeviation, tokensDeviation);
    accumulate(m_tokensTokens, tokensDeviation, tokensDeviation);
    accumulate(m_loadDelay, loadDeviation, delayDeviation);
    accumulate(m_tokensDelay, tokensDeviation, delayDeviation);
    m_meanLoad += loadDeviation / m_weight;
    m_meanTokens += tokensDeviation / m_weight;
    m_meanDelay += delayDeviation / m_weight;
    ++m_count;
    if (m_count >= Constants::MinDelayMeasurements && m_count % Constants::DelaySolveInterval == 0)
        solve();
}

auto DelayModel::isKnown() const -> bool
{
    return m_perRequest.count() > 0;
}

auto DelayModel::expected(double load, double tokens) const -> Milliseconds
{
    return m_base + m_perRequest * load + m_perToken * tokens;
}

auto DelayModel::solve() -> void
{
    const bool loadVaries = m_loadLoad > m_weight * Constants::MinLoadVariance;
    const bool tokensVary = m_tokensTokens > m_weight * Constants::MinTokenVariance;
    double perRequest = loadVaries ? m_loadDelay / m_loadLoad : 0;
    double perToken = tokensVary ? m_tokensDelay / m_tokensTokens : 0;
    const double determinant = m_loadLoad * m_tokensTokens - m_loadTokens * m_loadTokens;
    // If load and tokens vary together, their effects can't be told apart.
    constexpr double minIndependence = 0.05;
    if (loadVaries && tokensVary && determinant > minIndependence * m_loadLoad * m_tokensTokens) {
        perRequest = (m_loadDelay * m_tokensTokens - m_tokensDelay * m_loadTokens) / determinant;
        perToken = (m_tokensDelay * m_loadLoad - m_loadDelay * m_loadTokens) / determinant;
    }
    perToken = std::max(perToken, 0.0);
    const double withoutTokens = std::max(m_meanDelay - perToken * m_meanTokens, 0.0);
    // Bounds on the idle load keep a line that is too flat or too steep from deciding alone.
    const double flattest = withoutTokens / (m_meanLoad + Constants::MaxIdleLoad);
    const double steepest = withoutTokens / (m_meanLoad + Constants::MinIdleLoad);
    const double usual = withoutTokens / (m_meanLoad + 1);
    perRequest = loadVaries ? std::clamp(perRequest, flattest, steepest) : usual;
    if (perRequest <= 0)
        return;
    m_perRequest = Milliseconds(perRequest);
    m_perToken = Milliseconds(perToken);
    m_base = Milliseconds(withoutTokens - perRequest * m_meanLoad);
    m_idleLoad = m_base / m_perRequest;
}

} // namespace Routing
