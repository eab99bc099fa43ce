#include <membership/leaderlease.h>
#include <membership/membershipconstants.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

using namespace Membership;
using Utils::TimePoint;

namespace {

constexpr std::chrono::milliseconds step(100);

struct Holder
{
    std::unique_ptr<LeaderLease> lease;
    bool isPaused = false;
};

} // namespace

RC_GTEST_PROP(LeaderLease, NeverHeldByTwoRunningProcesses, ())
{
    std::mt19937 random(*rc::gen::arbitrary<unsigned>());
    const auto chance = [&random](double p) {
        return std::uniform_real_distribution<>()(random) < p;
    };
    LeaseRow row;
    std::vector<Holder> holders(3);
    for (size_t i = 0; i < holders.size(); ++i)
        holders[i].lease = std::make_unique<LeaderLease>("h" + std::to_string(i));
    TimePoint now = TimePoint() + std::chrono::hours(1);
    int held = 0;
    for (int i = 0; i < 2000; ++i) {
        now += step;
        for (size_t h = 0; h < holders.size(); ++h) {
            auto &holder = holders[h];
            if (chance(0.005))
                holder.isPaused = !holder.isPaused;
            if (holder.isPaused)
                continue;
            switch (holder.lease->tick(now)) {
            case LeaseStep::Read:
                if (chance(0.1))
                    holder.lease->handleFailure();
                else
                    holder.lease->handleRow(row, now);
                break;
            case LeaseStep::Write:
                if (row.version == holder.lease->expectedVersion()) {
                    row = {"h" + std::to_string(h), row.version + 1};
                    if (chance(0.1))
                        holder.lease->handleFailure(); // The answer was lost after taking effect.
                    else
                        holder.lease->handleWritten(row.version, now);
                } else {
                    holder.lease->handleFailure();
                }
                break;
            case LeaseStep::Nothing:
                break;
            }
        }
        int count = 0;
        for (const auto &holder : holders)
            count += holder.lease->isHeld(now) ? 1 : 0;
        RC_ASSERT(count <= 1);
        held += count;
    }
    RC_ASSERT(held > 0);
}
