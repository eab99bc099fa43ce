#pragma once

#include <utils/result.h>

#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Utils {

/// Reads a JSON settings file field by field and collects every fault before anything starts.
class SettingsReader
{
public:
    /// Opens and parses `path`; the error names the file and what is wrong with it.
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
    /// A list of such addresses; missing means empty.
    auto addresses(const std::string &field) -> std::vector<std::string>;
    /// First line of the file that the field names; the content never appears in an error.
    auto secretFile(const std::string &field) -> std::string;

    /// All faults found, fields that nobody asked for included; empty when the file is sound.
    auto errors() -> std::vector<std::string>;
    /// The settings as they take effect, secrets left out.
    auto effective() const -> const nlohmann::json &;

private:
    struct Private;
    explicit SettingsReader(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Utils
