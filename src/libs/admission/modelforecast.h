#pragma once

#include "forecastsource.h"
#include "waitestimate.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace Admission {

/// The forecast of the placement lease's holder, as last received.
class ModelForecast
{
public:
    /// `age` is the time since the forecast was made. Replaces the previous forecast.
    auto receive(const std::vector<ExpectedModel> &expected, std::chrono::milliseconds age,
                 Utils::TimePoint now) -> void;
    /// Discards the forecast of a holder that sends none.
    auto clear() -> void;
    /// False if there is no forecast, or if it is too old to be used.
    auto isUsable(Utils::TimePoint now) const -> bool;
    auto age(Utils::TimePoint now) const -> std::optional<Utils::Duration>;
    /// Unset if the forecast is not usable or does not list the model.
    auto waitFor(const std::string &service, const std::string &model, Utils::TimePoint now) const
        -> std::optional<WaitEstimate>;

    /// The field of a message; entries beyond `Constants::MaxForecastModels` are left out.
    static auto toJson(const std::vector<ExpectedModel> &expected) -> nlohmann::json;
    /// Skips entries that can't be read; unset if the field is no forecast.
    static auto fromJson(const nlohmann::json &field) -> std::optional<std::vector<ExpectedModel>>;

private:
    std::map<std::pair<std::string, std::string>, Utils::TimePoint> m_expectedAt;
    std::optional<Utils::TimePoint> m_madeAt;
};

} // namespace Admission
