#include "shape.h"

#include <nlohmann/json.hpp>

namespace Load {

using nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

namespace {

auto readCustomer(const json &entry) -> CustomerShape
{
    return {entry.at("name").get<std::string>(), entry.at("keyFile").get<std::string>(),
            entry.at("requestsPerSecond").get<double>(), entry.at("contractRate").get<double>(),
            entry.at("contractBurst").get<double>()};
}

auto readBurst(const json &entry) -> BurstShape
{
    return {Milliseconds(entry.at("atMs").get<long>()), entry.at("requests").get<int>(),
            entry.at("model").get<std::string>()};
}

auto readShape(const json &document) -> LoadShape
{
    LoadShape shape;
    shape.entries = document.at("entries").get<std::vector<std::string>>();
    shape.seed = document.value("seed", 1U);
    shape.duration = Milliseconds(document.at("durationMs").get<long>());
    shape.models = document.at("models").get<std::vector<std::string>>();
    shape.modelSkew = document.value("modelSkew", 1.0);
    shape.shiftsPerMinute = document.value("shiftsPerMinute", 0.0);
    shape.maxTokens = document.value("maxTokens", 16);
    shape.deadline = Milliseconds(document.value("deadlineMs", 30000L));
    shape.coldThreshold = Milliseconds(document.value("coldThresholdMs", 200L));
    shape.isStreamed = document.value("stream", true);
    for (const auto &entry : document.at("customers"))
        shape.customers.push_back(readCustomer(entry));
    for (const auto &entry : document.value("bursts", json::array()))
        shape.bursts.push_back(readBurst(entry));
    return shape;
}

} // namespace

auto parseShape(const std::string &fileName, const std::string &text)
    -> Utils::Result<LoadShape, std::string>
{
    try {
        LoadShape shape = readShape(json::parse(text));
        if (shape.entries.empty() || shape.models.empty() || shape.customers.empty())
            return tl::unexpected(fileName
                                  + ": expected at least one entry, one model and one customer");
        return shape;
    } catch (const json::exception &error) {
        return tl::unexpected(fileName + ": " + error.what());
    }
}

} // namespace Load
