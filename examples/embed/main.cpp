// Embeds two parts of acaciahall in the core of a small server: contracts shared by two entries,
// and a fair queue with deadlines. Everything runs in virtual time; a real server passes the times
// of its own clock.

#include <admission/admissionqueue.h>
#include <contracts/contractbook.h>

#include <chrono>
#include <iostream>

namespace {

using Utils::TimePoint;

/// The book of one of two entries that share a contract of 100 tokens a second, 400 at once.
auto makeBook(const std::string &entry) -> Contracts::ContractBook
{
    Contracts::Epoch epoch;
    epoch.number = 1;
    epoch.incarnations = {{"entry-a", "1"}, {"entry-b", "1"}};
    epoch.contracts["county"] = {100, 400};
    Contracts::ContractBook book(entry, "1", Contracts::makeSharePolicy("demand"));
    book.update(epoch, TimePoint());
    book.unlockGains(1, TimePoint());
    return book;
}

/// Charges more than one entry's share; the other entry transfers the missing tokens.
auto chargeAcrossEntries(TimePoint now) -> bool
{
    auto here = makeBook("entry-a");
    auto there = makeBook("entry-b");
    const auto first = here.charge("county", 300, now);
    std::cout << "entry-a alone lacks " << first.missing << " tokens\n";
    const auto ask = here.makeTransferRequest("county", "request-1", first.missing, now);
    for (const auto &transfer : there.handleTransferRequest(ask, now)) {
        if (here.handleTransfer(transfer, now))
            there.handleAcknowledgement(transfer.to, transfer.sequence);
    }
    const auto second = here.retryCharge("county", 300, now);
    return second.status == Contracts::ChargeResult::Status::Charged;
}

/// Serves two customers alternately although one sends ten times as many requests.
auto serveFairly(TimePoint now) -> bool
{
    Admission::AdmissionQueue queue(Admission::makeQueueOrder("fair"), 1,
                                    std::chrono::milliseconds(10));
    std::uint64_t id = 0;
    const auto add = [&](const std::string &customer) {
        return queue.enqueue({++id, customer, 1, 10, "model", now, now + std::chrono::seconds(5)},
                             {}, now);
    };
    for (int i = 0; i < 20; ++i)
        add("greedy");
    for (int i = 0; i < 2; ++i)
        add("modest");
    int modest = 0;
    for (int i = 0; i < 4; ++i) {
        const auto next = queue.next([](const auto &) { return true; });
        modest += next->customer == "modest" ? 1 : 0;
        queue.finish(*next, 10, std::chrono::milliseconds(10));
    }
    std::cout << "of the first four served, the modest customer has " << modest << '\n';
    return modest == 2;
}

} // namespace

auto main() -> int
{
    const TimePoint now = TimePoint() + std::chrono::seconds(10);
    const bool isCharged = chargeAcrossEntries(now);
    const bool isFair = serveFairly(now);
    return isCharged && isFair ? 0 : 1;
}
