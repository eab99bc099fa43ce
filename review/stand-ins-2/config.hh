// A configuration as the operator of a small deployment writes it.
#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace standins {

inline auto makeRoute(const std::string &prefix, const std::string &type,
                      const std::string &service, int timeoutMs, int aimMs, int attempts,
                      bool isResumable) -> nlohmann::json
{
    nlohmann::json route = {{"name", "r" + prefix},     {"host", "ficu95.example"},
                            {"prefix", prefix},         {"routeType", type},
                            {"timeoutMs", timeoutMs},   {"targetLatencyMs", aimMs},
                            {"priority", 0},            {"service", service},
                            {"maxAttempts", attempts},  {"authExempt", false},
                            {"resumable", isResumable}, {"sessionAffinity", type == "streaming"}};
    if (type == "streaming")
        route["gapAimMs"] = 250;
    return route;
}

/// Routes, times and engines of the sheet of hsinyi-returns.
inline auto makeConfiguration(int version, int modelCount = 6) -> nlohmann::json
{
    nlohmann::json models = nlohmann::json::array();
    for (int i = 0; i < modelCount; ++i)
        models.push_back({{"name", "m" + std::to_string(i)},
                          {"weightsMb", 65000.0},
                          {"loadS", 6.0},
                          {"warmS", 0.4},
                          {"diskS", 1.2},
                          {"adapters", 4},
                          {"adapterMb", 12.0}});
    return {{"version", version},
            {"routes",
             {makeRoute("/draft/", "streaming", "narrative-lm", 15000, 400, 1, false),
              makeRoute("/batch/", "streaming", "narrative-lm", 25000, 3000, 2, true),
              makeRoute("/submit/", "unsafe", "returns-app", 800, 150, 1, false),
              makeRoute("/lookup/", "safe", "returns-app", 800, 150, 2, false)}},
            {"services",
             {{{"name", "narrative-lm"},
               {"healthPath", "/health"},
               {"maxConnections", 360},
               {"engine",
                {{"slots", 64},
                 {"kvTokens", 154362},
                 {"weightsMb", 200000.0},
                 {"adapterSlots", 8},
                 {"loadsPerS", 2.8},
                 {"hostMb", 130000.0},
                 {"diskMb", 1100000.0},
                 {"models", models}}}},
              {{"name", "returns-app"}, {"healthPath", "/health"}, {"maxConnections", 96}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 5000}}},
            {"tenants",
             {{{"name", "county-a"},
               {"apiKeys", {"key-a"}},
               {"priority", 0},
               {"unit", "token_stream"},
               {"plainTokens", 200},
               {"ratePerS", 20000},
               {"burst", 40000}},
              {{"name", "county-b"},
               {"apiKeys", {"key-b"}},
               {"priority", 0},
               {"unit", "token_stream"},
               {"plainTokens", 200},
               {"ratePerS", 20000},
               {"burst", 40000}}}}};
}

} // namespace standins
