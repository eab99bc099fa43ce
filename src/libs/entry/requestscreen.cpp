#include "requestscreen.h"

#include <utils/hashing.h>
#include <utils/jsontext.h>

#include <cmath>
#include <cstdlib>

namespace Entry {

using Admission::Ran;
using Admission::Refusal;
using Admission::RefusalReason;
using Net::HttpRequest;
using nlohmann::json;
using ScreenResult = Utils::Result<ScreenedRequest, Refusal>;

namespace {

const std::string completionsPath = "/v1/completions";
const std::string chatPath = "/v1/chat/completions";

auto refuse(RefusalReason reason, const std::string &detail = {}) -> tl::unexpected<Refusal>
{
    return tl::unexpected(Refusal{reason, Ran::No, {}, detail, {}, {}, {}});
}

auto header(const HttpRequest &request, const std::string &name) -> std::string
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

auto lowered(std::string text) -> std::string
{
    for (auto &c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

/// The key after "Bearer"; empty if there is none.
auto bearerKey(const HttpRequest &request) -> std::string
{
    const std::string scheme = "bearer ";
    const std::string value = header(request, "authorization");
    return lowered(value.substr(0, scheme.size())) == scheme ? value.substr(scheme.size())
                                                             : std::string();
}

auto readDeadline(const HttpRequest &request, const ScreenLimits &limits)
    -> Utils::Result<std::chrono::milliseconds, Refusal>
{
    const std::string text = header(request, "x-request-timeout");
    if (text.empty())
        return limits.defaultDeadline;
    char *end = nullptr;
    const double seconds = std::strtod(text.c_str(), &end);
    if (*end != '\0' || !std::isfinite(seconds) || seconds <= 0)
        return refuse(RefusalReason::MalformedBody,
                      "X-Request-Timeout: expected a positive number of seconds");
    const auto longest = static_cast<double>(limits.longestDeadline.count());
    return std::chrono::milliseconds(std::llround(std::min(seconds * 1000.0, longest)));
}

/// Checks the body of a completion and finds its model or adapter.
auto screenCompletion(const HttpRequest &request, const Rules::RuleSet &rules,
                      ScreenedRequest screened) -> ScreenResult
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return refuse(RefusalReason::MalformedBody, "expected a JSON object");
    if (!body.contains("model") || !body["model"].is_string())
        return refuse(RefusalReason::MalformedBody, "field \"model\": expected a string");
    const std::string input = request.path == chatPath ? "messages" : "prompt";
    if (!body.contains(input))
        return refuse(RefusalReason::MalformedBody, "field \"" + input + "\" is missing");
    if (body.contains("stream") && !body["stream"].is_boolean())
        return refuse(RefusalReason::MalformedBody, "field \"stream\": expected true or false");
    const auto estimate = Admission::estimateCompletion(body);
    if (!estimate)
        return refuse(RefusalReason::MalformedBody,
                      "field \"max_tokens\": expected a whole number from 1 to 1000000");
    const std::string name = body["model"].get<std::string>();
    const auto *adapter = rules.adapter(name);
    const auto *model = rules.model(adapter ? adapter->body.model : name);
    if (!model)
        return refuse(RefusalReason::UnknownModel, name);
    screened.kind = ScreenedRequest::Kind::Model;
    screened.model = model->body.name;
    screened.adapter = adapter ? name : std::string();
    screened.estimate = *estimate;
    screened.rule = adapter ? adapter->source : model->source;
    return screened;
}

auto findIdentity(const HttpRequest &request, const Rules::IdentitySource &source) -> std::string
{
    if (source.place == Rules::IdentitySource::Place::Header)
        return header(request, lowered(source.name));
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains(source.name))
        return {};
    const auto &value = body[source.name];
    return value.is_string() ? value.get<std::string>() : Utils::toJsonText(value);
}

auto screenService(const HttpRequest &request, const Rules::Sourced<Rules::RouteRule> &route,
                   ScreenedRequest screened) -> ScreenResult
{
    screened.kind = ScreenedRequest::Kind::Service;
    screened.service = route.body.service;
    screened.estimate = Admission::estimateServiceCall(request.body.size());
    screened.rule = route.source;
    if (!route.body.once)
        return screened;
    screened.submissionIdentity = findIdentity(request, *route.body.once);
    if (screened.submissionIdentity.empty()) {
        Refusal refusal{RefusalReason::MissingIdentity,
                        Ran::No,
                        {},
                        "expected " + route.body.once->name,
                        route.source.text,
                        route.source.person,
                        {}};
        return tl::unexpected(refusal);
    }
    return screened;
}

auto screenOpen(const HttpRequest &request, const Rules::Sourced<Rules::OpenRule> &route,
                ScreenedRequest screened) -> ScreenResult
{
    screened.kind = route.body.service.empty() ? ScreenedRequest::Kind::OwnStatus
                                               : ScreenedRequest::Kind::Service;
    screened.service = route.body.service;
    screened.estimate = Admission::estimateServiceCall(request.body.size());
    screened.rule = route.source;
    return screened;
}

auto isCompletionPath(const std::string &path) -> bool
{
    return path == completionsPath || path == chatPath;
}

auto isKnownPath(const std::string &path, const Rules::RuleSet &rules) -> bool
{
    for (const auto *method : {"GET", "POST", "PUT", "DELETE", "PATCH"}) {
        if (rules.route(method, path) || rules.openRoute(method, path))
            return true;
    }
    return isCompletionPath(path);
}

} // namespace

auto ScreenedRequest::mayRepeat() const -> bool
{
    return kind == Kind::Model || method == "GET";
}

auto screenRequest(const HttpRequest &request, const Rules::RuleSet &rules,
                   const ScreenLimits &limits) -> ScreenResult
{
    const auto timeLeft = readDeadline(request, limits);
    if (!timeLeft)
        return tl::unexpected(timeLeft.error());
    ScreenedRequest screened;
    screened.method = request.method;
    screened.path = request.path;
    screened.contentType = header(request, "content-type");
    screened.timeLeft = *timeLeft;
    if (request.bodyTooLarge)
        return refuse(RefusalReason::BodyTooLarge);
    if (const auto *open = rules.openRoute(request.method, request.path))
        return screenOpen(request, *open, screened);
    const std::string key = bearerKey(request);
    if (key.empty())
        return refuse(RefusalReason::NoKey);
    screened.keyHash = Utils::sha256Hex(key);
    const auto *customer = rules.customerOfKey(screened.keyHash);
    if (!customer)
        return refuse(RefusalReason::WrongKey);
    screened.customer = customer->body.name;
    screened.weight = customer->body.weight;
    if (isCompletionPath(request.path) && request.method == "POST")
        return screenCompletion(request, rules, screened);
    if (const auto *route = rules.route(request.method, request.path))
        return screenService(request, *route, screened);
    return refuse(isKnownPath(request.path, rules) ? RefusalReason::MethodNotAllowed
                                                   : RefusalReason::UnknownRoute);
}

} // namespace Entry
