#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace Utils {

/// Depth of arrays and objects in each other beyond which a document is rejected: copying and
/// writing one takes stack for each level.
constexpr size_t MaxJsonDepth = 64;

/// True if arrays and objects nest no deeper than `MaxJsonDepth`. The text need not be valid.
inline auto isJsonDepthAllowed(std::string_view text) -> bool
{
    size_t depth = 0;
    bool isInText = false;
    for (size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInText) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                isInText = false;
        } else if (c == '"') {
            isInText = true;
        } else if (c == '[' || c == '{') {
            if (++depth > MaxJsonDepth)
                return false;
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

/// Parses JSON without exceptions; returns nothing if `text` is not valid JSON or nests too deeply.
inline auto parseJson(std::string_view text) -> std::optional<nlohmann::json>
{
    if (!isJsonDepthAllowed(text))
        return {};
    auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_discarded())
        return {};
    return document;
}

/// An integer type that JSON numbers are read as.
template <typename Value>
concept JsonInteger = std::integral<Value> && !std::same_as<Value, bool>;

/// Returns a number that was written without a fraction or exponent, if it is in the range.
template <JsonInteger Integer>
auto wholeNumber(const nlohmann::json &value, Integer minimum = std::numeric_limits<Integer>::min(),
                 Integer maximum = std::numeric_limits<Integer>::max()) -> std::optional<Integer>
{
    const auto checked = [&](auto number) -> std::optional<Integer> {
        if (std::cmp_less(number, minimum) || std::cmp_greater(number, maximum))
            return {};
        return static_cast<Integer>(number);
    };
    if (value.is_number_unsigned())
        return checked(value.get<std::uint64_t>());
    if (value.is_number_integer())
        return checked(value.get<std::int64_t>());
    return {};
}

/// Returns any number, without its fraction, if the type can hold it.
template <JsonInteger Integer>
auto truncatedNumber(const nlohmann::json &value) -> std::optional<Integer>
{
    if (!value.is_number_float())
        return wholeNumber<Integer>(value);
    // The limits as floating-point numbers; the upper one is rounded up to a power of two.
    constexpr auto minimum = static_cast<double>(std::numeric_limits<Integer>::min());
    constexpr Integer half = std::numeric_limits<Integer>::max() / 2 + 1;
    constexpr auto maximum = static_cast<double>(half) * 2;
    const auto number = value.get<double>();
    if (!(number >= minimum && number < maximum))
        return {};
    return static_cast<Integer>(number);
}

/// Returns a field of a JSON document of any type, or `fallback` if the field is missing, has
/// another type or doesn't fit into the type.
template <typename Value>
auto fieldOr(const nlohmann::json &document, const char *name, const Value &fallback) -> Value
{
    if (!document.is_object())
        return fallback;
    const auto found = document.find(name);
    if (found == document.end())
        return fallback;
    if constexpr (JsonInteger<Value>) {
        return truncatedNumber<Value>(*found).value_or(fallback);
    } else {
        try {
            return found->template get<Value>();
        } catch (const nlohmann::json::exception &) {
            return fallback;
        }
    }
}

inline auto fieldOr(const nlohmann::json &document, const char *name, const char *fallback)
    -> std::string
{
    return fieldOr(document, name, std::string(fallback));
}

} // namespace Utils
