#pragma once

#include <contracts/slice.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Contracts {

/// One entry's request to another for a part of that entry's slice.
struct TransferRequest
{
    std::string from;
    std::string fromIncarnation;
    std::uint64_t epoch = 0;
    std::string customer;
    /// Sets the priority between entries that lack tokens: the smaller id is served first.
    std::string requestId;
    double tokens = 0; ///< Number of missing tokens.
    double recentUse = 0; ///< Recent demand of the requester's callers in tokens a second.
};

/// A part of a slice that is sent to another entry. It is resent until it is acknowledged; the
/// receiver applies it once.
struct Transfer
{
    std::string from;
    std::string fromIncarnation;
    std::string to;
    std::string toIncarnation; ///< Keeps a restarted receiver from applying it again.
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::string customer;
    SliceAmount amount;
};

auto toJson(const TransferRequest &request) -> nlohmann::json;
auto transferRequestFromJson(const nlohmann::json &document) -> std::optional<TransferRequest>;
auto toJson(const Transfer &transfer) -> nlohmann::json;
auto transferFromJson(const nlohmann::json &document) -> std::optional<Transfer>;

} // namespace Contracts
