#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Http1 {

/// One header field as received.
struct Field
{
    std::string name;
    std::string value;
};

/// Compares header names case-insensitively.
auto equalsIgnoringCase(std::string_view left, std::string_view right) -> bool;

/// Header fields in the order in which they were received.
class Fields
{
public:
    auto add(std::string name, std::string value) -> void;
    /// Returns the first value of the field `name`, or nothing if there is none.
    auto value(std::string_view name) const -> std::optional<std::string_view>;
    auto has(std::string_view name) const -> bool { return value(name).has_value(); }
    /// True if the comma-separated list in a field `name` contains `token`.
    auto hasToken(std::string_view name, std::string_view token) const -> bool;
    auto all() const -> const std::vector<Field> & { return m_fields; }
    /// Returns the fields without hop-by-hop fields, including those that Connection names.
    auto endToEnd() const -> Fields;
    /// Memory that the fields take, which is far more than their bytes if they are short.
    auto memoryBytes() const -> size_t;

private:
    std::vector<Field> m_fields;
};

struct RequestHead
{
    std::string method;
    std::string target; ///< Path and query, as received.
    Fields fields;
    bool keepAlive = true;
    bool supportsChunked = true; ///< False for HTTP/1.0.

    /// The target without its query.
    auto path() const -> std::string_view;
};

struct ResponseHead
{
    int status = 0;
    Fields fields;
    bool keepAlive = true;
};

/// How a body is delimited on the wire.
enum class Framing { Length, Chunked, UntilClose };

/// Formats a request. Content-Length is omitted for GET and HEAD without a body.
auto formatRequest(const RequestHead &head, std::string_view body) -> std::string;
/// Formats a response head; `length` is only used with Framing::Length.
auto formatResponseHead(int status, const Fields &fields, Framing framing, size_t length,
                        bool keepAlive) -> std::string;
auto formatChunk(std::string_view data) -> std::string;
/// The chunk that ends a chunked body.
constexpr std::string_view lastChunk = "0\r\n\r\n";

} // namespace Http1
