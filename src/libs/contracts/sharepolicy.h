#pragma once

#include <contracts/slice.h>
#include <contracts/transfer.h>

#include <memory>
#include <string>

namespace Contracts {

/// Decides how much of a slice an entry gives to another that asks.
class SharePolicy
{
public:
    virtual ~SharePolicy() = default;
    /// `held` is what the giver has, `recentUse` what its own callers wanted lately in tokens a
    /// second.
    virtual auto transferAmount(const TransferRequest &request, const SliceAmount &held,
                                double recentUse) const -> SliceAmount = 0;
};

/// Gives what its own callers do not need soon.
class DemandSharePolicy : public SharePolicy
{
public:
    auto transferAmount(const TransferRequest &request, const SliceAmount &held,
                        double recentUse) const -> SliceAmount override;
};

/// Gives nothing: each entry lives on its base slice. The baseline.
class StaticSharePolicy : public SharePolicy
{
public:
    auto transferAmount(const TransferRequest &request, const SliceAmount &held,
                        double recentUse) const -> SliceAmount override;
};

/// "demand" or "static"; null for any other name.
auto makeSharePolicy(const std::string &name) -> std::unique_ptr<SharePolicy>;

} // namespace Contracts
