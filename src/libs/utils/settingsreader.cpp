#include "settingsreader.h"

#include "nearmatch.h"

#include <algorithm>
#include <arpa/inet.h>
#include <fstream>
#include <set>
#include <sstream>

namespace Utils {

using nlohmann::json;

struct SettingsReader::Private
{
    std::string fileName;
    json document;
    json effective = json::object();
    std::set<std::string> knownFields;
    std::vector<std::string> errors;

    auto addError(const std::string &field, const std::string &expected) -> void
    {
        errors.push_back(fileName + ": field \"" + field + "\": expected " + expected);
    }

    auto find(const std::string &field) -> const json *
    {
        knownFields.insert(field);
        const auto found = document.find(field);
        return found == document.end() ? nullptr : &*found;
    }

    template <typename Value>
    auto apply(const std::string &field, Value value) -> Value
    {
        effective[field] = value;
        return value;
    }
};

namespace {

auto isNumericAddress(const std::string &text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    in_addr parsed = {};
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &parsed) != 1)
        return false;
    const std::string port = text.substr(colon + 1);
    const bool digits = !port.empty() && port.size() <= 5
        && std::all_of(port.begin(), port.end(),
                       [](unsigned char c) { return std::isdigit(c) != 0; });
    return digits && std::stoi(port) <= 65535;
}

} // namespace

SettingsReader::SettingsReader(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

SettingsReader::~SettingsReader() = default;

auto SettingsReader::fromFile(const std::string &path)
    -> Result<std::unique_ptr<SettingsReader>, std::string>
{
    std::ifstream file(path);
    if (!file)
        return tl::unexpected(path + ": cannot be read");
    std::stringstream text;
    text << file.rdbuf();
    return fromText(path, text.str());
}

auto SettingsReader::fromText(const std::string &name, const std::string &text)
    -> Result<std::unique_ptr<SettingsReader>, std::string>
{
    auto data = std::make_unique<Private>();
    data->fileName = name;
    try {
        data->document = json::parse(text);
    } catch (const json::parse_error &error) {
        return tl::unexpected(name + ": not valid JSON at byte " + std::to_string(error.byte));
    }
    if (!data->document.is_object())
        return tl::unexpected(name + ": expected a JSON object");
    return std::unique_ptr<SettingsReader>(new SettingsReader(std::move(data)));
}

auto SettingsReader::string(const std::string &field) -> std::string
{
    const json *value = d->find(field);
    if (value && value->is_string() && !value->get<std::string>().empty())
        return d->apply(field, value->get<std::string>());
    d->addError(field, "a non-empty string");
    return {};
}

auto SettingsReader::string(const std::string &field, const std::string &fallback) -> std::string
{
    return d->find(field) ? string(field) : d->apply(field, fallback);
}

auto SettingsReader::integer(const std::string &field, long long minimum, long long maximum,
                             long long fallback) -> long long
{
    const json *value = d->find(field);
    if (!value)
        return d->apply(field, fallback);
    if (value->is_number_integer() && value->get<long long>() >= minimum
        && value->get<long long>() <= maximum)
        return d->apply(field, value->get<long long>());
    d->addError(
        field, "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

auto SettingsReader::number(const std::string &field, double minimum, double maximum,
                            double fallback) -> double
{
    const json *value = d->find(field);
    if (!value)
        return d->apply(field, fallback);
    if (value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum)
        return d->apply(field, value->get<double>());
    d->addError(field,
                "a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

auto SettingsReader::boolean(const std::string &field, bool fallback) -> bool
{
    const json *value = d->find(field);
    if (!value)
        return d->apply(field, fallback);
    if (value->is_boolean())
        return d->apply(field, value->get<bool>());
    d->addError(field, "true or false");
    return fallback;
}

auto SettingsReader::milliseconds(const std::string &field, std::chrono::milliseconds fallback)
    -> std::chrono::milliseconds
{
    constexpr long long maxMilliseconds = 24LL * 3600 * 1000;
    return std::chrono::milliseconds(integer(field, 1, maxMilliseconds, fallback.count()));
}

auto SettingsReader::choice(const std::string &field, const std::vector<std::string> &allowed,
                            const std::string &fallback) -> std::string
{
    std::string value = string(field, fallback);
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end())
        return value;
    std::string list;
    for (const auto &word : allowed)
        list += (list.empty() ? "\"" : ", \"") + word + "\"";
    const std::string closest = nearMatch(value, allowed);
    d->addError(field,
                "one of " + list + (closest.empty() ? "" : "; did you mean \"" + closest + "\"?"));
    return fallback;
}

auto SettingsReader::address(const std::string &field, bool required) -> std::string
{
    const json *value = d->find(field);
    if (!value && !required)
        return {};
    if (value && value->is_string() && isNumericAddress(value->get<std::string>()))
        return d->apply(field, value->get<std::string>());
    d->addError(field, "a numeric address and port such as \"127.0.0.1:8080\"");
    return {};
}

auto SettingsReader::addresses(const std::string &field) -> std::vector<std::string>
{
    const json *value = d->find(field);
    std::vector<std::string> all;
    if (!value)
        return all;
    const bool isList =
        value->is_array() && std::all_of(value->begin(), value->end(), [](const json &entry) {
            return entry.is_string() && isNumericAddress(entry.get<std::string>());
        });
    if (!isList) {
        d->addError(field, "a list of numeric addresses and ports such as [\"127.0.0.1:8080\"]");
        return all;
    }
    for (const auto &entry : *value)
        all.push_back(entry.get<std::string>());
    return d->apply(field, all);
}

auto SettingsReader::secretFile(const std::string &field) -> std::string
{
    const std::string path = string(field);
    std::ifstream file(path);
    std::string secret;
    if (path.empty() || (std::getline(file, secret) && secret.size() >= 16))
        return secret;
    d->addError(field, "the path of a readable file whose first line has at least 16 characters");
    return {};
}

auto SettingsReader::errors() -> std::vector<std::string>
{
    std::vector<std::string> all = d->errors;
    const std::vector<std::string> knownFields(d->knownFields.begin(), d->knownFields.end());
    for (const auto &[field, value] : d->document.items()) {
        if (d->knownFields.count(field) > 0)
            continue;
        const std::string closest = nearMatch(field, knownFields);
        all.push_back(d->fileName + ": field \"" + field + "\" is unknown"
                      + (closest.empty() ? "" : "; did you mean \"" + closest + "\"?"));
    }
    return all;
}

auto SettingsReader::effective() const -> const json &
{
    return d->effective;
}

} // namespace Utils
