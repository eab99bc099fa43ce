#pragma once

#include <load/arrivals.h>
#include <load/shape.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Load {

/// How one request went, seen by its caller.
struct RequestRecord
{
    Arrival arrival;
    int status = 0;
    std::string refusalCode; ///< Empty when answered.
    std::string ran;
    std::optional<std::chrono::microseconds> firstByte; ///< After it was sent.
    std::chrono::microseconds timeToEnd{0};
    bool isComplete = false; ///< The answer was its own and complete.
    bool hasRetryAfter = false;
    bool isLost = false; ///< Neither an answer nor a refusal came.
};

/// The measures of a load, as docs/MEASURES.md defines them.
auto makeReport(const LoadShape &shape, const std::vector<RequestRecord> &records)
    -> nlohmann::json;
/// The report as a table to read.
auto reportTable(const nlohmann::json &report) -> std::string;
/// A gnuplot script that draws the distribution of times to the first byte from `dataFile`.
auto plotScript(const std::string &dataFile, const std::string &imageFile) -> std::string;

} // namespace Load
