#include "name.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace Utils {

namespace {

constexpr unsigned char FirstVisible = 0x20;
constexpr unsigned char Delete = 0x7f;

} // namespace

auto isValidName(std::string_view text) -> bool
{
    if (text.size() > MaxNameBytes)
        return false;
    const auto isControl = [](unsigned char c) { return c < FirstVisible || c == Delete; };
    if (std::any_of(text.begin(), text.end(), isControl))
        return false;
    if (std::all_of(text.begin(), text.end(), [](unsigned char c) { return c < Delete; }))
        return true;
    // The JSON library checks the encoding: it leaves out bytes that aren't UTF-8.
    using nlohmann::json;
    const json name = std::string(text);
    return name.dump(-1, ' ', false, json::error_handler_t::ignore)
        == name.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace Utils
