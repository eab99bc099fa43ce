#include "tokenestimate.h"

#include "admissionconstants.h"

#include <cmath>
#include <cstdlib>

namespace Admission {

using nlohmann::json;

namespace {

auto promptBytes(const json &body) -> size_t
{
    if (body.contains("prompt"))
        return body["prompt"].is_string() ? body["prompt"].get_ref<const std::string &>().size()
                                          : body["prompt"].dump().size();
    return body.contains("messages") ? body["messages"].dump().size() : 0;
}

} // namespace

auto estimateCompletion(const json &body) -> std::optional<TokenEstimate>
{
    constexpr double maxAllowed = 1e6;
    TokenEstimate estimate;
    estimate.prompt = std::ceil(static_cast<double>(promptBytes(body)) / Constants::BytesPerToken);
    estimate.maxGenerated = Constants::DefaultMaxTokens;
    if (!body.contains("max_tokens"))
        return estimate;
    const auto &maxTokens = body["max_tokens"];
    if (!maxTokens.is_number_integer() || maxTokens.get<double>() < 1
        || maxTokens.get<double>() > maxAllowed)
        return std::nullopt;
    estimate.maxGenerated = maxTokens.get<double>();
    return estimate;
}

auto estimateServiceCall(size_t bodyBytes) -> TokenEstimate
{
    return {1.0 + std::ceil(static_cast<double>(bodyBytes) / Constants::BytesPerToken), 0};
}

auto reportedTokens(const std::string &answerTail) -> std::optional<double>
{
    const std::string field = "\"completion_tokens\":";
    const auto at = answerTail.rfind(field);
    if (at == std::string::npos)
        return std::nullopt;
    char *end = nullptr;
    const char *start = answerTail.c_str() + at + field.size();
    const double tokens = std::strtod(start, &end);
    return end == start || !std::isfinite(tokens) || tokens < 0 ? std::nullopt
                                                                : std::optional(tokens);
}

} // namespace Admission
