#pragma once

#include <admission/refusal.h>
#include <admission/tokenestimate.h>
#include <net/httpserver.h>
#include <rules/ruleset.h>
#include <utils/result.h>

#include <chrono>
#include <string>

namespace Entry {

/// What a caller's request asks for, once its key and body were checked.
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
    Rules::RuleSource rule; ///< The line that the request goes by.

    /// True when running it twice does no harm.
    auto mayRepeat() const -> bool;
};

/// Limits that the entry's settings name.
struct ScreenLimits
{
    std::chrono::milliseconds defaultDeadline{0};
    std::chrono::milliseconds longestDeadline{0};
};

/// Decides whose a request is and what it asks for, by the key that came with it and nothing else.
auto screenRequest(const Net::HttpRequest &request, const Rules::RuleSet &rules,
                   const ScreenLimits &limits)
    -> Utils::Result<ScreenedRequest, Admission::Refusal>;

} // namespace Entry
