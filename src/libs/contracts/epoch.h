#pragma once

#include <contracts/contract.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Contracts {

/// From one number on: the contracts in force and the entries that share them, with the incarnation
/// each had then.
struct Epoch
{
    std::uint64_t number = 0;
    std::map<std::string, std::string> incarnations;
    std::map<std::string, Contract> contracts;

    /// True when the process of that name and incarnation has a part.
    auto includes(const std::string &entry, const std::string &incarnation) const -> bool;
    /// The entries that hold base slices of `customer`, the same on every node.
    auto baseEntriesOf(const std::string &customer) const -> std::vector<std::string>;
    /// The part of `customer`'s contract that `entry` begins with, from 0 to 1.
    auto baseShare(const std::string &customer, const std::string &entry) const -> double;
};

auto toJson(const Epoch &epoch) -> nlohmann::json;
auto epochFromJson(const nlohmann::json &document) -> std::optional<Epoch>;

} // namespace Contracts
