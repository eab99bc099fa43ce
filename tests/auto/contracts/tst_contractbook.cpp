// Several entries share one contract over a network that loses, delays and duplicates messages,
// while entries restart and epochs change. In no time window may the entries together spend more
// tokens than the burst and the rate allow.

#include <contracts/contractbook.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace Contracts;
using Utils::TimePoint;

namespace {

constexpr double rate = 100;
constexpr double burst = 400;
constexpr double residue = 1e-3;
const std::string customer = "county-a";

auto at(double seconds) -> TimePoint
{
    return TimePoint() + std::chrono::hours(1) + Utils::fromSeconds(seconds);
}

/// A policy that gives whatever is requested, to stress the accounting of transfers.
class GenerousPolicy : public SharePolicy
{
public:
    auto transferAmount(const TransferRequest &request, const SliceAmount &held, double) const
        -> SliceAmount override
    {
        return {held.rate * 0.7, std::max(request.tokens, held.capacity * 0.7), request.tokens};
    }
};

/// Simulates a faulty implementation: the transfer carries only as much capacity as tokens.
auto withoutCapacity(Transfer transfer) -> Transfer
{
    transfer.amount.capacity = transfer.amount.level;
    return transfer;
}

struct Fault
{
    double loss = 0.1;
    double duplication = 0.1;
    double maxDelay = 2.0;
    bool restarts = true;
    bool epochsChange = true;
    bool isMutant = false; ///< Simulates a giver that keeps the capacity that it gives.
};

/// Simulates a few entries in virtual time; all random decisions derive from one seed.
class Fleet
{
public:
    Fleet(unsigned seed, const Fault &fault)
        : m_random(seed)
        , m_fault(fault)
    {
        for (int i = 0; i < entryCount; ++i)
            m_books.push_back(makeBook(i));
        newEpoch(at(0));
        for (auto &book : m_books)
            book->unlockGains(m_epoch.number, at(0));
    }

    auto run(double seconds) -> void
    {
        for (double now = 0; now < seconds; now += step) {
            m_now = now;
            if (m_fault.restarts && chance(0.002))
                restart();
            if (m_fault.epochsChange && chance(0.002))
                newEpoch(at(now));
            applyEpoch();
            deliverDue();
            runEntries();
        }
    }

    auto maxExcess() const -> double
    {
        double worst = 0;
        double level = 0;
        double last = 0;
        for (const auto &[when, tokens] : m_spent) {
            level = std::max(0.0, level - rate * (when - last)) + tokens;
            last = when;
            worst = std::max(worst, level - burst);
        }
        return worst;
    }

    auto spent() const -> double
    {
        double sum = 0;
        for (const auto &[when, tokens] : m_spent)
            sum += tokens;
        return sum;
    }

private:
    static constexpr int entryCount = 4;
    static constexpr double step = 0.05;
    static constexpr double epochPropagationTime = 3.0;

    struct Message
    {
        double due;
        int to;
        std::variant<TransferRequest, Transfer, std::pair<std::string, std::uint64_t>> content;
    };

    auto chance(double probability) -> bool
    {
        return std::uniform_real_distribution<>()(m_random) < probability;
    }

    static auto nameOf(int index) -> std::string { return "entry-" + std::to_string(index); }

    static auto indexOf(const std::string &name) -> int { return name.back() - '0'; }

    auto makeBook(int index) -> std::unique_ptr<ContractBook>
    {
        const std::string incarnation = std::to_string(++m_incarnation);
        m_incarnations[nameOf(index)] = incarnation;
        return std::make_unique<ContractBook>(nameOf(index), incarnation,
                                              std::make_unique<GenerousPolicy>());
    }

    auto restart() -> void
    {
        const int index = static_cast<int>(m_random() % entryCount);
        m_books[index] = makeBook(index);
        m_epochArrivesAt[index] = m_now + std::uniform_real_distribution<>(0, 1)(m_random);
    }

    auto newEpoch(TimePoint) -> void
    {
        m_epoch.number += 1;
        m_epoch.incarnations = m_incarnations;
        m_epoch.contracts[customer] = {rate, burst};
        m_epochAt = m_now;
        for (int i = 0; i < entryCount; ++i)
            m_epochArrivesAt[i] =
                m_now + std::uniform_real_distribution<>(0, epochPropagationTime)(m_random);
    }

    /// Entries receive the epoch at different times; gains are unlocked after all have received it.
    auto applyEpoch() -> void
    {
        for (int i = 0; i < entryCount; ++i) {
            if (m_now >= m_epochArrivesAt[i])
                m_books[i]->update(m_epoch, at(m_now));
            if (m_now >= m_epochAt + epochPropagationTime)
                m_books[i]->unlockGains(m_epoch.number, at(m_now));
        }
    }

    auto send(int to, decltype(Message::content) content) -> void
    {
        const int copies = chance(m_fault.loss) ? 0 : chance(m_fault.duplication) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            m_messages.push_back(
                {m_now + std::uniform_real_distribution<>(0, m_fault.maxDelay)(m_random), to,
                 content});
    }

    auto deliverDue() -> void
    {
        std::vector<Message> due;
        std::erase_if(m_messages, [&](const Message &message) {
            if (message.due > m_now)
                return false;
            due.push_back(message);
            return true;
        });
        for (const auto &message : due)
            std::visit([&](const auto &content) { receive(message.to, content); }, message.content);
    }

    auto receive(int to, const TransferRequest &request) -> void
    {
        const auto before = m_books[to]->held(customer, at(m_now));
        for (const auto &transfer : m_books[to]->handleTransferRequest(request, at(m_now))) {
            send(indexOf(request.from), transfer);
            if (m_fault.isMutant)
                restoreCapacity(to, before);
        }
    }

    auto restoreCapacity(int index, const SliceAmount &before) -> void
    {
        const auto held = m_books[index]->held(customer, at(m_now));
        Transfer phantom{"phantom",      "0",         nameOf(index), m_incarnations[nameOf(index)],
                         m_epoch.number, ++m_phantom, customer,      {}};
        phantom.amount = {before.rate - held.rate, before.capacity - held.capacity, 0};
        m_books[index]->handleTransfer(withoutLevel(phantom), at(m_now));
    }

    static auto withoutLevel(Transfer transfer) -> Transfer
    {
        transfer.amount.level = 0;
        return transfer;
    }

    auto receive(int to, const Transfer &transfer) -> void
    {
        const Transfer taken = m_fault.isMutant ? withoutCapacity(transfer) : transfer;
        if (m_books[to]->handleTransfer(taken, at(m_now)))
            send(indexOf(transfer.from), std::pair(transfer.to, transfer.sequence));
    }

    auto receive(int to, const std::pair<std::string, std::uint64_t> &acknowledgement) -> void
    {
        m_books[to]->handleAcknowledgement(acknowledgement.first, acknowledgement.second);
    }

    /// One entry at a time requests tokens for 18 s; then all entries spend often for 2 s.
    auto runEntries() -> void
    {
        const bool isSpendingPhase = static_cast<int>(m_now) % 20 >= 18;
        const int hoarder = (static_cast<int>(m_now) / 20) % entryCount;
        for (int i = 0; i < entryCount; ++i) {
            if (chance(isSpendingPhase ? 0.9 : 0.02))
                spend(i);
            for (const auto &transfer : m_books[i]->unacknowledged())
                if (chance(0.1))
                    send(indexOf(transfer.to), transfer);
        }
        if (!isSpendingPhase && chance(0.3)) {
            const auto request = m_books[hoarder]->makeTransferRequest(
                customer, std::to_string(m_now), 50, at(m_now));
            send(static_cast<int>(m_random() % entryCount), request);
        }
    }

    auto spend(int index) -> void
    {
        const auto held = m_books[index]->held(customer, at(m_now));
        const double tokens = std::uniform_real_distribution<>(0, 1)(m_random) * held.level;
        if (tokens <= 0
            || m_books[index]->charge(customer, tokens, at(m_now)).status
                != ChargeResult::Status::Charged)
            return;
        const double unused = chance(0.3) ? tokens * 0.5 : 0;
        m_books[index]->refund(customer, unused, at(m_now));
        m_spent.emplace_back(m_now, tokens - unused);
    }

    std::mt19937 m_random;
    Fault m_fault;
    double m_now = 0;
    int m_incarnation = 0;
    std::uint64_t m_phantom = 0;
    double m_epochAt = 0;
    Epoch m_epoch;
    std::map<std::string, std::string> m_incarnations;
    std::map<int, double> m_epochArrivesAt;
    std::vector<std::unique_ptr<ContractBook>> m_books;
    std::vector<Message> m_messages;
    std::vector<std::pair<double, double>> m_spent;
};

} // namespace

RC_GTEST_PROP(ContractBook, NoWindowExceedsBurstAndRate, ())
{
    Fault fault;
    fault.loss = *rc::gen::elementOf(std::vector<double>{0, 0.05, 0.3});
    fault.duplication = *rc::gen::elementOf(std::vector<double>{0, 0.1, 0.5});
    fault.maxDelay = *rc::gen::elementOf(std::vector<double>{0.1, 2, 10});
    fault.restarts = *rc::gen::arbitrary<bool>();
    fault.epochsChange = *rc::gen::arbitrary<bool>();
    Fleet fleet(*rc::gen::arbitrary<unsigned>(), fault);
    fleet.run(120);
    RC_ASSERT(fleet.maxExcess() <= residue);
}

TEST(ContractBook, TheWindowCheckDetectsTokensMovedWithoutCapacity)
{
    double worst = 0;
    for (unsigned seed = 0; seed < 20; ++seed) {
        Fault fault;
        fault.isMutant = true;
        Fleet fleet(seed, fault);
        fleet.run(120);
        worst = std::max(worst, fleet.maxExcess());
    }
    EXPECT_GT(worst, residue);
}

TEST(ContractBook, CollectsTokensForARequestLargerThanItsOwnSlice)
{
    std::vector<std::unique_ptr<ContractBook>> books;
    Epoch epoch{1, {{"entry-0", "a"}, {"entry-1", "b"}}, {{customer, {rate, burst}}}};
    books.push_back(
        std::make_unique<ContractBook>("entry-0", "a", std::make_unique<DemandSharePolicy>()));
    books.push_back(
        std::make_unique<ContractBook>("entry-1", "b", std::make_unique<DemandSharePolicy>()));
    for (auto &book : books) {
        book->update(epoch, at(0));
        book->unlockGains(1, at(0));
    }
    const double tokens = 0.9 * burst;
    const auto first = books[0]->charge(customer, tokens, at(10));
    ASSERT_EQ(first.status, ChargeResult::Status::InsufficientTokens);
    const auto transfers = books[1]->handleTransferRequest(
        books[0]->makeTransferRequest(customer, "r1", first.missing, at(10)), at(10));
    ASSERT_EQ(transfers.size(), 1U);
    EXPECT_TRUE(books[0]->handleTransfer(transfers[0], at(10)));
    EXPECT_EQ(books[0]->retryCharge(customer, tokens, at(10)).status,
              ChargeResult::Status::Charged);
}

TEST(ContractBook, AnEntryWithAWaitingRequestGivesOnlyToOlderRequests)
{
    Epoch epoch{1, {{"entry-0", "a"}, {"entry-1", "b"}}, {{customer, {rate, burst}}}};
    ContractBook book("entry-1", "b", std::make_unique<DemandSharePolicy>());
    book.update(epoch, at(0));
    book.unlockGains(1, at(0));
    book.setWaiting(customer, "m", true);
    EXPECT_TRUE(
        book.handleTransferRequest({"entry-0", "a", 1, customer, "z", 50, 1}, at(10)).empty());
    EXPECT_FALSE(
        book.handleTransferRequest({"entry-0", "a", 1, customer, "a", 50, 1}, at(10)).empty());
}

TEST(ContractBook, ARestartedEntryHoldsNothingUntilAnEpochNamesIt)
{
    Epoch epoch{1, {{"entry-0", "old"}}, {{customer, {rate, burst}}}};
    ContractBook book("entry-0", "new", std::make_unique<DemandSharePolicy>());
    book.update(epoch, at(0));
    book.unlockGains(1, at(0));
    EXPECT_EQ(book.held(customer, at(10)).rate, 0);
    epoch.number = 2;
    epoch.incarnations["entry-0"] = "new";
    book.update(epoch, at(10));
    EXPECT_EQ(book.held(customer, at(20)).rate, 0) << "gains are locked";
    book.unlockGains(2, at(20));
    EXPECT_EQ(book.held(customer, at(20)).rate, rate);
}

TEST(ContractBook, ADuplicatedTransferIsAppliedOnce)
{
    Epoch epoch{1, {{"entry-0", "a"}, {"entry-1", "b"}}, {{customer, {rate, burst}}}};
    ContractBook book("entry-0", "a", std::make_unique<DemandSharePolicy>());
    book.update(epoch, at(0));
    const Transfer transfer{"entry-1", "b", "entry-0", "a", 1, 1, customer, {5, 20, 20}};
    EXPECT_TRUE(book.handleTransfer(transfer, at(0)));
    EXPECT_TRUE(book.handleTransfer(transfer, at(0)));
    EXPECT_EQ(book.held(customer, at(0)).level, 20);
}

TEST(ContractBook, ARestartedEntryDoesNotApplyATransferToItsPreviousIncarnation)
{
    Epoch epoch{1, {{"entry-0", "old"}, {"entry-1", "b"}}, {{customer, {rate, burst}}}};
    ContractBook book("entry-0", "new", std::make_unique<DemandSharePolicy>());
    book.update(epoch, at(0));
    EXPECT_FALSE(book.handleTransfer(
        {"entry-1", "b", "entry-0", "old", 1, 1, customer, {5, 20, 20}}, at(0)));
    EXPECT_EQ(book.held(customer, at(0)).level, 0);
}

TEST(ContractBook, TheChargeSucceedsAfterRetryAfter)
{
    Epoch epoch{1, {{"entry-0", "a"}}, {{customer, {rate, burst}}}};
    ContractBook book("entry-0", "a", std::make_unique<StaticSharePolicy>());
    book.update(epoch, at(0));
    book.unlockGains(1, at(0));
    ASSERT_EQ(book.charge(customer, burst, at(10)).status, ChargeResult::Status::Charged);
    const auto result = book.charge(customer, 200, at(10));
    ASSERT_EQ(result.status, ChargeResult::Status::InsufficientTokens);
    EXPECT_EQ(book.charge(customer, 200, at(10) + result.retryAfter).status,
              ChargeResult::Status::Charged);
    EXPECT_EQ(book.charge(customer, burst + 1, at(10)).status,
              ChargeResult::Status::LargerThanContract);
}
