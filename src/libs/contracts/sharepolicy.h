#pragma once

#include <contracts/slice.h>
#include <contracts/transfer.h>

#include <memory>
#include <string>

namespace Contracts {

/// Decides how much of its slice an entry transfers to an entry that requests tokens.
class SharePolicy
{
public:
    virtual ~SharePolicy() = default;
    /// `held` is the giver's slice; `recentUse` is the recent demand of the giver's own callers in
    /// tokens a second.
    virtual auto transferAmount(const TransferRequest &request, const SliceAmount &held,
                                double recentUse) const -> SliceAmount = 0;
};

/// Gives what the entry's own callers are not expected to need soon.
class DemandSharePolicy : public SharePolicy
{
public:
    auto transferAmount(const TransferRequest &request, const SliceAmount &held,
                        double recentUse) const -> SliceAmount override;
};

/// Gives nothing: each entry is limited to its base slice. The baseline for comparisons.
class StaticSharePolicy : public SharePolicy
{
public:
    auto transferAmount(const TransferRequest &request, const SliceAmount &held,
                        double recentUse) const -> SliceAmount override;
};

/// Creates the policy "demand" or "static"; returns null for any other name.
auto makeSharePolicy(const std::string &name) -> std::unique_ptr<SharePolicy>;

} // namespace Contracts
