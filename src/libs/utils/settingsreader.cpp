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
    std::set<std::string> known;
    std::vector<std::string> errors;

    auto fault(const std::string &field, const std::string &expected) -> void
    {
        errors.push_back(fileName + ": field \"" + field + "\": expected " + expected);
    }

    auto find(const std::string &field) -> const json *
    {
        known.insert(field);
        const auto found = document.find(field);
        return found == document.end() ? nullptr : &*found;
    }

    template <typename Value>
    auto accept(const std::string &field, Value value) -> Value
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
        return d->accept(field, value->get<std::string>());
    d->fault(field, "a non-empty string");
    return {};
}

auto SettingsReader::string(const std::string &field, const std::string &fallback) -> std::string
{
    return d->find(field) ? string(field) : d->accept(field, fallback);
}

auto SettingsReader::integer(const std::string &field, long long least, long long most,
                             long long fallback) -> long long
{
    const json *value = d->find(field);
    if (!value)
        return d->accept(field, fallback);
    if (value->is_number_integer() && value->get<long long>() >= least
        && value->get<long long>() <= most)
        return d->accept(field, value->get<long long>());
    d->fault(field, "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    return fallback;
}

auto SettingsReader::number(const std::string &field, double least, double most, double fallback)
    -> double
{
    const json *value = d->find(field);
    if (!value)
        return d->accept(field, fallback);
    if (value->is_number() && value->get<double>() >= least && value->get<double>() <= most)
        return d->accept(field, value->get<double>());
    d->fault(field, "a number from " + std::to_string(least) + " to " + std::to_string(most));
    return fallback;
}

auto SettingsReader::boolean(const std::string &field, bool fallback) -> bool
{
    const json *value = d->find(field);
    if (!value)
        return d->accept(field, fallback);
    if (value->is_boolean())
        return d->accept(field, value->get<bool>());
    d->fault(field, "true or false");
    return fallback;
}

auto SettingsReader::milliseconds(const std::string &field, std::chrono::milliseconds fallback)
    -> std::chrono::milliseconds
{
    constexpr long long longest = 24LL * 3600 * 1000;
    return std::chrono::milliseconds(integer(field, 1, longest, fallback.count()));
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
    const std::string near = nearMatch(value, allowed);
    d->fault(field, "one of " + list + (near.empty() ? "" : "; did you mean \"" + near + "\"?"));
    return fallback;
}

auto SettingsReader::address(const std::string &field, bool required) -> std::string
{
    const json *value = d->find(field);
    if (!value && !required)
        return {};
    if (value && value->is_string() && isNumericAddress(value->get<std::string>()))
        return d->accept(field, value->get<std::string>());
    d->fault(field, "a numeric address and port such as \"127.0.0.1:8080\"");
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
        d->fault(field, "a list of numeric addresses and ports such as [\"127.0.0.1:8080\"]");
        return all;
    }
    for (const auto &entry : *value)
        all.push_back(entry.get<std::string>());
    return d->accept(field, all);
}

auto SettingsReader::secretFile(const std::string &field) -> std::string
{
    const std::string path = string(field);
    std::ifstream file(path);
    std::string secret;
    if (path.empty() || (std::getline(file, secret) && secret.size() >= 16))
        return secret;
    d->fault(field, "the path of a readable file whose first line has at least 16 characters");
    return {};
}

auto SettingsReader::errors() -> std::vector<std::string>
{
    std::vector<std::string> all = d->errors;
    const std::vector<std::string> known(d->known.begin(), d->known.end());
    for (const auto &[field, value] : d->document.items()) {
        if (d->known.count(field) > 0)
            continue;
        const std::string near = nearMatch(field, known);
        all.push_back(d->fileName + ": field \"" + field + "\" is unknown"
                      + (near.empty() ? "" : "; did you mean \"" + near + "\"?"));
    }
    return all;
}

auto SettingsReader::effective() const -> const json &
{
    return d->effective;
}

} // namespace Utils
