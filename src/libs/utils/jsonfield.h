#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Utils {

/// A field of a document that may be anything; `fallback` when it is missing or of another type.
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
