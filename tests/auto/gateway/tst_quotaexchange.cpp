// Quotas over many gateways whose callers are few and uneven, in virtual time.

#include "../shared/virtualscheduler.h"

#include <gateway/configuration.h>
#include <gateway/gatewayconstants.h>
#include <gateway/quotaexchange.h>
#include <gateway/quotaledger.h>

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include <deque>
#include <random>

using namespace Gateway;
using namespace std::chrono_literals;

namespace {

/// Gateways with a network between them that takes a while and loses some messages.
class Fleet
{
public:
    struct Load
    {
        double share = 0.5; ///< Of the contract.
        double shift = 0; ///< Seconds after which the callers move to other gateways; 0 for never.
    };

    struct Outcome
    {
        int asked = 0;
        int refused = 0;
        double mostInWindow = 0; ///< Tokens that passed in the worst window of eight seconds.
        long messages = 0;

        auto refusedShare() const -> double { return static_cast<double>(refused) / asked; }
    };

    Fleet(int gateways, std::uint64_t seed)
        : m_random(seed)
    {
        customer.name = "county";
        customer.countsTokens = true;
        customer.plainTokens = 200;
        customer.ratePerSecond = 200000;
        customer.burst = 200000;
        for (int i = 0; i < gateways; ++i) {
            Member &member = m_members.emplace_back();
            member.address = Http1::SocketAddress::create(static_cast<std::uint32_t>(i + 1), 1);
            member.ledger = std::make_unique<QuotaLedger>(true);
            member.ledger->setGateways(gateways, scheduler.now());
            member.ledger->configure({customer}, scheduler.now());
        }
        for (Member &member : m_members)
            member.exchange = std::make_unique<QuotaExchange>(
                scheduler, *member.ledger,
                QuotaExchange::Surroundings{[this, &member] { return othersThan(member); },
                                            [this, &member](const auto &to, const auto &message) {
                                                deliver(member.address, to, message);
                                            }});
    }

    /// Each gateway has callers by chance: some have many times as many as others.
    auto play(const Load &load, std::chrono::seconds time) -> Outcome
    {
        Outcome outcome;
        drawWeights();
        constexpr double meanTokens = 900;
        std::exponential_distribution<double> pause(customer.ratePerSecond * load.share
                                                    / meanTokens);
        std::exponential_distribution<double> size(1 / meanTokens);
        const auto end = scheduler.now() + time;
        auto shiftAt = scheduler.now() + Utils::fromSeconds(load.shift > 0 ? load.shift : 1e6);
        while (scheduler.now() < end) {
            scheduler.pass(Utils::fromSeconds(pause(m_random)));
            if (scheduler.now() >= shiftAt) {
                drawWeights();
                shiftAt += Utils::fromSeconds(load.shift);
            }
            // A gateway hears from the holder of the duty several times a second.
            if (scheduler.now() - m_confirmedAt > 250ms) {
                m_confirmedAt = scheduler.now();
                for (Member &member : m_members)
                    member.ledger->confirmParts(scheduler.now());
            }
            std::discrete_distribution<size_t> pick(m_weights.begin(), m_weights.end());
            request(m_members[pick(m_random)], std::min(size(m_random), 8 * meanTokens), outcome);
        }
        scheduler.pass(1s);
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

    auto othersThan(const Member &member) const -> std::vector<Http1::SocketAddress>
    {
        std::vector<Http1::SocketAddress> others;
        for (const Member &other : m_members) {
            if (!(other.address == member.address))
                others.push_back(other.address);
        }
        return others;
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

    /// As a request does: what is not there is asked for, and looked for a few times.
    auto request(Member &member, double tokens, Outcome &outcome) -> void
    {
        ++outcome.asked;
        if (member.ledger->take("county", tokens, scheduler.now()))
            return notePassed(tokens, outcome);
        await(member, tokens, outcome, Constants::QuotaLooks);
    }

    auto await(Member &member, double tokens, Outcome &outcome, int looksLeft) -> void
    {
        member.exchange->askNow();
        scheduler.callAfter(Constants::LongestQuotaWait / Constants::QuotaLooks,
                            [this, &member, tokens, &outcome, looksLeft] {
                                if (member.ledger->take("county", tokens, scheduler.now()))
                                    notePassed(tokens, outcome);
                                else if (looksLeft > 1)
                                    await(member, tokens, outcome, looksLeft - 1);
                                else
                                    ++outcome.refused;
                            });
    }

    auto notePassed(double tokens, Outcome &outcome) -> void
    {
        m_passed.emplace_back(scheduler.now(), tokens);
        m_inWindow += tokens;
        while (scheduler.now() - m_passed.front().first > 8s) {
            m_inWindow -= m_passed.front().second;
            m_passed.pop_front();
        }
        outcome.mostInWindow = std::max(outcome.mostInWindow, m_inWindow);
    }

    std::mt19937_64 m_random;
    std::deque<Member> m_members;
    std::vector<double> m_weights;
    Utils::TimePoint m_confirmedAt;
    std::deque<std::pair<Utils::TimePoint, double>> m_passed;
    double m_inWindow = 0;
    long m_messages = 0;
};

} // namespace

// Pattern: a customer well inside its contract whose callers come in at few of many gateways.
class QuotaFleets : public testing::TestWithParam<int>
{ };

TEST_P(QuotaFleets, CallersInsideTheContractAreServedWhereverTheyCome)
{
    for (const double shift : {0.0, 4.0}) {
        Fleet fleet(GetParam(), 20261204);
        const auto outcome = fleet.play({0.5, shift}, 20s);
        RecordProperty("refused", outcome.refused);
        EXPECT_LT(outcome.refusedShare(), 0.001)
            << outcome.refused << " of " << outcome.asked << ", " << outcome.messages
            << " messages, shift " << shift;
    }
}

TEST_P(QuotaFleets, CustomerAtManyTimesItsContractStaysWithinIt)
{
    Fleet fleet(GetParam(), 7);
    const auto outcome = fleet.play({6, 0}, 20s);
    const double allowed = fleet.customer.ratePerSecond * 8 + fleet.customer.burst;
    EXPECT_LE(outcome.mostInWindow, allowed * 1.1);
    EXPECT_GT(outcome.mostInWindow, allowed * 0.8);
    // The letter's bound on control traffic: 6 KB a second and gateway, at 100 bytes a message.
    const double perSecond = static_cast<double>(outcome.messages) / GetParam() / 20;
    EXPECT_LT(perSecond, 60);
}

INSTANTIATE_TEST_SUITE_P(Sizes, QuotaFleets, testing::Values(4, 25, 68, 380));
