// Load pattern: a third of the servers take 1.7 times as long for good, the others 0.7 times.

#include <routing/routingconstants.h>
#include <routing/serverselector.h>

#include <gtest/gtest.h>

#include <random>

using namespace Routing;
using namespace std::chrono_literals;
using Utils::TimePoint;

namespace {

const TimePoint start = TimePoint() + 1h;

/// Some servers of one service, each with its true time relative to the usual one.
class Service
{
public:
    explicit Service(std::vector<double> times, std::vector<std::string> models = {""})
        : m_times(std::move(times))
        , m_models(std::move(models))
    {
        for (size_t i = 0; i < m_times.size(); ++i)
            m_states.push_back(m_selector.makeState());
    }

    /// Plays responses of servers with changing load; single responses vary by `spread`.
    auto measure(int responsesPerServer, double spread) -> void
    {
        std::lognormal_distribution<double> noise(0, spread);
        std::uniform_int_distribution<int> load(0, 12);
        for (int round = 0; round < responsesPerServer; ++round) {
            for (size_t i = 0; i < m_states.size(); ++i) {
                RequestProfile request;
                request.service = "chat";
                request.model = m_models[i % m_models.size()];
                const double length = request.model == "large" ? 4 : 1;
                RunningRequest run;
                run.sentAt = m_now;
                run.load = load(m_random);
                m_selector.noteSent(request, run, m_states[i]);
                const Milliseconds time(length * (40 + 10 * run.load) * m_times[i]
                                        * noise(m_random));
                m_selector.noteEvents(request, run, m_states[i], 1,
                                      m_now + std::chrono::duration_cast<Utils::Duration>(time));
            }
            m_now += 100ms;
            std::vector<ServerView> views;
            for (const ServerState &state : m_states)
                views.push_back({&state, 0, 32, false});
            m_selector.observe("chat", views, m_now);
        }
    }

    auto score(size_t server, double load, Utils::Duration later = 0s) const -> double
    {
        RequestProfile request;
        request.service = "chat";
        request.model = m_models[server % m_models.size()];
        return m_selector.weigh(&request, m_now + later).score(m_states[server], load, false);
    }

    auto restart(size_t server) -> void { m_states[server] = m_selector.makeState(); }

private:
    std::vector<double> m_times;
    std::vector<std::string> m_models;
    ServerSelector m_selector{1};
    std::vector<ServerState> m_states;
    std::mt19937 m_random{7};
    TimePoint m_now = start;
};

constexpr double usualSpread = 0.4;

} // namespace

// Guards against idle slow servers that are chosen like idle fast ones.
TEST(ServerSpeed, SlowThirdIsRecognized)
{
    Service service({0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7});
    service.measure(60, usualSpread);
    for (const size_t fast : {0, 1, 3, 4, 6, 7}) {
        EXPECT_EQ(service.score(fast, 3), 3) << "the median server is the usual one";
        EXPECT_LT(service.score(fast, 3), service.score(2, 0));
        EXPECT_GT(service.score(fast, 12), service.score(2, 0)) << "slow is better than crowded";
    }
}

// Guards against a selection that differs from the one by load alone where nothing calls for it.
TEST(ServerSpeed, EqualServersScoreTheirLoad)
{
    for (const double time : {0.7, 1.0, 1.7}) {
        Service service(std::vector<double>(12, time));
        service.measure(200, usualSpread);
        for (size_t i = 0; i < 12; ++i) {
            for (const double load : {0.0, 1.0, 7.0})
                EXPECT_EQ(service.score(i, load), load) << i;
        }
    }
}

// Guards against servers that count as slow because the model that they hold takes longer.
TEST(ServerSpeed, OnlyServersOfOneModelAreCompared)
{
    Service service(std::vector<double>(12, 1.0), {"small", "large"});
    service.measure(200, usualSpread);
    for (size_t i = 0; i < 12; ++i)
        EXPECT_EQ(service.score(i, 2), 2) << i;
}

// Guards against a speed that outlives the process or the responses that showed it.
TEST(ServerSpeed, RestartedOrSilentServerCountsLikeTheMedian)
{
    Service service({0.7, 0.7, 1.7, 0.7, 0.7, 1.7});
    service.measure(60, usualSpread);
    EXPECT_GT(service.score(2, 1), 1.5);
    EXPECT_EQ(service.score(2, 1, Constants::SpeedLifetime + 1s), 1);
    service.restart(2);
    EXPECT_EQ(service.score(2, 1), 1);
    EXPECT_GT(service.score(5, 1), 1.5);
}
