#include "ruleparser.h"

#include "linelexer.h"

#include <utils/nearmatch.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>

namespace Rules {

namespace {

/// Reads the words of one line in order. Only the first error is kept; reads after it return empty
/// values.
class WordReader
{
public:
    WordReader(const LexedLine &line, int lineNumber)
        : m_line(line)
        , m_lineNumber(lineNumber)
    { }

    auto atEnd() const -> bool { return m_next >= m_line.words.size(); }
    auto peek() const -> std::string { return atEnd() ? std::string() : m_line.words[m_next].text; }
    auto hasError() const -> bool { return m_error.has_value(); }
    auto error() const -> const RuleError & { return *m_error; }

    auto fail(const std::string &expected, const std::vector<std::string> &candidates = {}) -> void
    {
        if (m_error)
            return;
        const int column = atEnd() ? m_line.endColumn : m_line.words[m_next].column;
        std::string found = "the end of the line";
        if (!atEnd())
            found = std::string(1, '"').append(peek()).append(1, '"');
        m_error =
            RuleError{m_lineNumber, column, expected, found, Utils::nearMatch(peek(), candidates)};
    }

    auto readWord(const std::string &expected) -> std::string
    {
        if (m_error || atEnd()) {
            fail(expected);
            return {};
        }
        return m_line.words[m_next++].text;
    }

    auto expectKeyword(const std::string &text) -> void
    {
        if (peek() == text)
            ++m_next;
        else
            fail("\"" + text + "\"", {text});
    }

    auto acceptKeyword(const std::string &text) -> bool
    {
        if (m_error || peek() != text)
            return false;
        ++m_next;
        return true;
    }

    /// Reads a word that `parse` must accept; otherwise the error refers to this word's column.
    template <typename Value>
    auto parseWord(const std::string &expected,
                   const std::function<std::optional<Value>(const std::string &)> &parse) -> Value
    {
        if (m_error || atEnd()) {
            fail(expected);
            return {};
        }
        const auto value = parse(peek());
        if (!value) {
            fail(expected);
            return {};
        }
        ++m_next;
        return *value;
    }

private:
    const LexedLine &m_line;
    int m_lineNumber;
    size_t m_next = 0;
    std::optional<RuleError> m_error;
};

auto positiveNumber(const std::string &text) -> std::optional<double>
{
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !std::isfinite(value) || value <= 0)
        return std::nullopt;
    return value;
}

auto ratePerSecond(const std::string &text) -> std::optional<double>
{
    const auto slash = text.find("/s");
    if (slash == std::string::npos || slash + 2 != text.size())
        return std::nullopt;
    return positiveNumber(text.substr(0, slash));
}

auto replicaCount(const std::string &text) -> std::optional<int>
{
    constexpr double maxReplicas = 1000;
    const auto value = positiveNumber(text);
    if (!value || *value != std::floor(*value) || *value > maxReplicas)
        return std::nullopt;
    return static_cast<int>(*value);
}

auto memorySize(const std::string &text) -> std::optional<std::uint64_t>
{
    static const std::map<std::string, double> units = {
        {"KiB", 1024.0}, {"MiB", 1024.0 * 1024}, {"GiB", 1024.0 * 1024 * 1024}};
    constexpr size_t unitLength = 3;
    if (text.size() <= unitLength)
        return std::nullopt;
    const auto unit = units.find(text.substr(text.size() - unitLength));
    const auto value = positiveNumber(text.substr(0, text.size() - unitLength));
    if (unit == units.end() || !value)
        return std::nullopt;
    return static_cast<std::uint64_t>(*value * unit->second);
}

auto keyHash(const std::string &text) -> std::optional<std::string>
{
    constexpr size_t digits = 64;
    const std::string prefix = "sha256:";
    if (text.rfind(prefix, 0) != 0 || text.size() != prefix.size() + digits)
        return std::nullopt;
    const std::string hash = text.substr(prefix.size());
    const bool isHex = hash.find_first_not_of("0123456789abcdef") == std::string::npos;
    return isHex ? std::optional<std::string>(hash) : std::nullopt;
}

auto plainName(const std::string &text) -> std::optional<std::string>
{
    constexpr size_t maxLength = 100;
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) || c == '-' || c == '_' || c == '.' || c == ':';
    };
    if (text.empty() || text.size() > maxLength || !std::all_of(text.begin(), text.end(), allowed))
        return std::nullopt;
    return text;
}

auto absolutePath(const std::string &text) -> std::optional<std::string>
{
    return !text.empty() && text.front() == '/' ? std::optional<std::string>(text) : std::nullopt;
}

auto identitySource(const std::string &text) -> std::optional<IdentitySource>
{
    const auto colon = text.find(':');
    if (colon == std::string::npos || colon + 1 == text.size())
        return std::nullopt;
    const std::string place = text.substr(0, colon);
    const std::string name = text.substr(colon + 1);
    if (place == "header")
        return IdentitySource{IdentitySource::Place::Header, name};
    if (place == "field")
        return IdentitySource{IdentitySource::Place::Field, name};
    return std::nullopt;
}

auto readName(WordReader &reader, const std::string &what) -> std::string
{
    return reader.parseWord<std::string>(
        "the name of a " + what + " (letters, digits, '-', '_', '.', ':')", plainName);
}

auto readMemory(WordReader &reader) -> std::uint64_t
{
    reader.expectKeyword("memory");
    return reader.parseWord<std::uint64_t>("a size such as 18GiB or 200MiB", memorySize);
}

auto readKeyHash(WordReader &reader) -> std::string
{
    return reader.parseWord<std::string>("sha256: and 64 hexadecimal digits", keyHash);
}

auto readMethod(WordReader &reader) -> std::string
{
    static const std::vector<std::string> methods = {"GET", "POST", "PUT", "DELETE", "PATCH"};
    if (std::find(methods.begin(), methods.end(), reader.peek()) == methods.end())
        reader.fail("one of GET, POST, PUT, DELETE, PATCH", methods);
    return reader.readWord("a method");
}

auto readPath(WordReader &reader) -> std::string
{
    return reader.parseWord<std::string>("a path that starts with \"/\"", absolutePath);
}

auto parseCustomer(WordReader &reader) -> RuleBody
{
    CustomerRule rule;
    rule.name = readName(reader, "customer");
    reader.expectKeyword("rate");
    rule.rate = reader.parseWord<double>("tokens a second such as 2000/s", ratePerSecond);
    reader.expectKeyword("burst");
    rule.burst = reader.parseWord<double>("a positive number of tokens", positiveNumber);
    if (reader.acceptKeyword("weight"))
        rule.weight = reader.parseWord<double>("a positive number", positiveNumber);
    while (reader.acceptKeyword("key"))
        rule.keyHashes.push_back(readKeyHash(reader));
    return rule;
}

auto parseKey(WordReader &reader) -> RuleBody
{
    KeyRule rule;
    rule.keyHash = readKeyHash(reader);
    reader.expectKeyword("customer");
    rule.customer = readName(reader, "customer");
    return rule;
}

auto parseModel(WordReader &reader) -> RuleBody
{
    ModelRule rule;
    rule.name = readName(reader, "model");
    reader.expectKeyword("engines");
    rule.engines = readName(reader, "group of engines");
    reader.expectKeyword("replicas");
    rule.replicas = reader.parseWord<int>("a whole number from 1 to 1000", replicaCount);
    rule.memoryBytes = readMemory(reader);
    return rule;
}

auto parseAdapter(WordReader &reader) -> RuleBody
{
    AdapterRule rule;
    rule.name = readName(reader, "adapter");
    reader.expectKeyword("model");
    rule.model = readName(reader, "model");
    rule.memoryBytes = readMemory(reader);
    return rule;
}

auto parseRoute(WordReader &reader) -> RuleBody
{
    RouteRule rule;
    rule.method = readMethod(reader);
    rule.path = readPath(reader);
    reader.expectKeyword("service");
    rule.service = readName(reader, "service");
    if (reader.acceptKeyword("once")) {
        reader.expectKeyword("identity");
        rule.once = reader.parseWord<IdentitySource>("header:NAME or field:NAME", identitySource);
    }
    return rule;
}

auto parseOpen(WordReader &reader) -> RuleBody
{
    OpenRule rule;
    rule.method = readMethod(reader);
    rule.path = readPath(reader);
    if (reader.acceptKeyword("service"))
        rule.service = readName(reader, "service");
    return rule;
}

auto parseDrain(WordReader &reader) -> RuleBody
{
    return DrainRule{readName(reader, "backend server")};
}

using BodyParser = RuleBody (*)(WordReader &);

auto bodyParsers() -> const std::map<std::string, BodyParser> &
{
    static const std::map<std::string, BodyParser> parsers = {
        {"customer", parseCustomer}, {"key", parseKey},     {"model", parseModel},
        {"adapter", parseAdapter},   {"route", parseRoute}, {"open", parseOpen},
        {"drain", parseDrain}};
    return parsers;
}

auto ruleKinds() -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto &[name, parser] : bodyParsers())
        names.push_back(name);
    return names;
}

auto personFrom(const std::string &comment) -> std::string
{
    const std::string phrase = "asked by ";
    const auto at = comment.find(phrase);
    return at == std::string::npos ? std::string() : comment.substr(at + phrase.size());
}

} // namespace

auto parseRule(const std::string &text, int line) -> Utils::Result<std::optional<Rule>, RuleError>
{
    const LexedLine lexed = lexLine(text);
    if (lexed.words.empty())
        return std::optional<Rule>();
    WordReader reader(lexed, line);
    const auto parser = bodyParsers().find(reader.peek());
    if (parser == bodyParsers().end()) {
        reader.fail("a rule: customer, key, model, adapter, route, open or drain", ruleKinds());
        return tl::unexpected(reader.error());
    }
    reader.readWord("a rule");
    Rule rule;
    rule.body = parser->second(reader);
    if (!reader.hasError() && !reader.atEnd())
        reader.fail("the end of the rule or a comment");
    if (reader.hasError())
        return tl::unexpected(reader.error());
    rule.source = {text, personFrom(lexed.comment), line, 0};
    if (rule.source.person.empty()) {
        const std::string found =
            lexed.comment.empty() ? "no comment" : "\"# " + lexed.comment + "\"";
        return tl::unexpected(RuleError{line,
                                        lexed.endColumn,
                                        "a comment \"# asked by NAME\" that names the requester",
                                        found,
                                        {}});
    }
    return std::optional<Rule>(std::move(rule));
}

} // namespace Rules
