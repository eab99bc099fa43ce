#pragma once

#include <utils/timepoint.h>

#include <deque>
#include <memory>
#include <string>

namespace Placement {

/// Decides how long an unused model stays loaded.
class KeepWarmPolicy
{
public:
    virtual ~KeepWarmPolicy() = default;
    /// `gaps` are the most recent times between two uses, oldest first.
    virtual auto idleLimit(const std::deque<Utils::Duration> &gaps) const -> Utils::Duration = 0;
};

/// Keeps all models loaded for the same time. Serves as the baseline for comparisons.
class FixedKeepWarmPolicy : public KeepWarmPolicy
{
public:
    explicit FixedKeepWarmPolicy(Utils::Duration limit);
    auto idleLimit(const std::deque<Utils::Duration> &gaps) const -> Utils::Duration override;

private:
    Utils::Duration m_limit;
};

/// Keeps a model loaded across nearly all of its past gaps if they are short, and unloads it early
/// if they are long.
class HistoryKeepWarmPolicy : public KeepWarmPolicy
{
public:
    HistoryKeepWarmPolicy(Utils::Duration minimum, Utils::Duration maximum);
    auto idleLimit(const std::deque<Utils::Duration> &gaps) const -> Utils::Duration override;

private:
    Utils::Duration m_minimum;
    Utils::Duration m_maximum;
};

/// Creates the policy named "history" or "fixed"; returns null for any other name.
auto makeKeepWarmPolicy(const std::string &name) -> std::unique_ptr<KeepWarmPolicy>;

} // namespace Placement
