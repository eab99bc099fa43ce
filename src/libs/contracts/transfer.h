#pragma once

#include <contracts/slice.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace Contracts {

/// One entry's question to another for a part of its slice.
struct TransferRequest
{
    std::string from;
    std::string fromIncarnation;
    std::uint64_t epoch = 0;
    std::string customer;
    /// Decides between two entries that both lack tokens: the smaller one is served first.
    std::string requestId;
    double tokens = 0; ///< Tokens that are missing now.
    double recentUse = 0; ///< Tokens a second that the asker's callers wanted lately.
};

/// A part of a slice on its way; applied once by its receiver, resent until acknowledged.
struct Transfer
{
    std::string from;
    std::string fromIncarnation;
    std::string to;
    std::string toIncarnation; ///< A restarted receiver must not apply it a second time.
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
