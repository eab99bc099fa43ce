#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Utils {

/// Returns a field of a JSON document of any type, or `fallback` if the field is missing or has
/// another type.
template <typename Value>
auto fieldOr(const nlohmann::json &document, const char *name, const Value &fallback) -> Value
{
    if (!document.is_object())
        return fallback;
    const auto found = document.find(name);
    if (found == document.end())
        return fallback;
    try {
        return found->template get<Value>();
    } catch (const nlohmann::json::exception &) {
        return fallback;
    }
}

inline auto fieldOr(const nlohmann::json &document, const char *name, const char *fallback)
    -> std::string
{
    return fieldOr(document, name, std::string(fallback));
}

} // namespace Utils
