#pragma once

#include <contracts/contractbook.h>
#include <utils/timepoint.h>

#include <functional>
#include <memory>
#include <string>

namespace Node {
class FleetNode;
}

namespace Entry {

/// Charges requests to their customers' contracts. Requests transfers from other entries if this
/// entry's slice of a contract is not sufficient.
class ContractCharger
{
public:
    using ChargedCallback = std::function<void(const Contracts::ChargeResult &result)>;

    ContractCharger(Node::FleetNode &node, std::unique_ptr<Contracts::SharePolicy> policy);
    ~ContractCharger();

    /// Calls `done` once, at `deadline` at the latest.
    auto charge(const std::string &customer, const std::string &requestId, double tokens,
                Utils::TimePoint deadline, ChargedCallback done) -> void;
    auto refund(const std::string &customer, double tokens) -> void;
    auto status() const -> nlohmann::json;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Entry
