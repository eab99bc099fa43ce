#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace Admission {

/// Tokens that a request may cost at most.
struct TokenEstimate
{
    double prompt = 0;
    double maxGenerated = 0;

    auto total() const -> double { return prompt + maxGenerated; }
};

/// Estimate for a completion's body; nothing when `max_tokens` is not a sensible number.
auto estimateCompletion(const nlohmann::json &body) -> std::optional<TokenEstimate>;
/// Estimate for a call to a plain service, by the size of its body in bytes.
auto estimateServiceCall(size_t bodyBytes) -> TokenEstimate;
/// The number of generated tokens that a completion's answer reports in its `usage`, if it does.
auto reportedTokens(const std::string &answerTail) -> std::optional<double>;

} // namespace Admission
