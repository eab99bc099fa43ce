// Load patterns: a failure domain with too few servers for its callers, and one whose servers
// return. Gateways decide for themselves on the same loads.

#include <routing/domainpolicy.h>
#include <routing/routingconstants.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>
#include <set>

using namespace Routing;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;
constexpr int slots = 32;
constexpr Milliseconds perRequest(10);
constexpr Milliseconds idleDelay(40);

/// Two failure domains, with the gateways of the first one.
class Domains
{
public:
    Domains(int gateways, int ownServers, int otherServers, unsigned seed)
        : m_random(seed)
        , m_ownServers(ownServers)
        , m_loads(static_cast<size_t>(ownServers + otherServers))
        , m_seen(m_loads)
    {
        for (int i = 0; i < gateways; ++i)
            m_gateways.emplace_back(m_random());
    }

    auto setOwnServers(int count) -> void
    {
        m_loads.insert(m_loads.begin(), static_cast<size_t>(count - m_ownServers), 0);
        for (End &end : m_running)
            end.server += static_cast<size_t>(count - m_ownServers);
        m_ownServers = count;
        m_seen = m_loads;
        m_sentSince.assign(m_gateways.size(), std::vector<int>(m_loads.size()));
    }

    /// Plays requests per second of the first domain's callers and of the other domain's.
    auto play(std::chrono::seconds length, double ownRate, double otherRate) -> void
    {
        constexpr auto tick = 10ms;
        m_leaving = 0;
        m_sent = 0;
        m_refused = 0;
        m_shares.clear();
        m_reversals.assign(m_gateways.size(), 0);
        std::vector<int> directions(m_gateways.size());
        std::vector<double> shares(m_gateways.size());
        for (size_t i = 0; i < shares.size(); ++i)
            shares[i] = m_gateways[i].share();
        for (auto end = m_now + length; m_now < end; m_now += tick) {
            finish();
            if ((m_now - start) % 100ms == 0ms) {
                m_seen = m_loads;
                m_sentSince.assign(m_gateways.size(), std::vector<int>(m_loads.size()));
            }
            std::poisson_distribution<int> arrivals((ownRate + otherRate) * 0.01);
            std::bernoulli_distribution isOwn(ownRate / (ownRate + otherRate));
            for (int i = arrivals(m_random); i > 0; --i)
                isOwn(m_random) ? send() : sendOther();
            double sum = 0;
            for (size_t i = 0; i < m_gateways.size(); ++i) {
                DomainPolicy &gateway = m_gateways[i];
                if (gateway.isDue(m_now) && gateway.observe(situation(), m_now)) {
                    const int direction = gateway.share() > shares[i] ? 1 : -1;
                    m_reversals[i] += direction == -directions[i] ? 1 : 0;
                    directions[i] = direction;
                    shares[i] = gateway.share();
                }
                sum += gateway.share();
            }
            m_shares.insert(sum / static_cast<double>(m_gateways.size()));
        }
    }

    auto leavingShare() const -> double { return double(m_leaving) / m_sent; }
    auto sharesRange() const -> double { return *m_shares.rbegin() - *m_shares.begin(); }
    auto mostReversals() const -> int
    {
        return *std::max_element(m_reversals.begin(), m_reversals.end());
    }
    auto limitingGateways() const -> size_t
    {
        return static_cast<size_t>(
            std::count_if(m_gateways.begin(), m_gateways.end(),
                          [](const DomainPolicy &gateway) { return gateway.isLimiting(); }));
    }
    /// Requests that found all slots taken in both domains.
    auto refused() const -> int { return m_refused; }

private:
    struct End
    {
        TimePoint at;
        size_t server = 0;
    };

    auto situation() const -> DomainSituation
    {
        const auto own = m_seen.begin() + m_ownServers;
        const auto delay = [](int load) { return idleDelay + perRequest * load; };
        DomainSituation result;
        result.ownDelay = delay(*std::min_element(m_seen.begin(), own));
        result.otherDelay = delay(*std::min_element(own, m_seen.end()));
        result.perRequest = perRequest;
        result.cost = perRequest * Constants::UsualRemoteWeight;
        result.ownUse = std::accumulate(m_seen.begin(), own, 0.0) / (m_ownServers * slots);
        return result;
    }

    auto finish() -> void
    {
        for (auto end = m_running.begin(); end != m_running.end();) {
            if (end->at > m_now) {
                ++end;
                continue;
            }
            --m_loads[end->server];
            *end = m_running.back();
            m_running.pop_back();
        }
    }

    auto run(size_t server) -> void
    {
        std::lognormal_distribution<double> noise(0, 0.3);
        const auto time = (idleDelay + perRequest * m_loads[server]) * noise(m_random);
        ++m_loads[server];
        m_running.push_back({m_now + std::chrono::duration_cast<Utils::Duration>(time), server});
    }

    auto sendOther() -> void
    {
        const auto best = std::min_element(m_loads.begin() + m_ownServers, m_loads.end());
        if (*best < slots)
            run(static_cast<size_t>(best - m_loads.begin()));
    }

    auto send() -> void
    {
        const size_t index = m_random() % m_gateways.size();
        DomainPolicy &gateway = m_gateways[index];
        const double remote = Constants::UsualRemoteWeight
            + (gateway.mayLeave(m_random()) ? 0 : Constants::HoldBackWeight);
        std::uniform_real_distribution<double> tie(0, 0.1);
        size_t best = m_loads.size();
        double bestScore = 1e9;
        for (size_t i = 0; i < m_loads.size(); ++i) {
            const bool isRemote = i >= static_cast<size_t>(m_ownServers);
            const double score =
                m_seen[i] + m_sentSince[index][i] + (isRemote ? remote : 0) + tie(m_random);
            if (m_loads[i] >= slots || score >= bestScore)
                continue;
            best = i;
            bestScore = score;
        }
        ++m_sent;
        if (best == m_loads.size()) {
            ++m_refused;
            return;
        }
        const bool isRemote = best >= static_cast<size_t>(m_ownServers);
        m_leaving += isRemote ? 1 : 0;
        gateway.noteSent(isRemote);
        ++m_sentSince[index][best];
        run(best);
    }

    std::mt19937_64 m_random;
    int m_ownServers = 0;
    std::vector<int> m_loads;
    std::vector<int> m_seen; ///< As reported up to 100 ms ago.
    std::vector<std::vector<int>> m_sentSince; ///< By gateway and server.
    std::vector<DomainPolicy> m_gateways;
    std::vector<End> m_running;
    TimePoint m_now = start;
    int m_leaving = 0;
    int m_sent = 0;
    int m_refused = 0;
    std::multiset<double> m_shares;
    std::vector<int> m_reversals;
};

auto makeSituation(double own, double other, double use) -> DomainSituation
{
    return {Milliseconds(own), Milliseconds(other), Milliseconds(7.5), Milliseconds(10), use};
}

} // namespace

// Guards against a selection that changes where the domain has spare capacity.
TEST(DomainPolicy, NothingIsLimitedWhileTheDomainHasSpareCapacity)
{
    DomainPolicy policy(1);
    for (int i = 0; i < 100; ++i) {
        EXPECT_FALSE(policy.observe(makeSituation(200, 40, 0.5), start + 200ms * i));
        EXPECT_FALSE(policy.isLimiting());
        EXPECT_TRUE(policy.mayLeave(static_cast<std::uint64_t>(i)));
    }
}

// A domain with too few servers for its callers.
TEST(DomainPolicy, ShareGrowsWhileLeavingPaysOff)
{
    DomainPolicy policy(1);
    double last = 0;
    for (int i = 0; i < 300; ++i) {
        policy.observe(makeSituation(300, 40, 0.9), start + 200ms * i);
        EXPECT_GE(policy.share(), last);
        EXPECT_LE(policy.share() - last, 1.0 / Constants::DomainShareSteps);
        last = policy.share();
    }
    EXPECT_EQ(last, 1);
    // What leaving saves is between half of its cost and that of one request more: no change.
    for (int i = 300; i < 400; ++i)
        policy.observe(makeSituation(50, 40, 0.9), start + 200ms * i);
    const double settled = policy.share();
    for (int i = 400; i < 600; ++i)
        EXPECT_FALSE(policy.observe(makeSituation(50, 40, 0.9), start + 200ms * i));
    EXPECT_EQ(policy.share(), settled);
}

// Guards against requests and their repetitions that are treated differently, and a share that is
// not the one that leaves.
TEST(DomainPolicy, IdentityDecidesWhichRequestsMayLeave)
{
    DomainPolicy policy(1);
    for (int i = 0; policy.share() < 0.5; ++i)
        policy.observe(makeSituation(300, 40, 0.9), start + 200ms * i);
    int leaving = 0;
    for (std::uint64_t identity = 0; identity < 1600; ++identity)
        leaving += policy.mayLeave(identity) ? 1 : 0;
    EXPECT_EQ(leaving, 800);
}

// Guards against gateways that decide on the same loads and raise and lower their shares together.
TEST(DomainPolicy, SharesOfAllGatewaysSettle)
{
    for (const int gateways : {4, 26, 380}) {
        for (const unsigned seed : {1U, 2U, 3U}) {
            Domains domains(gateways, 6, 18, seed);
            domains.play(40s, 700, 1240);
            // Callers move to the first domain.
            domains.play(60s, 1040, 900);
            EXPECT_GT(domains.limitingGateways(), 0U) << gateways;
            domains.play(60s, 1040, 900);
            EXPECT_GT(domains.leavingShare(), 0.3) << gateways;
            EXPECT_LT(domains.sharesRange(), 3.0 / Constants::DomainShareSteps) << gateways;
            EXPECT_LE(domains.mostReversals(), 3) << gateways;
            EXPECT_EQ(domains.refused(), 0) << gateways;
        }
    }
}

// A domain whose servers return. Guards against traffic that keeps leaving it.
TEST(DomainPolicy, RequestsStayOnceTheDomainsServersReturn)
{
    for (const int gateways : {4, 26, 380}) {
        Domains domains(gateways, 6, 18, 1);
        domains.play(60s, 900, 1040);
        EXPECT_GT(domains.limitingGateways(), 0U) << gateways;
        domains.setOwnServers(24);
        domains.play(20s, 900, 1040);
        EXPECT_EQ(domains.limitingGateways(), 0U) << gateways;
    }
}
