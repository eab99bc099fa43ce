#include "admissioncontroller.h"

#include "admissionconstants.h"
#include "modelforecast.h"

#include <algorithm>

namespace Admission {

using Utils::Duration;
using Utils::TimePoint;

namespace {

/// Spread of a load time from the configuration, as a part of it: the load may have begun already,
/// or wait for other loads.
constexpr double LoadTimeSpread = 0.3;

} // namespace

AdmissionController::AdmissionController(std::unique_ptr<RequestScheduler> scheduler,
                                         std::unique_ptr<WaitEstimator> estimator)
    : m_scheduler(std::move(scheduler))
    , m_estimator(std::move(estimator))
{ }

auto AdmissionController::nameOf(Ground ground) -> const char *
{
    switch (ground) {
    case Ground::ExpectedLoad:
        return "expected_load";
    case Ground::LoadTime:
        return "load_time";
    case Ground::Slots:
        break;
    }
    return "slots";
}

auto AdmissionController::setModelStates(ModelStates states, const ModelForecast &forecast) -> void
{
    m_modelStates = std::move(states);
    m_forecast = &forecast;
}

auto AdmissionController::noteArrived(const WaitingRequest &request, TimePoint now) -> void
{
    m_scheduler->noteArrived(request, now);
}

auto AdmissionController::noteSent(const WaitingRequest &request, bool isFirst, TimePoint now)
    -> void
{
    if (isFirst)
        m_scheduler->noteSent(request, now);
    if (m_scheduler->find(request.id))
        m_estimator->noteGranted(request, now);
}

auto AdmissionController::noteAnswered(const WaitingRequest &request, Duration taken) -> void
{
    m_scheduler->noteAnswered(request, taken);
}

auto AdmissionController::add(const WaitingRequest &request, TimePoint now) -> void
{
    m_scheduler->add(request);
    m_estimator->noteWaiting(request, now);
}

auto AdmissionController::remove(std::uint64_t id, TimePoint now) -> void
{
    const WaitingRequest *request = m_scheduler->find(id);
    if (!request)
        return;
    m_estimator->noteEnded(*request, now);
    m_scheduler->remove(id, now);
    m_expectedWaits.erase(id);
}

auto AdmissionController::order(TimePoint now) -> const std::vector<std::uint64_t> &
{
    m_order = m_scheduler->order(now);
    return m_order;
}

auto AdmissionController::waitForModel(const WaitingRequest &request, const ModelState &state,
                                       TimePoint now) const -> std::optional<WaitEstimate>
{
    if (!state.loadTime)
        return {};
    const auto since = m_estimator->waitingSince(request).value_or(now);
    // A holder that sends forecasts and lists no load has not ordered one yet.
    const bool isKnownToBeUnordered = m_forecast && m_forecast->isUsable(now);
    const auto expected = isKnownToBeUnordered ? *state.loadTime : since + *state.loadTime - now;
    return WaitEstimate{std::max(expected, Duration::zero()),
                        std::chrono::duration_cast<Duration>(*state.loadTime * LoadTimeSpread), 0};
}

auto AdmissionController::modelStateOf(const WaitingRequest &request) const -> ModelState
{
    return m_modelStates && !request.model.empty() ? m_modelStates(request) : ModelState();
}

auto AdmissionController::examine(const WaitingRequest &request, const ModelState &state,
                                  const WaitEstimator::Ahead &ahead, TimePoint now)
    -> std::optional<EarlyRefusal>
{
    EarlyRefusal refusal;
    refusal.id = request.id;
    refusal.ahead = ahead;
    refusal.limit = request.waitEnd - now;
    refusal.forecastAge = m_forecast ? m_forecast->age(now) : std::nullopt;
    std::optional<WaitEstimate> estimate;
    if (state.isHeld) {
        estimate = m_estimator->estimate(request, ahead, now);
    } else if (m_forecast
               && (estimate = m_forecast->waitFor(request.service, request.model, now))) {
        refusal.ground = Ground::ExpectedLoad;
    } else {
        estimate = waitForModel(request, state, now);
        refusal.ground = Ground::LoadTime;
    }
    if (!estimate)
        return {};
    m_expectedWaits[request.id] = estimate->expected;
    refusal.estimate = *estimate;
    // The first request of a pool keeps waiting: a slot may be found at any moment, and a model
    // that nobody waits for is not loaded.
    const bool mayRefuse = ahead.inPool > 0 || refusal.ground == Ground::ExpectedLoad;
    if (!mayRefuse || !estimate->isClearlyBeyond(refusal.limit))
        return {};
    return refusal;
}

auto AdmissionController::findHopeless(TimePoint now) -> std::vector<EarlyRefusal>
{
    std::vector<EarlyRefusal> hopeless;
    if (now < m_nextReview)
        return hopeless;
    m_nextReview = now + Constants::ReviewInterval;
    std::map<std::string, std::pair<int, ModelState>> pools; // Requests ahead, by pool.
    std::map<std::string, int> classes; // The same by urgency class.
    for (const std::uint64_t id : m_order) {
        const WaitingRequest *request = m_scheduler->find(id);
        if (!request)
            continue;
        const std::string name = request->pool();
        auto pool = pools.find(name);
        if (pool == pools.end())
            pool = pools.emplace(name, std::pair(0, modelStateOf(*request))).first;
        int &inPool = pool->second.first;
        int &inClass = classes[request->urgencyClass()];
        if (const auto refusal = examine(*request, pool->second.second, {inPool, inClass}, now)) {
            hopeless.push_back(*refusal);
            continue;
        }
        ++inPool;
        ++inClass;
    }
    return hopeless;
}

auto AdmissionController::expectedWait(std::uint64_t id) const -> std::optional<Duration>
{
    const auto found = m_expectedWaits.find(id);
    return found == m_expectedWaits.end() ? std::nullopt : std::optional(found->second);
}

} // namespace Admission
