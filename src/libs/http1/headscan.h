#pragma once

#include <cstddef>
#include <string_view>

namespace Http1 {

/// State of the head at the start of a message.
enum class HeadScan {
    Incomplete, ///< The empty line has not been received yet.
    Complete,
    Malformed, ///< Bare CR or LF, a folded line, a NUL, or space before a field's colon.
};

/// Checks the line structure more strictly than the parser library, which would allow request
/// smuggling: lenient parsers can be made to see different requests in the same bytes. Sets
/// `length` to the size of the head.
auto scanHead(std::string_view data, size_t &length) -> HeadScan;

/// True if a response's head names a status of exactly three digits, from 100 to 599. The parser
/// library takes any number of digits and any value. 101 is invalid, as no request asks for it.
auto hasValidStatus(std::string_view head) -> bool;

} // namespace Http1
