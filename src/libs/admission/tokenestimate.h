#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace Admission {

/// Upper limit on the tokens that a request may cost.
struct TokenEstimate
{
    double prompt = 0;
    double maxGenerated = 0;

    auto total() const -> double { return prompt + maxGenerated; }
};

/// Returns the estimate for a completion's body, or nothing if `max_tokens` is not a whole number
/// within its limits.
auto estimateCompletion(const nlohmann::json &body) -> std::optional<TokenEstimate>;
/// Returns the estimate for a call to a plain service from the size of its body in bytes.
auto estimateServiceCall(size_t bodyBytes) -> TokenEstimate;
/// Returns the number of generated tokens that the `usage` of a completion's answer reports, if
/// any.
auto reportedTokens(const std::string &answerTail) -> std::optional<double>;

} // namespace Admission
