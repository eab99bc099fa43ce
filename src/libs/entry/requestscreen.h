#pragma once

#include <admission/refusal.h>
#include <admission/tokenestimate.h>
#include <net/httpserver.h>
#include <rules/ruleset.h>
#include <utils/result.h>

#include <chrono>
#include <string>

namespace Entry {

/// A caller's request after its key and body were checked.
struct ScreenedRequest
{
    enum class Kind { Model, Service, OwnStatus };
    Kind kind = Kind::Model;
    std::string customer; ///< Empty on open routes.
    std::string keyHash;
    double weight = 1;
    std::string model;
    std::string adapter;
    std::string service;
    std::string method;
    std::string path;
    std::string contentType;
    std::string submissionIdentity;
    Admission::TokenEstimate estimate;
    std::chrono::milliseconds timeLeft{0};
    Rules::RuleSource rule; ///< The rule that applies to the request.

    /// True if it is safe to run the request more than once.
    auto mayRepeat() const -> bool;
};

/// Limits from the entry's settings.
struct ScreenLimits
{
    std::chrono::milliseconds defaultDeadline{0};
    std::chrono::milliseconds longestDeadline{0};
};

/// Authenticates a request by its key alone, and determines what it asks for.
auto screenRequest(const Net::HttpRequest &request, const Rules::RuleSet &rules,
                   const ScreenLimits &limits)
    -> Utils::Result<ScreenedRequest, Admission::Refusal>;

} // namespace Entry
