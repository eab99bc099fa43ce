#pragma once

#include <utils/result.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Utils {

/// Reads a JSON settings file field by field and collects all errors, so that they are reported
/// together before anything starts.
class SettingsReader
{
public:
    /// Opens and parses `path`; the error names the file and the problem.
    static auto fromFile(const std::string &path)
        -> Result<std::unique_ptr<SettingsReader>, std::string>;
    static auto fromText(const std::string &name, const std::string &text)
        -> Result<std::unique_ptr<SettingsReader>, std::string>;
    ~SettingsReader();

    auto string(const std::string &field) -> std::string;
    auto string(const std::string &field, const std::string &fallback) -> std::string;
    auto integer(const std::string &field, long long minimum, long long maximum, long long fallback)
        -> long long;
    auto number(const std::string &field, double minimum, double maximum, double fallback)
        -> double;
    auto boolean(const std::string &field, bool fallback) -> bool;
    auto milliseconds(const std::string &field, std::chrono::milliseconds fallback)
        -> std::chrono::milliseconds;
    auto choice(const std::string &field, const std::vector<std::string> &allowed,
                const std::string &fallback) -> std::string;
    /// An "address:port" with a numeric address; `required` makes its absence an error.
    auto address(const std::string &field, bool required) -> std::string;
    /// A list of such addresses; empty if the field is missing.
    auto addresses(const std::string &field) -> std::vector<std::string>;
    /// First line of the file whose path the field holds; errors never contain the content.
    auto secretFile(const std::string &field) -> std::string;

    /// All errors found, including fields that were never read; empty if the settings are valid.
    auto errors() -> std::vector<std::string>;
    /// The effective settings, without secrets.
    auto effective() const -> const nlohmann::json &;

private:
    struct Private;
    explicit SettingsReader(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Utils
