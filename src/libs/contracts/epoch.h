#pragma once

#include <contracts/contract.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Contracts {

/// A numbered version of the contracts in force and of the entries that share them. Each entry is
/// listed with the incarnation that it had when the epoch was made.
struct Epoch
{
    std::uint64_t number = 0;
    std::map<std::string, std::string> incarnations;
    std::map<std::string, Contract> contracts;

    /// Returns whether the process with this name and incarnation takes part in the epoch.
    auto includes(const std::string &entry, const std::string &incarnation) const -> bool;
    /// The entries that hold base slices of `customer`; every node computes the same list.
    auto baseEntriesOf(const std::string &customer) const -> std::vector<std::string>;
    /// The fraction of `customer`'s contract that `entry` holds at the start of the epoch, from 0
    /// to 1.
    auto baseShare(const std::string &customer, const std::string &entry) const -> double;
};

auto toJson(const Epoch &epoch) -> nlohmann::json;
auto epochFromJson(const nlohmann::json &document) -> std::optional<Epoch>;

} // namespace Contracts
