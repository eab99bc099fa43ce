// Stand-in for a client, and the configuration of a small deployment.
#pragma once

#include "http.hh"

#include <nlohmann/json.hpp>

#include <string>

namespace Review {

struct Answer
{
    int status = 0; ///< 0 if the connection ended before an answer.
    bool isWhole = false;
    bool hasTimedOut = false;
    Message message;
};

/// Sends a request on the connection and reads the answer.
auto exchange(Connection &connection, const std::string &request, milliseconds patience) -> Answer;
/// `fields` are further header lines, each with its end.
auto makeRequest(const std::string &target, const std::string &attempt, milliseconds deadline,
                 const std::string &fields = {}, const std::string &body = "body") -> std::string;
/// Services "app" (plain) and "lm" (models m1 to m6); routes "/file/" (unsafe) and "/look/" (safe)
/// to "app", "/draft/" (streaming) and "/batch/" (streaming, may be resumed) to "lm".
auto makeConfiguration(int version) -> nlohmann::json;

} // namespace Review
