#pragma once

#include <utils/timepoint.h>

#include <deque>
#include <memory>
#include <string>

namespace Placement {

/// How long a model that nobody uses stays loaded.
class KeepWarmPolicy
{
public:
    virtual ~KeepWarmPolicy() = default;
    /// `gaps` are the latest times between uses, oldest first.
    virtual auto idleLimit(const std::deque<Utils::Duration> &gaps) const -> Utils::Duration = 0;
};

/// One time for all models. The baseline.
class FixedKeepWarmPolicy : public KeepWarmPolicy
{
public:
    explicit FixedKeepWarmPolicy(Utils::Duration limit);
    auto idleLimit(const std::deque<Utils::Duration> &gaps) const -> Utils::Duration override;

private:
    Utils::Duration m_limit;
};

/// Waits out nearly all of the model's own gaps when they are short, and lets go soon when they are
/// not.
class HistoryKeepWarmPolicy : public KeepWarmPolicy
{
public:
    HistoryKeepWarmPolicy(Utils::Duration minimum, Utils::Duration maximum);
    auto idleLimit(const std::deque<Utils::Duration> &gaps) const -> Utils::Duration override;

private:
    Utils::Duration m_minimum;
    Utils::Duration m_maximum;
};

/// "history" or "fixed"; null for any other name.
auto makeKeepWarmPolicy(const std::string &name) -> std::unique_ptr<KeepWarmPolicy>;

} // namespace Placement
