// Tests quotas of many gateways with few, unevenly distributed callers, in virtual time.

#include "../shared/virtualscheduler.h"

#include <gateway/configuration.h>
#include <gateway/gatewayconstants.h>
#include <gateway/quotaexchange.h>
#include <gateway/quotaledger.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <random>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

/// Gateways connected by a network that delays messages and loses some of them.
class Fleet
{
public:
    struct Load
    {
        double share = 0.5; ///< Fraction of the contract that is requested.
        /// Seconds after which the callers move to other gateways; 0 for never.
        double shiftInterval = 0;
    };

    struct Outcome
    {
        int requests = 0;
        int refused = 0;
        double maxInWindow = 0; ///< Most tokens admitted in any window of eight seconds.
        long messages = 0;

        auto refusedShare() const -> double { return static_cast<double>(refused) / requests; }
    };

    Fleet(int gateways, std::uint64_t seed, double rate = 200000)
        : m_random(seed)
    {
        customer.name = "county";
        customer.countsTokens = true;
        customer.plainTokens = 200;
        customer.ratePerSecond = rate;
        customer.burst = rate;
        for (int i = 0; i < gateways; ++i) {
            Member &member = m_members.emplace_back();
            member.address = Http1::SocketAddress::create(static_cast<std::uint32_t>(i + 1), 1);
            member.ledger = std::make_unique<QuotaLedger>(true);
            member.ledger->setGatewayCount(gateways, scheduler.now());
            member.ledger->configure({customer}, scheduler.now());
        }
        for (Member &member : m_members)
            member.exchange = std::make_unique<QuotaExchange>(
                scheduler, *member.ledger,
                QuotaExchange::Transport{[this, &member] { return peersOf(member); },
                                         [this, &member](const auto &to, const auto &message) {
                                             deliver(member.address, to, message);
                                         }});
    }

    /// Callers are distributed randomly: some gateways have many times as many as others.
    auto run(const Load &load, std::chrono::seconds time) -> Outcome
    {
        Outcome outcome;
        drawWeights();
        constexpr double meanTokens = 900;
        std::exponential_distribution<double> pause(customer.ratePerSecond * load.share
                                                    / meanTokens);
        std::exponential_distribution<double> size(1 / meanTokens);
        const auto end = scheduler.now() + time;
        auto shiftAt =
            scheduler.now() + Utils::fromSeconds(load.shiftInterval > 0 ? load.shiftInterval : 1e6);
        while (scheduler.now() < end) {
            scheduler.advance(Utils::fromSeconds(pause(m_random)));
            if (scheduler.now() >= shiftAt) {
                drawWeights();
                shiftAt += Utils::fromSeconds(load.shiftInterval);
            }
            // The holder of the placement duty reports to each gateway several times a second.
            if (scheduler.now() - m_confirmedAt > 250ms) {
                m_confirmedAt = scheduler.now();
                for (Member &member : m_members)
                    member.ledger->confirmParts(scheduler.now());
            }
            std::discrete_distribution<size_t> pick(m_weights.begin(), m_weights.end());
            request(m_members[pick(m_random)], std::min(size(m_random), 8 * meanTokens), outcome);
        }
        scheduler.advance(1s);
        outcome.messages = m_messages;
        return outcome;
    }

    Customer customer;
    VirtualScheduler scheduler;

private:
    struct Member
    {
        Http1::SocketAddress address;
        std::unique_ptr<QuotaLedger> ledger;
        std::unique_ptr<QuotaExchange> exchange;
    };

    auto drawWeights() -> void
    {
        std::gamma_distribution<double> weight(0.5);
        m_weights.clear();
        for (size_t i = 0; i < m_members.size(); ++i)
            m_weights.push_back(weight(m_random));
    }

    auto peersOf(const Member &member) const -> std::vector<Http1::SocketAddress>
    {
        std::vector<Http1::SocketAddress> peers;
        for (const Member &other : m_members) {
            if (!(other.address == member.address))
                peers.push_back(other.address);
        }
        return peers;
    }

    auto deliver(const Http1::SocketAddress &from, const Http1::SocketAddress &to,
                 const nlohmann::json &message) -> void
    {
        ++m_messages;
        constexpr int lostOneIn = 50;
        if (m_random() % lostOneIn == 0)
            return;
        scheduler.callAfter(1500us, [this, from, to, message] {
            for (Member &member : m_members) {
                if (member.address == to)
                    member.exchange->takeMessage(message, from);
            }
        });
    }

    /// Handles a request like the gateway: requests missing quota and checks for it a few times.
    auto request(Member &member, double tokens, Outcome &outcome) -> void
    {
        ++outcome.requests;
        if (member.ledger->tryConsume("county", tokens, scheduler.now()))
            return recordPassed(tokens, outcome);
        retryLater(member, tokens, outcome, Constants::QuotaChecks);
    }

    auto retryLater(Member &member, double tokens, Outcome &outcome, int checksLeft) -> void
    {
        member.exchange->requestMissingQuota();
        scheduler.callAfter(Constants::MaxQuotaWait / Constants::QuotaChecks,
                            [this, &member, tokens, &outcome, checksLeft] {
                                if (member.ledger->tryConsume("county", tokens, scheduler.now()))
                                    recordPassed(tokens, outcome);
                                else if (checksLeft > 1)
                                    retryLater(member, tokens, outcome, checksLeft - 1);
                                else
                                    ++outcome.refused;
                            });
    }

    auto recordPassed(double tokens, Outcome &outcome) -> void
    {
        m_passedRequests.emplace_back(scheduler.now(), tokens);
        m_tokensInWindow += tokens;
        while (scheduler.now() - m_passedRequests.front().first > 8s) {
            m_tokensInWindow -= m_passedRequests.front().second;
            m_passedRequests.pop_front();
        }
        outcome.maxInWindow = std::max(outcome.maxInWindow, m_tokensInWindow);
    }

    std::mt19937_64 m_random;
    std::deque<Member> m_members;
    std::vector<double> m_weights;
    Utils::TimePoint m_confirmedAt;
    std::deque<std::pair<Utils::TimePoint, double>> m_passedRequests;
    double m_tokensInWindow = 0;
    long m_messages = 0;
};

/// Gateways as in `Fleet` that also fail: they are disconnected, freeze, and restart.
class FailingFleet
{
public:
    FailingFleet(int gateways, std::uint64_t seed)
        : m_random(seed)
    {
        m_customer.name = "county";
        m_customer.countsTokens = true;
        m_customer.ratePerSecond = 200000;
        m_customer.burst = 400000;
        m_windowLimits.emplace_back(m_scheduler.now(), allowedInWindow());
        for (int i = 0; i < gateways; ++i) {
            Member &member = m_members.emplace_back();
            member.address = Http1::SocketAddress::create(static_cast<std::uint32_t>(i + 1), 1);
            member.lastHeardAt = m_scheduler.now();
        }
        for (Member &member : m_members) {
            for (const Member &other : m_members) {
                if (&other != &member)
                    member.peers.push_back(other.address);
            }
            start(member, true);
        }
        m_weights.assign(m_members.size(), 1);
    }

    auto count() const -> size_t { return m_members.size(); }
    auto disconnect(size_t index) -> void { m_members[index].isDisconnected = true; }
    auto reconnect(size_t index) -> void { m_members[index].isDisconnected = false; }
    auto freeze(size_t index) -> void { m_members[index].isFrozen = true; }

    auto unfreeze(size_t index) -> void
    {
        Member &member = m_members[index];
        member.isFrozen = false;
        // Events that arrived meanwhile are processed now.
        const auto deferredEvents = std::move(member.deferredEvents);
        member.deferredEvents.clear();
        for (const auto &event : deferredEvents)
            event();
    }

    /// Restarts a gateway at most once per window, as each restart uses a fraction of the
    /// platform's tolerance.
    auto restart(size_t index) -> void
    {
        Member &member = m_members[index];
        const bool isFirst = member.incarnation == 1;
        if (member.isFrozen || (!isFirst && m_scheduler.now() - member.startedAt < window))
            return;
        start(member, false);
    }

    auto shiftCallers() -> void
    {
        std::gamma_distribution<double> weight(0.5);
        for (double &one : m_weights)
            one = weight(m_random);
    }

    /// Unfreezes all gateways first, so that each one receives the new contract.
    auto halveContract() -> void
    {
        for (size_t i = 0; i < m_members.size(); ++i)
            unfreeze(i);
        m_customer.ratePerSecond /= 2;
        m_customer.burst /= 2;
        m_windowLimits.emplace_back(m_scheduler.now(), allowedInWindow());
        for (Member &member : m_members)
            member.ledger->configure({m_customer}, m_scheduler.now());
    }

    /// Callers request `share` of the initial contract.
    auto run(double share, Utils::Duration time) -> void
    {
        constexpr double meanTokens = 900;
        constexpr double firstRate = 200000;
        std::exponential_distribution<double> pause(firstRate * share / meanTokens);
        std::exponential_distribution<double> size(1 / meanTokens);
        std::discrete_distribution<size_t> pick(m_weights.begin(), m_weights.end());
        const auto end = m_scheduler.now() + time;
        while (m_scheduler.now() < end) {
            m_scheduler.advance(Utils::fromSeconds(pause(m_random)));
            if (m_scheduler.now() - m_dutyReportedAt > 250ms)
                sendDutyReport();
            Member &member = m_members[pick(m_random)];
            const double tokens = std::min(size(m_random), 8 * meanTokens);
            if (!member.isFrozen)
                request(member, tokens, Constants::QuotaChecks);
        }
    }

    /// Tokens admitted in the worst window, as a fraction of what is allowed in it.
    auto worstWindow() const -> double { return m_worstWindow; }
    static constexpr auto window = 8s;
    static constexpr double tolerance = 0.1;

private:
    struct Member
    {
        Http1::SocketAddress address;
        std::vector<Http1::SocketAddress> peers;
        std::unique_ptr<QuotaLedger> ledger;
        std::unique_ptr<QuotaExchange> exchange;
        Utils::TimePoint startedAt;
        Utils::TimePoint lastHeardAt; ///< By the holder of the placement duty.
        int incarnation = 0;
        bool isDisconnected = false;
        bool isFrozen = false;
        std::vector<std::function<void()>> deferredEvents; ///< Arrived while it was frozen.
    };

    auto start(Member &member, bool isFirst) -> void
    {
        ++member.incarnation;
        member.startedAt = m_scheduler.now();
        member.exchange.reset();
        member.ledger = std::make_unique<QuotaLedger>(isFirst, QuotaTolerance{window, tolerance});
        member.ledger->setGatewayCount(static_cast<int>(m_members.size()), m_scheduler.now());
        member.ledger->configure({m_customer}, m_scheduler.now());
        member.exchange = std::make_unique<QuotaExchange>(
            m_scheduler, *member.ledger,
            QuotaExchange::Transport{[&member] { return member.peers; },
                                     [this, &member](const auto &to, const auto &message) {
                                         deliver(member, to, message);
                                     }});
    }

    auto runWhenAwake(Member &member, std::function<void()> event) -> void
    {
        if (member.isFrozen)
            member.deferredEvents.push_back(std::move(event));
        else
            event();
    }

    auto deliver(const Member &from, const Http1::SocketAddress &to, const nlohmann::json &message)
        -> void
    {
        constexpr int lostOneIn = 20;
        Member &target = m_members[to.ip() - 1];
        if (from.isFrozen || from.isDisconnected || target.isDisconnected
            || m_random() % lostOneIn == 0)
            return;
        m_scheduler.callAfter(1500us, [this, sender = from.address, &target, message] {
            runWhenAwake(target, [sender, &target, message] {
                target.exchange->takeMessage(message, sender);
            });
        });
    }

    /// Sends the report of the placement duty's holder to the gateways that it can reach. Gateways
    /// that were silent for too long are no longer counted.
    auto sendDutyReport() -> void
    {
        m_dutyReportedAt = m_scheduler.now();
        int live = 0;
        for (Member &member : m_members) {
            if (!member.isDisconnected && !member.isFrozen)
                member.lastHeardAt = m_scheduler.now();
            live +=
                m_scheduler.now() - member.lastHeardAt <= Constants::GatewaySilenceTimeout ? 1 : 0;
        }
        for (Member &member : m_members) {
            if (member.isDisconnected || member.isFrozen)
                continue;
            member.ledger->confirmParts(m_scheduler.now());
            member.ledger->setGatewayCount(live, m_scheduler.now());
        }
    }

    auto request(Member &member, double tokens, int checksLeft) -> void
    {
        if (member.ledger->tryConsume("county", tokens, m_scheduler.now()))
            return recordPassed(tokens);
        if (checksLeft == 0)
            return;
        member.exchange->requestMissingQuota();
        m_scheduler.callAfter(
            Constants::MaxQuotaWait / Constants::QuotaChecks,
            [this, &member, tokens, checksLeft, incarnation = member.incarnation] {
                runWhenAwake(member, [this, &member, tokens, checksLeft, incarnation] {
                    if (member.incarnation == incarnation)
                        request(member, tokens, checksLeft - 1);
                });
            });
    }

    auto recordPassed(double tokens) -> void
    {
        m_passedRequests.emplace_back(m_scheduler.now(), tokens);
        m_tokensInWindow += tokens;
        while (m_scheduler.now() - m_passedRequests.front().first > window) {
            m_tokensInWindow -= m_passedRequests.front().second;
            m_passedRequests.pop_front();
        }
        // A lowered contract applies to windows that begin after the change.
        double allowed = 0;
        for (const auto &[since, limit] : m_windowLimits) {
            if (allowed == 0 || since <= m_scheduler.now() - window)
                allowed = limit;
        }
        m_worstWindow = std::max(m_worstWindow, m_tokensInWindow / allowed);
    }

    auto allowedInWindow() const -> double
    {
        return (m_customer.ratePerSecond * Utils::toSeconds(window) + m_customer.burst)
            * (1 + tolerance);
    }

    VirtualScheduler m_scheduler;
    Customer m_customer;
    std::mt19937_64 m_random;
    std::deque<Member> m_members;
    std::vector<double> m_weights;
    Utils::TimePoint m_dutyReportedAt;
    std::deque<std::pair<Utils::TimePoint, double>> m_passedRequests;
    double m_tokensInWindow = 0;
    /// Tokens allowed in a window, by the time from which the limit applies.
    std::vector<std::pair<Utils::TimePoint, double>> m_windowLimits;
    double m_worstWindow = 0;
};

} // namespace

// A customer stays well within its contract, and its callers use few of many gateways.
class QuotaFleets : public testing::TestWithParam<int>
{ };

TEST_P(QuotaFleets, CallersWithinTheContractAreServedAtAnyGateway)
{
    for (const double shiftInterval : {0.0, 4.0}) {
        Fleet fleet(GetParam(), 20261204);
        const auto outcome = fleet.run({0.5, shiftInterval}, 20s);
        RecordProperty("refused", outcome.refused);
        EXPECT_LT(outcome.refusedShare(), 0.001)
            << outcome.refused << " of " << outcome.requests << ", " << outcome.messages
            << " messages, shift " << shiftInterval;
    }
}

TEST_P(QuotaFleets, CustomerAtManyTimesItsContractStaysWithinIt)
{
    Fleet fleet(GetParam(), 7);
    const auto outcome = fleet.run({6, 0}, 20s);
    const double allowed = fleet.customer.ratePerSecond * 8 + fleet.customer.burst;
    EXPECT_LE(outcome.maxInWindow, allowed * 1.1);
    EXPECT_GT(outcome.maxInWindow, allowed * 0.8);
    // Required limit on control traffic: 6 KB per second and gateway, at 100 bytes per message.
    const double perSecond = static_cast<double>(outcome.messages) / GetParam() / 20;
    EXPECT_LT(perSecond, 60);
}

// A customer sends many times its contract, which is small relative to the number of gateways.
TEST_P(QuotaFleets, CustomerAtManyTimesASmallContractStaysWithinIt)
{
    constexpr double rate = 20000;
    constexpr double slack = 17000; // The platform's slack, in tokens.
    Fleet fleet(GetParam(), 7, rate);
    const auto outcome = fleet.run({6, 0}, 20s);
    EXPECT_LE(outcome.maxInWindow, rate * 9 * 1.1 + slack);
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuotaFleets, testing::Values(4, 25, 68, 380));

// Guards against all gateways asking their peers in the same order: each one found only peers whose
// quota the earlier requests had used up.
TEST(QuotaExchange, SimultaneousRequestsGoToDifferentPeers)
{
    constexpr std::uint32_t gateways = 380;
    VirtualScheduler scheduler;
    Customer customer;
    customer.name = "county";
    customer.countsTokens = true;
    customer.ratePerSecond = 200000;
    customer.burst = 200000;
    std::map<Http1::SocketAddress, int> requestsPerPeer;
    int requests = 0;
    for (std::uint32_t own = 1; own <= gateways; ++own) {
        std::vector<Http1::SocketAddress> peers;
        for (std::uint32_t other = 1; other <= gateways; ++other) {
            if (other != own)
                peers.push_back(Http1::SocketAddress::create(other, 1));
        }
        std::map<Http1::SocketAddress, int> requestsFromOne;
        QuotaLedger ledger(false);
        ledger.setGatewayCount(gateways, scheduler.now());
        ledger.configure({customer}, scheduler.now());
        QuotaExchange exchange(
            scheduler, ledger,
            {[&peers] { return peers; },
             [&requestsFromOne](const auto &to, const auto &) { ++requestsFromOne[to]; }});
        ledger.tryConsume("county", 900, scheduler.now());
        exchange.requestMissingQuota();
        for (const auto &[address, count] : requestsFromOne) {
            EXPECT_EQ(count, 1) << "one request asks each peer at most once";
            ++requestsPerPeer[address];
            ++requests;
        }
    }
    const double mean = static_cast<double>(requests) / gateways;
    for (const auto &[address, count] : requestsPerPeer)
        EXPECT_LT(count, 3 * mean) << address.toString();
    EXPECT_GT(requestsPerPeer.size(), 0.98 * gateways);
}

// Messages are lost, gateways are disconnected, freeze or restart, callers move, and the contract
// shrinks, while the customer requests two to four times its contract. The contract is large
// relative to the possible debt of all gateways.
RC_GTEST_PROP(QuotaExchange, FailuresNeverExceedTheContract, ())
{
    const auto gateways = *rc::gen::weightedElement<int>({{3, 4}, {3, 25}, {3, 68}, {1, 380}});
    // Small values test little, so each draw covers the whole range whatever the size of the case.
    const std::size_t stepCount = gateways == 380 ? 10 : 20;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        stepCount, rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0U, 1U << 30)));
    FailingFleet fleet(gateways, 11);
    const auto all = fleet.count();
    for (const std::uint32_t step : steps) {
        // Failures affect up to a quarter of the gateways; recoveries affect all.
        const size_t begin = step / 64 % all;
        const size_t end = std::min(all, begin + 1 + step / 4096 % (all / 4));
        const auto forEach = [&fleet](size_t from, size_t to, auto change) {
            for (size_t i = from; i < to; ++i)
                (fleet.*change)(i);
        };
        switch (step % 10) {
        case 0:
            forEach(begin, end, &FailingFleet::disconnect);
            break;
        case 1:
            // Most disconnections outlast the time after which a gateway counts as gone.
            if (step / 64 % 4 == 0)
                forEach(0, all, &FailingFleet::reconnect);
            break;
        case 2:
            forEach(begin, end, &FailingFleet::freeze);
            break;
        case 3:
            forEach(0, all, &FailingFleet::unfreeze);
            break;
        case 4:
            forEach(begin, end, &FailingFleet::restart);
            break;
        case 5:
            forEach(0, all, &FailingFleet::restart);
            break;
        case 6:
            fleet.shiftCallers();
            break;
        case 7:
            if (step / 64 % 4 == 0)
                fleet.halveContract();
            break;
        default:
            break;
        }
        fleet.run(2 + step / 16 % 3, std::chrono::milliseconds(step / 1024 % 1500));
    }
    RC_ASSERT(fleet.worstWindow() <= 1);
}
