#include "arrivals.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace Load {

namespace {

using Microseconds = std::chrono::microseconds;

/// Chooses models by a Zipf distribution over their order, which is shuffled at every shift.
class ModelSelector
{
public:
    ModelSelector(const LoadShape &shape, std::mt19937 &random)
        : m_random(random)
        , m_order(shape.models)
    {
        std::vector<double> weights;
        for (size_t rank = 1; rank <= m_order.size(); ++rank)
            weights.push_back(1.0 / std::pow(static_cast<double>(rank), shape.modelSkew));
        m_ranks = std::discrete_distribution<size_t>(weights.begin(), weights.end());
        std::shuffle(m_order.begin(), m_order.end(), m_random);
        if (shape.shiftsPerMinute > 0)
            m_shiftPeriod = Microseconds(std::llround(60e6 / shape.shiftsPerMinute));
    }

    auto select(Microseconds at) -> std::string
    {
        while (m_shiftPeriod.count() > 0 && at >= m_lastShift + m_shiftPeriod) {
            m_lastShift += m_shiftPeriod;
            std::shuffle(m_order.begin(), m_order.end(), m_random);
        }
        return m_order[m_ranks(m_random)];
    }

private:
    std::mt19937 &m_random;
    std::vector<std::string> m_order;
    std::discrete_distribution<size_t> m_ranks;
    Microseconds m_shiftPeriod{0};
    Microseconds m_lastShift{0};
};

auto addSteadyArrivals(const LoadShape &shape, std::mt19937 &random, std::vector<Arrival> &arrivals)
    -> void
{
    for (size_t customer = 0; customer < shape.customers.size(); ++customer) {
        const double rate = shape.customers[customer].requestsPerSecond;
        if (rate <= 0)
            continue;
        std::exponential_distribution<double> gap(rate);
        double seconds = gap(random);
        while (seconds * 1000 < static_cast<double>(shape.duration.count())) {
            arrivals.push_back({Microseconds(std::llround(seconds * 1e6)),
                                customer,
                                {},
                                random() % shape.entries.size()});
            seconds += gap(random);
        }
    }
}

auto addBurstArrivals(const LoadShape &shape, std::mt19937 &random, std::vector<Arrival> &arrivals)
    -> void
{
    for (const auto &burst : shape.bursts) {
        for (int i = 0; i < burst.requests; ++i) {
            const size_t customer = random() % shape.customers.size();
            arrivals.push_back(
                {burst.at, customer, burst.model, static_cast<size_t>(i) % shape.entries.size()});
        }
    }
}

} // namespace

auto makeArrivals(const LoadShape &shape) -> std::vector<Arrival>
{
    std::mt19937 random(shape.seed);
    std::vector<Arrival> arrivals;
    addSteadyArrivals(shape, random, arrivals);
    addBurstArrivals(shape, random, arrivals);
    std::stable_sort(arrivals.begin(), arrivals.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    ModelSelector selector(shape, random);
    for (auto &arrival : arrivals) {
        if (arrival.model.empty())
            arrival.model = selector.select(arrival.at);
    }
    return arrivals;
}

} // namespace Load
