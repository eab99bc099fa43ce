#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Protocol {

/// A caller's request as sent from an entry to an agent. Does not contain the caller's key.
struct RunRequest
{
    std::string requestId;
    std::string customer;
    std::string keyHash; ///< Used by the agent to check that the key is still granted.
    double weight = 1;
    double cost = 0; ///< Estimated tokens.
    std::string model; ///< Empty for a plain service.
    std::string adapter; ///< Empty for the model itself.
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::chrono::milliseconds timeLeft{0};
    std::string submissionIdentity; ///< Set if the request may run at most once.
    std::string fingerprint;
    std::vector<std::string> crashes; ///< Crashes that ended earlier attempts.
};

auto toJson(const RunRequest &request) -> nlohmann::json;
auto runRequestFromJson(const nlohmann::json &document) -> std::optional<RunRequest>;

/// Resumes an answer after a lost connection, or cancels its request.
struct ResumeRequest
{
    std::string requestId;
    std::uint64_t offset = 0; ///< Number of body bytes received so far.
    bool hasBegun = false; ///< Whether the answer's head was received.
};

auto toJson(const ResumeRequest &request) -> nlohmann::json;
auto resumeRequestFromJson(const nlohmann::json &document) -> std::optional<ResumeRequest>;

} // namespace Protocol
