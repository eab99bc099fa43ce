#pragma once

#include "modelstate.h"
#include "requestscheduler.h"
#include "waitestimator.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Admission {

class ModelForecast;

/// Decides for the waiting requests of one gateway which of them are offered free slots first and
/// which are refused early. Opens no socket and reads no clock.
class AdmissionController
{
public:
    using ModelStates = std::function<ModelState(const WaitingRequest &)>;

    /// What an early refusal is based on.
    enum class Ground {
        Slots, ///< The requests ahead of it use the slots for too long.
        ExpectedLoad, ///< Its model is being loaded, but not in time.
        LoadTime, ///< Its model can't be loaded in time according to the configuration.
    };

    struct EarlyRefusal
    {
        std::uint64_t id = 0;
        Ground ground = Ground::Slots;
        WaitEstimate estimate;
        WaitEstimator::Ahead ahead;
        Utils::Duration limit{0}; ///< How long the request could have waited.
        std::optional<Utils::Duration> forecastAge = {}; ///< If there is a forecast.
    };

    AdmissionController(std::unique_ptr<RequestScheduler> scheduler,
                        std::unique_ptr<WaitEstimator> estimator);

    /// `forecast` must outlive the controller.
    auto setModelStates(ModelStates states, const ModelForecast &forecast) -> void;

    auto scheduler() const -> const RequestScheduler & { return *m_scheduler; }
    auto noteArrived(const WaitingRequest &request, Utils::TimePoint now) -> void;
    /// A request got a slot. `isFirst` is false for one that was sent before.
    auto noteSent(const WaitingRequest &request, bool isFirst, Utils::TimePoint now) -> void;
    auto noteAnswered(const WaitingRequest &request, Utils::Duration taken) -> void;
    auto add(const WaitingRequest &request, Utils::TimePoint now) -> void;
    auto remove(std::uint64_t id, Utils::TimePoint now) -> void;
    auto order(Utils::TimePoint now) -> const std::vector<std::uint64_t> &;
    /// The requests that clearly can't get a slot in time, given the last order. Looks for them a
    /// few times in an objective's length, and returns none in between.
    auto findHopeless(Utils::TimePoint now) -> std::vector<EarlyRefusal>;
    /// Expected time until the waiting request gets a slot, as of the last pass.
    auto expectedWait(std::uint64_t id) const -> std::optional<Utils::Duration>;

    static auto nameOf(Ground ground) -> const char *;

private:
    auto modelStateOf(const WaitingRequest &request) const -> ModelState;
    auto examine(const WaitingRequest &request, const ModelState &state,
                 const WaitEstimator::Ahead &ahead, Utils::TimePoint now)
        -> std::optional<EarlyRefusal>;
    auto waitForModel(const WaitingRequest &request, const ModelState &state,
                      Utils::TimePoint now) const -> std::optional<WaitEstimate>;

    std::unique_ptr<RequestScheduler> m_scheduler;
    std::unique_ptr<WaitEstimator> m_estimator;
    ModelStates m_modelStates;
    const ModelForecast *m_forecast = nullptr;
    std::vector<std::uint64_t> m_order;
    Utils::TimePoint m_nextReview;
    std::map<std::uint64_t, Utils::Duration> m_expectedWaits;
};

} // namespace Admission
