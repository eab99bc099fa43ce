#pragma once

#include <utils/timepoint.h>

#include <chrono>
#include <string>
#include <vector>

namespace Admission {

/// When a model that requests wait for is expected to be loaded.
struct ExpectedModel
{
    std::string service;
    std::string model;
    std::chrono::milliseconds remaining{0};
};

/// Supplies the forecast of the gateway that holds the placement lease.
class ForecastSource
{
public:
    virtual ~ForecastSource() = default;
    /// The awaited models whose loads are expected, the earliest ones first.
    virtual auto expectedModels(Utils::TimePoint now) const -> std::vector<ExpectedModel> = 0;
};

} // namespace Admission
