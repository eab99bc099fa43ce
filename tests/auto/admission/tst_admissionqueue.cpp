#include <admission/admissionqueue.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace Admission;
using Utils::TimePoint;

namespace {

using Milliseconds = std::chrono::milliseconds;
const TimePoint start = TimePoint() + std::chrono::hours(1);

auto request(std::uint64_t id, const std::string &customer,
             Milliseconds deadline = Milliseconds(10000), double cost = 10) -> QueuedRequest
{
    return {id, customer, 1, cost, "m", start, start + deadline};
}

auto makeQueue(const std::string &order, int slots) -> AdmissionQueue
{
    return AdmissionQueue(makeQueueOrder(order), slots, Milliseconds(100));
}

const auto always = [](const QueuedRequest &) { return true; };

/// Serves up to `count` requests and returns how many of them belong to the customer.
auto servedRequestsOf(AdmissionQueue &queue, const std::string &customer, int count) -> int
{
    int served = 0;
    for (int i = 0; i < count; ++i) {
        const auto next = queue.next(always);
        if (!next)
            break;
        served += next->customer == customer ? 1 : 0;
        queue.finish(*next, next->cost, Milliseconds(100));
    }
    return served;
}

} // namespace

TEST(AdmissionQueue, ACustomerThatSendsMoreGetsNoLargerShare)
{
    for (const auto &[order, least] : {std::pair("fair", 9), std::pair("first-come", 0)}) {
        auto queue = makeQueue(order, 1);
        std::uint64_t id = 0;
        for (int i = 0; i < 50; ++i)
            ASSERT_FALSE(queue.enqueue(request(++id, "greedy"), {}, start));
        for (int i = 0; i < 10; ++i)
            ASSERT_FALSE(queue.enqueue(request(++id, "modest"), {}, start));
        const int modest = servedRequestsOf(queue, "modest", 20);
        if (least > 0)
            EXPECT_GE(modest, least) << order;
        else
            EXPECT_EQ(modest, 0) << "the baseline serves all requests of the greedy customer first";
    }
}

TEST(AdmissionQueue, IdleTimeEarnsNoPriority)
{
    auto queue = makeQueue("fair", 1);
    std::uint64_t id = 0;
    for (int i = 0; i < 40; ++i)
        ASSERT_FALSE(queue.enqueue(request(++id, "steady"), {}, start));
    servedRequestsOf(queue, "steady", 20);
    for (int i = 0; i < 20; ++i)
        ASSERT_FALSE(queue.enqueue(request(++id, "late"), {}, start));
    EXPECT_LE(servedRequestsOf(queue, "late", 10), 6);
}

TEST(AdmissionQueue, RefusesOnArrivalWhatCannotMeetItsDeadline)
{
    auto queue = makeQueue("fair", 1);
    const auto late = queue.enqueue(request(1, "a", Milliseconds(0)), {}, start);
    ASSERT_TRUE(late);
    EXPECT_EQ(late->reason, RefusalReason::DeadlinePassed);
    const auto cold = queue.enqueue(request(2, "a", Milliseconds(500)), Milliseconds(2000), start);
    ASSERT_TRUE(cold);
    EXPECT_EQ(cold->reason, RefusalReason::WouldMissDeadline);
    EXPECT_EQ(cold->ran, Ran::No);
    EXPECT_GE(cold->retryAfter, Milliseconds(2000));
    EXPECT_EQ(queue.waiting(), 0U);
}

TEST(AdmissionQueue, RequestsExpireAtTheirDeadline)
{
    auto queue = makeQueue("fair", 1);
    ASSERT_FALSE(queue.enqueue(request(1, "a", Milliseconds(100)), {}, start));
    ASSERT_FALSE(queue.enqueue(request(2, "a", Milliseconds(300)), {}, start));
    EXPECT_EQ(*queue.nextDeadline(), start + Milliseconds(100));
    const auto expired = queue.takeExpired(start + Milliseconds(100));
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].id, 1U);
    EXPECT_EQ(queue.waiting(), 1U);
}

TEST(AdmissionQueue, SkipsRequestsThatAreNotReady)
{
    auto queue = makeQueue("fair", 2);
    queue.enqueue(request(1, "a"), {}, start);
    queue.enqueue(request(2, "a"), {}, start);
    const auto next = queue.next([](const auto &queued) { return queued.id == 2; });
    ASSERT_TRUE(next);
    EXPECT_EQ(next->id, 2U);
    EXPECT_FALSE(queue.next([](const auto &queued) { return queued.id == 2; }));
}

RC_GTEST_PROP(AdmissionQueue, EveryRequestLeavesExactlyOnce, ())
{
    auto queue =
        makeQueue(*rc::gen::element<std::string>("fair", "first-come"), *rc::gen::inRange(1, 5));
    std::map<std::uint64_t, int> left;
    std::vector<QueuedRequest> running;
    std::uint64_t id = 0;
    std::uint64_t accepted = 0;
    TimePoint now = start;
    for (int i = 0; i < 200; ++i) {
        now += Milliseconds(*rc::gen::inRange(0, 50));
        switch (*rc::gen::inRange(0, 4)) {
        case 0: {
            auto next =
                request(++id, std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3))));
            next.deadline = now + Milliseconds(*rc::gen::inRange(0, 3000));
            accepted += queue.enqueue(next, {}, now) ? 0 : 1;
            break;
        }
        case 1:
            if (const auto next = queue.next(always)) {
                ++left[next->id];
                running.push_back(*next);
            }
            break;
        case 2:
            if (!running.empty()) {
                queue.finish(running.back(), 5, Milliseconds(20));
                running.pop_back();
            }
            break;
        default:
            for (const auto &expired : queue.takeExpired(now))
                ++left[expired.id];
        }
        RC_ASSERT(queue.running() == static_cast<int>(running.size()));
    }
    for (const auto &rest : queue.takeAll())
        ++left[rest.id];
    RC_ASSERT(left.size() == accepted);
    for (const auto &[number, times] : left)
        RC_ASSERT(times == 1);
}
