#pragma once

#include <string>
#include <string_view>

namespace Utils {

/// SHA-256 of `data` as 64 lower-case hexadecimal digits.
auto sha256Hex(std::string_view data) -> std::string;

/// HMAC-SHA-256 of `data` under `secret`, in hexadecimal digits.
auto hmacSha256Hex(std::string_view secret, std::string_view data) -> std::string;

/// Compares without leaking the position of the first difference.
auto equalInConstantTime(std::string_view left, std::string_view right) -> bool;

/// Returns `bytes` random bytes in hexadecimal digits, for tokens and incarnation numbers.
auto randomHex(int bytes) -> std::string;

} // namespace Utils
