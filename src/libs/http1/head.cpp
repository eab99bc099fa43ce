#include "head.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace Http1 {

namespace {

/// Fields that are never forwarded, whether Connection names them or not.
constexpr std::array<std::string_view, 9> hopByHop = {
    "connection",        "keep-alive", "proxy-connection", "te",    "trailer",
    "transfer-encoding", "upgrade",    "content-length",   "expect"};

auto trimmed(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

auto lowered(std::string_view text) -> std::string
{
    std::string result(text);
    for (char &letter : result)
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
    return result;
}

/// Adds the tokens of a comma-separated list in lower case.
auto addTokens(std::string_view list, std::vector<std::string> &tokens) -> void
{
    while (!list.empty()) {
        const auto comma = list.find(',');
        tokens.push_back(lowered(trimmed(list.substr(0, comma))));
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
}

auto statusText(int status) -> const char *
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace

auto equalsIgnoringCase(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size()
        && std::equal(
               left.begin(), left.end(), right.begin(),
               [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

auto Fields::add(std::string name, std::string value) -> void
{
    m_fields.push_back({std::move(name), std::move(value)});
}

auto Fields::value(std::string_view name) const -> std::optional<std::string_view>
{
    for (const Field &field : m_fields) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

auto Fields::hasToken(std::string_view name, std::string_view token) const -> bool
{
    for (const Field &field : m_fields) {
        if (!equalsIgnoringCase(field.name, name))
            continue;
        std::string_view rest = field.value;
        while (!rest.empty()) {
            const auto comma = rest.find(',');
            if (equalsIgnoringCase(trimmed(rest.substr(0, comma)), token))
                return true;
            rest = comma == std::string_view::npos ? std::string_view() : rest.substr(comma + 1);
        }
    }
    return false;
}

auto Fields::endToEnd() const -> Fields
{
    Fields kept;
    // Looking for each name in all fields would take seconds for heads of thousands of fields.
    std::vector<std::string> named;
    for (const Field &field : m_fields) {
        if (equalsIgnoringCase(field.name, "connection"))
            addTokens(field.value, named);
    }
    std::sort(named.begin(), named.end());
    for (const Field &field : m_fields) {
        const bool isHopByHop = std::any_of(hopByHop.begin(), hopByHop.end(), [&](auto name) {
            return equalsIgnoringCase(name, field.name);
        });
        if (!isHopByHop && !std::binary_search(named.begin(), named.end(), lowered(field.name)))
            kept.m_fields.push_back(field);
    }
    return kept;
}

auto Fields::memoryBytes() const -> size_t
{
    size_t bytes = m_fields.capacity() * sizeof(Field);
    for (const Field &field : m_fields)
        bytes += field.name.size() + field.value.size();
    return bytes;
}

auto RequestHead::path() const -> std::string_view
{
    return std::string_view(target).substr(0, target.find('?'));
}

auto formatRequest(const RequestHead &head, std::string_view body) -> std::string
{
    std::string text = head.method + ' ' + head.target + " HTTP/1.1\r\n";
    for (const Field &field : head.fields.all())
        text += field.name + ": " + field.value + "\r\n";
    if (!body.empty() || (head.method != "GET" && head.method != "HEAD"))
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    text += body;
    return text;
}

auto formatResponseHead(int status, const Fields &fields, Framing framing, size_t length,
                        bool keepAlive) -> std::string
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ' + statusText(status) + "\r\n";
    for (const Field &field : fields.all())
        text += field.name + ": " + field.value + "\r\n";
    const bool hasNoBody = status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED;
    if (framing == Framing::Chunked)
        text += "Transfer-Encoding: chunked\r\n";
    else if (framing == Framing::Length && !hasNoBody)
        text += "Content-Length: " + std::to_string(length) + "\r\n";
    if (!keepAlive)
        text += "Connection: close\r\n";
    return text + "\r\n";
}

auto formatChunk(std::string_view data) -> std::string
{
    constexpr int hexadecimal = 16;
    std::array<char, sizeof(size_t) * 2> digits = {};
    const auto end =
        std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), hexadecimal).ptr;
    std::string text(digits.data(), end);
    text += "\r\n";
    text += data;
    text += "\r\n";
    return text;
}

} // namespace Http1
