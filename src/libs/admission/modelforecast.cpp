#include "modelforecast.h"

#include "admissionconstants.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Admission {

using nlohmann::json;
using std::chrono::milliseconds;
using Utils::TimePoint;

namespace {

/// Spread of the expected time: loads from the weight store vary by this part of their time.
constexpr double RelativeSpread = 0.25;
/// Smallest spread: the interval between two of the holder's messages.
constexpr milliseconds MinSpread(250);
/// Longest service and model name, so that a forecast fits into a datagram.
constexpr size_t MaxNameBytes = 256;

} // namespace

auto ModelForecast::receive(const std::vector<ExpectedModel> &expected, milliseconds age,
                            TimePoint now) -> void
{
    m_expectedAt.clear();
    m_madeAt = now - age;
    for (const ExpectedModel &next : expected) {
        const auto at = *m_madeAt + next.remaining;
        const auto [entry, isNew] = m_expectedAt.emplace(std::pair(next.service, next.model), at);
        entry->second = std::min(entry->second, at);
    }
}

auto ModelForecast::clear() -> void
{
    m_expectedAt.clear();
    m_madeAt.reset();
}

auto ModelForecast::isUsable(TimePoint now) const -> bool
{
    return m_madeAt && now - *m_madeAt <= Constants::ForecastLifetime;
}

auto ModelForecast::age(TimePoint now) const -> std::optional<Utils::Duration>
{
    return m_madeAt ? std::optional(now - *m_madeAt) : std::nullopt;
}

auto ModelForecast::waitFor(const std::string &service, const std::string &model,
                            TimePoint now) const -> std::optional<WaitEstimate>
{
    const auto found = m_expectedAt.find({service, model});
    if (!isUsable(now) || found == m_expectedAt.end())
        return {};
    const auto expected = std::max(found->second - now, Utils::Duration::zero());
    return WaitEstimate{
        expected,
        std::max<Utils::Duration>(
            std::chrono::duration_cast<Utils::Duration>(expected * RelativeSpread), MinSpread),
        0};
}

auto ModelForecast::toJson(const std::vector<ExpectedModel> &expected) -> json
{
    json field = json::array();
    for (const ExpectedModel &next : expected) {
        if (field.size() >= Constants::MaxForecastModels)
            break;
        if (next.service.size() + next.model.size() <= MaxNameBytes)
            field.push_back({next.service, next.model, next.remaining.count()});
    }
    return field;
}

auto ModelForecast::fromJson(const json &field) -> std::optional<std::vector<ExpectedModel>>
{
    if (!field.is_array())
        return {};
    std::vector<ExpectedModel> expected;
    constexpr size_t entryFields = 3;
    for (const json &entry : field) {
        if (expected.size() >= Constants::MaxForecastModels)
            break;
        if (!entry.is_array() || entry.size() != entryFields || !entry[0].is_string()
            || !entry[1].is_string() || !entry[2].is_number_integer())
            continue;
        const milliseconds remaining(
            std::clamp<std::int64_t>(entry[2].get<std::int64_t>(), 0, Utils::MaxDuration.count()));
        expected.push_back({entry[0], entry[1], remaining});
    }
    return expected;
}

} // namespace Admission
