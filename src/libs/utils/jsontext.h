#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace Utils {

/// Writes a document. Bytes that aren't UTF-8 are replaced, as `dump` throws on them by default.
inline auto toJsonText(const nlohmann::json &document) -> std::string
{
    return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Utils
