#include "client.hh"

namespace Review {

using nlohmann::json;

auto exchange(Connection &connection, const std::string &request, milliseconds patience) -> Answer
{
    Answer answer;
    connection.setDeadline(Clock::now() + patience);
    if (connection.send(request) && connection.readHead(answer.message)) {
        answer.status = std::stoi(answer.message.secondWord());
        answer.isWhole = connection.readBody(answer.message);
    }
    answer.hasTimedOut = connection.hasTimedOut();
    return answer;
}

auto makeRequest(const std::string &target, const std::string &attempt, milliseconds deadline,
                 const std::string &fields, const std::string &body) -> std::string
{
    return "POST " + target + " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: " + attempt
        + "\r\nAuthorization: Bearer key1\r\nDeadline-Ms: " + std::to_string(deadline.count())
        + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto makeConfiguration(int version) -> json
{
    const auto route = [](const std::string &prefix, const std::string &kind,
                          const std::string &service, bool isResumable, int attempts, int timeoutMs,
                          int objectiveMs) {
        return json{{"name", "r" + prefix},    {"host", "h.example"},
                    {"prefix", prefix},        {"routeType", kind},
                    {"timeoutMs", timeoutMs},  {"targetLatencyMs", objectiveMs},
                    {"priority", 0},           {"service", service},
                    {"maxAttempts", attempts}, {"resumable", isResumable},
                    {"gapAimMs", 250},         {"sessionAffinity", service == "lm"}};
    };
    json models = json::array();
    for (int i = 1; i <= 6; ++i)
        models.push_back({{"name", "m" + std::to_string(i)},
                          {"weightsMb", 60000.0},
                          {"loadS", 6.0},
                          {"warmS", 0.4},
                          {"diskS", 1.0},
                          {"adapters", 3},
                          {"adapterMb", 12.0}});
    return {{"version", version},
            {"routes",
             {route("/look/", "safe", "app", false, 2, 1500, 150),
              route("/file/", "unsafe", "app", false, 1, 1500, 150),
              route("/draft/", "streaming", "lm", false, 1, 15000, 400),
              route("/batch/", "streaming", "lm", true, 2, 25000, 3000)}},
            {"services",
             {{{"name", "app"}, {"maxConnections", 96}, {"healthPath", "/health"}},
              {{"name", "lm"},
               {"maxConnections", 360},
               {"healthPath", "/health"},
               {"engine",
                {{"slots", 64},
                 {"kvTokens", 150000},
                 {"weightsMb", 200000.0},
                 {"adapterSlots", 8},
                 {"loadsPerS", 2.8},
                 {"models", models}}}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 5000},
              {"idleTimeoutMs", 30000}}},
            {"tenants",
             {{{"name", "county"},
               {"apiKeys", {"key1"}},
               {"priority", 0},
               {"unit", "token_stream"},
               {"plainTokens", 200},
               {"ratePerS", 1000000},
               {"burst", 1000000}}}}};
}

} // namespace Review
