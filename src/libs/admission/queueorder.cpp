#include "queueorder.h"

#include <algorithm>
#include <map>

namespace Admission {

namespace {

class FirstComeOrder : public QueueOrder
{
public:
    auto choose(const std::vector<const QueuedRequest *> &) -> size_t override { return 0; }
    auto noteArrival(const QueuedRequest &, const std::map<std::string, int> &) -> void override { }
    auto noteServed(const QueuedRequest &, double) -> void override { }
};

/// Fair queueing with virtual token counters: the customer with the least work per weight goes
/// first. A customer that was idle starts at the lowest counter of the waiting customers, so that
/// it gains no priority for a burst from its idle time.
class FairOrder : public QueueOrder
{
public:
    auto choose(const std::vector<const QueuedRequest *> &ready) -> size_t override
    {
        size_t best = 0;
        for (size_t i = 1; i < ready.size(); ++i) {
            if (m_work[ready[i]->customer] < m_work[ready[best]->customer])
                best = i;
        }
        const auto &chosen = *ready[best];
        m_work[chosen.customer] += chosen.cost / chosen.weight;
        return best;
    }

    auto noteArrival(const QueuedRequest &request,
                     const std::map<std::string, int> &waitingCustomers) -> void override
    {
        double least = -1;
        for (const auto &[customer, count] : waitingCustomers) {
            const double work = m_work[customer];
            least = least < 0 ? work : std::min(least, work);
        }
        double &own = m_work[request.customer];
        if (least >= 0)
            own = std::max(own, least);
    }

    auto noteServed(const QueuedRequest &request, double tokens) -> void override
    {
        m_work[request.customer] += (tokens - request.cost) / request.weight;
    }

private:
    std::map<std::string, double> m_work; // Tokens served per weight, by customer.
};

} // namespace

auto makeQueueOrder(const std::string &name) -> std::unique_ptr<QueueOrder>
{
    if (name == "fair")
        return std::make_unique<FairOrder>();
    if (name == "first-come")
        return std::make_unique<FirstComeOrder>();
    return nullptr;
}

} // namespace Admission
