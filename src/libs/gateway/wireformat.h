#pragma once

#include "backendserver.h"
#include "configuration.h"

#include <http1/head.h>
#include <utils/result.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Gateway {

/// One part of a prompt; requests share leading parts.
struct PromptPart
{
    std::string id;
    int tokens = 0;
};

/// A caller's request, decoded.
struct CallerRequest
{
    std::string attemptId;
    std::string host;
    std::string method;
    std::string target;
    std::string path;
    std::string key; ///< Empty if the caller sent none.
    std::optional<std::chrono::milliseconds> patience; ///< The caller's own timeout.
    std::string model; ///< Without its adapter.
    std::string adapter;
    bool hasTokenCount = false;
    int promptTokens = 0;
    int maxAnswerTokens = 0;
    std::optional<int> lengthHint = {}; ///< Estimated number of answer tokens.
    std::vector<PromptPart> promptParts;
    std::optional<std::int64_t> resumeAfter; ///< Last event that the caller has received.
    /// The request takes up a stream; whether it tells which one in a readable way is another
    /// question.
    bool takesUpStream = false;
    /// Attempt that brought the first event of the stream that this request takes up; empty if the
    /// caller names none, or the fields contradict each other.
    std::string resumedAttempt;
    Http1::Fields forwarded; ///< Forwarded to the backend server unchanged.
    std::string body;

    auto tokens() const -> int { return promptTokens + maxAnswerTokens; }
    /// Returns model and adapter as one name.
    auto modelName() const -> std::string
    {
        return adapter.empty() ? model : model + '/' + adapter;
    }
};

/// Data that an attempt at a backend server adds to the caller's request.
struct AttemptDetails
{
    std::string backendId;
    std::string customer;
    std::chrono::milliseconds timeLeft{0};
    std::optional<int> urgency; ///< 0 is the most urgent.
    std::optional<std::int64_t> resumeAfter;
};

/// Number of requests at a backend server when it answered.
struct BackendLoad
{
    int running = 0;
    int waiting = 0;
    int slots = 0;
    /// Time that work takes on the server's machine at this moment, relative to the usual time.
    std::optional<double> slowdown = {};
};

/// A backend server's answer, decoded.
struct BackendAnswer
{
    int status = 0;
    std::string attemptId; ///< Attempt that is answered; empty if the answer does not name it.
    bool isNotRun = false; ///< The server states that it has not run the request.
    bool isSigned = false; ///< The answer carries a server's signature.
    bool isWrongServer =
        false; ///< Another incarnation uses the address, or the model is not loaded there.
    bool isLeaving = false; ///< The server is stopping and accepts no new requests.
    std::optional<std::chrono::milliseconds>
        pause; ///< The server asks this gateway for no requests during this time.
    /// Requests per second that the server accepts from all gateways together while its answers
    /// say so; 0 if it accepts none.
    std::optional<double> rateLimit;
    bool hasMalformedRateLimit = false;
    bool endsWithConnection = false; ///< Nothing but the connection's end shows where it ends.
    bool isEncoded = false; ///< An intermediary has encoded the body.
    std::optional<std::chrono::milliseconds> coldFor; ///< Time for which the server is cold yet.
    std::optional<std::string> actualServerId;
    std::optional<BackendLoad> load;
    std::optional<std::chrono::seconds> idleTimeout;
    Http1::Fields forwarded; ///< Forwarded to the caller.

    auto isSuccess() const -> bool { return status >= 200 && status < 300; }
};

/// An order to a model engine to load or unload a model or an adapter.
struct EngineOrder
{
    enum class Kind { Load, Unload };
    Kind kind = Kind::Load;
    std::string model;
    std::string adapter; ///< Empty for the model itself.
    std::string holder; ///< The holder of the placement lease that issues the order.
    std::uint64_t fence = 0; ///< Fencing token; increases with each holder.
    std::optional<std::int64_t> expectedOrders; ///< The order is accepted only if the engine has
                                                ///< accepted exactly this many orders.
};

enum class OrderResult {
    Accepted, ///< The order is being executed.
    AlreadyDone,
    Conflict, ///< Another order is in progress, or the number of accepted orders differs.
    Outdated, ///< A newer holder has issued orders.
    Rejected,
    WrongServer,
    Unknown,
};

/// State of an engine as last reported.
struct EngineReport
{
    std::map<std::string, std::set<std::string>> models;
    std::set<std::string> loadingAdapters; ///< As "model/adapter".
    bool isBusy = false;
    std::int64_t ordersAccepted = 0;
    int running = 0;
    int waiting = 0;
    std::optional<std::int64_t> startedAtMs; ///< Unix time; unset if the report doesn't tell.
};

/// Identifies one row of the store.
struct RowName
{
    std::string table;
    std::string key;
};

/// Encodes and decodes the gateway's calls in the format of one platform.
class WireFormat
{
public:
    virtual ~WireFormat() = default;

    virtual auto parseRequest(const Http1::RequestHead &head, std::string &&body) const
        -> Utils::Result<CallerRequest, std::string> = 0;
    virtual auto formatSend(const CallerRequest &request, const AttemptDetails &details) const
        -> std::string = 0;
    virtual auto parseAnswer(const Http1::ResponseHead &head) const -> BackendAnswer = 0;
    /// Header fields of a refusal by the gateway itself.
    virtual auto refusalFields(const std::string &attemptId,
                               std::optional<std::chrono::milliseconds> retryAfter) const
        -> Http1::Fields = 0;
    virtual auto isReadinessRequest(const Http1::RequestHead &head) const -> bool = 0;

    virtual auto formatOrder(const std::string &backendId, const EngineOrder &order) const
        -> std::string = 0;
    virtual auto parseOrderAnswer(int status) const -> OrderResult = 0;
    virtual auto formatReportRequest(const std::string &backendId) const -> std::string = 0;
    virtual auto parseReport(const std::string &body) const
        -> Utils::Result<EngineReport, std::string> = 0;

    /// Where the store keeps the operators' configuration and the list of backend servers.
    virtual auto configurationRow() const -> RowName = 0;
    /// The failure domain whose evacuation a row of the configuration's table stands for; unset for
    /// other rows.
    virtual auto evacuatedDomain(const std::string &key) const -> std::optional<std::string> = 0;
    virtual auto backendTable() const -> std::string = 0;
    virtual auto parseConfiguration(const std::string &bytes) const
        -> Utils::Result<Configuration, std::string> = 0;
    virtual auto parseBackend(const std::string &id, const std::string &bytes) const
        -> Utils::Result<BackendServer, std::string> = 0;
};

} // namespace Gateway
