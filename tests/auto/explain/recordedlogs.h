#pragma once

#include <explain/logsearch.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

/// Start of the recorded logs, in milliseconds since 1970.
constexpr std::int64_t RecordingStart = 1700000000000;

/// A line as a gateway writes it, `at` milliseconds after `RecordingStart`.
inline auto eventLine(const std::string &gateway, std::int64_t at, Utils::Event event,
                      const nlohmann::json &fields = nlohmann::json::object()) -> std::string
{
    nlohmann::json line = {{"time", RecordingStart + at},
                           {"process", gateway},
                           {"event", static_cast<int>(event)},
                           {"name", "name"}};
    line.update(fields);
    return line.dump();
}

/// A request's end with all fields that a gateway writes; `overrides` replaces some of them.
inline auto endLine(const std::string &gateway, std::int64_t at, const std::string &id,
                    const std::string &outcome, int status, const nlohmann::json &overrides = {})
    -> std::string
{
    nlohmann::json fields = {{"request", id},      {"outcome", outcome},     {"status", status},
                             {"route", "r-1"},     {"customer", "county-a"}, {"model", ""},
                             {"tokens", 100},      {"charged", 100.0},       {"server", ""},
                             {"sends", 0},         {"mayHaveRun", 0},        {"configuration", 1},
                             {"firstEventMs", -1}, {"longestPauseMs", 0},    {"tookMs", 10}};
    if (!overrides.is_null())
        fields.update(overrides);
    const bool isServed = status >= 200 && status < 300;
    return eventLine(gateway, at,
                     isServed ? Utils::Event::RequestServed : Utils::Event::RequestRefused, fields);
}

inline auto configurationLine(const std::string &gateway, std::int64_t at, int version,
                              int routes = 49) -> std::string
{
    return eventLine(gateway, at, Utils::Event::ConfigurationTaken,
                     {{"version", version}, {"routes", routes}, {"rowVersion", version * 10}});
}

using Lines = std::vector<std::string>;

/// A log in a temporary file, which the destructor removes.
class RecordedLog
{
public:
    explicit RecordedLog(const Lines &lines, const std::string &end = "\n")
        : m_path(std::filesystem::temp_directory_path()
                 / ("tst_explain." + std::to_string(getpid()) + '.' + std::to_string(++s_count)))
    {
        std::ofstream file(m_path);
        for (size_t i = 0; i < lines.size(); ++i)
            file << lines[i] << (i + 1 < lines.size() ? "\n" : end);
    }
    RecordedLog(const RecordedLog &) = delete;
    auto operator=(const RecordedLog &) -> RecordedLog & = delete;
    ~RecordedLog() { std::filesystem::remove(m_path); }

    auto path() const -> std::string { return m_path.string(); }

private:
    static inline int s_count = 0;
    std::filesystem::path m_path;
};

/// The explanation of a request as JSON, from the lines of one log.
inline auto explanationOf(const std::string &id, const Lines &lines) -> nlohmann::json
{
    const RecordedLog log(lines);
    const auto logs = Explain::LogFiles::open({log.path()}, nullptr);
    const auto explanation = Explain::explainRequest(*logs, id, {});
    return explanation ? explanation->toJson() : nlohmann::json(explanation.error().message);
}

/// The cause of a request's only end.
inline auto causeOf(const std::string &id, const Lines &lines) -> std::string
{
    const auto explanation = explanationOf(id, lines);
    return explanation.is_object() && explanation["endings"].size() == 1
        ? explanation["endings"][0]["cause"].get<std::string>()
        : explanation.dump();
}

inline auto lossesOf(const Lines &lines) -> nlohmann::json
{
    const RecordedLog log(lines);
    const auto logs = Explain::LogFiles::open({log.path()}, nullptr);
    const auto report = Explain::countLosses(*logs, {});
    return report ? report->json : nlohmann::json(report.error().message);
}

/// The decision inputs of the request's first end.
inline auto inputsOf(const nlohmann::json &explanation) -> Lines
{
    return explanation["endings"][0]["inputs"].get<Lines>();
}

inline auto rowsOf(const nlohmann::json &explanation) -> Lines
{
    Lines rows;
    for (const auto &row : explanation["rows"])
        rows.push_back(row["text"]);
    return rows;
}

/// An order or its confirmation, by the gateway that holds the duty.
inline auto orderLine(std::int64_t at, Utils::Event event, const std::string &model,
                      const std::string &server = "i-1", const std::string &reason = "waiting")
    -> std::string
{
    return eventLine("holder", at, event,
                     {{"model", model}, {"server", server}, {"reason", reason}});
}
