#include "httpbackendserver.h"

#include "agentconstants.h"

#include <net/httpclient.h>

#include <nlohmann/json.hpp>

namespace Agent {

using nlohmann::json;

namespace {

auto parseStatus(const std::string &body) -> Utils::Result<ServerStatus, std::string>
{
    try {
        const json document = json::parse(body);
        ServerStatus status;
        status.bootId = document.at("bootId").get<std::string>();
        for (const auto &entry : document.at("models"))
            status.models.push_back({entry.at("name").get<std::string>(),
                                     entry.at("bytes").get<std::uint64_t>(),
                                     entry.at("loading").get<bool>()});
        return status;
    } catch (const json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

auto headOf(const Net::HttpHead &head) -> ServerAnswerHead
{
    const auto contentType = head.headers.find("content-type");
    return {head.status,
            contentType == head.headers.end() ? "application/octet-stream" : contentType->second};
}

} // namespace

HttpBackendServer::HttpBackendServer(Net::HttpClient &client, const std::string &address)
    : m_client(client)
    , m_url("http://" + address)
{ }

auto HttpBackendServer::status(StatusCallback done) -> void
{
    Net::HttpCall call;
    call.url = m_url + "/status";
    call.timeout = Constants::StatusTimeout;
    m_client.start(std::move(call), [done = std::move(done)](const auto &outcome) {
        if (outcome.isSuccess())
            done(parseStatus(outcome.body));
        else
            done(tl::unexpected(outcome.error.empty() ? "status " + std::to_string(outcome.status)
                                                      : outcome.error));
    });
}

auto HttpBackendServer::load(const ModelOrder &modelOrder, std::chrono::milliseconds timeout,
                             OrderCallback done) -> void
{
    order("/orders/load", modelOrder, timeout, std::move(done));
}

auto HttpBackendServer::unload(const ModelOrder &modelOrder, std::chrono::milliseconds timeout,
                               OrderCallback done) -> void
{
    order("/orders/unload", modelOrder, timeout, std::move(done));
}

auto HttpBackendServer::order(const std::string &path, const ModelOrder &modelOrder,
                              std::chrono::milliseconds timeout, OrderCallback done) -> void
{
    constexpr int firstServerError = 500;
    Net::HttpCall call;
    call.method = "POST";
    call.url = m_url + path;
    call.headers["Content-Type"] = "application/json";
    call.body = json{{"model", modelOrder.name},
                     {"base", modelOrder.base},
                     {"bytes", modelOrder.bytes},
                     {"fence", modelOrder.fence}}
                    .dump();
    call.timeout = timeout;
    m_client.start(std::move(call), [done = std::move(done)](const auto &outcome) {
        const bool isRefused = outcome.error.empty() && outcome.status < firstServerError;
        if (outcome.isSuccess())
            done({});
        else
            done(tl::unexpected(isRefused || !outcome.sent ? OrderError::Refused
                                                           : OrderError::Lost));
    });
}

auto HttpBackendServer::dispatch(const Protocol::RunRequest &request,
                                 std::chrono::milliseconds timeout, DispatchCallbacks callbacks)
    -> DispatchId
{
    // Forwards only these headers; the server sees nothing else of the caller's request.
    Net::HttpCall call;
    call.method = request.method;
    call.url = m_url + request.path;
    call.headers["Content-Type"] = request.contentType;
    call.headers["X-Request-Id"] = request.requestId;
    if (!request.submissionIdentity.empty())
        call.headers["Idempotency-Key"] = request.submissionIdentity;
    call.body = request.body;
    call.timeout = timeout;
    const auto headSent = std::make_shared<bool>(false);
    const auto shared = std::make_shared<DispatchCallbacks>(std::move(callbacks));
    const auto sendHead = [headSent, shared](const ServerAnswerHead &head) {
        if (std::exchange(*headSent, true))
            return;
        shared->onHead(head);
    };
    call.onData = [sendHead, shared](const Net::HttpHead &head, const std::string &piece) {
        sendHead(headOf(head));
        shared->onData(piece);
    };
    return m_client.start(std::move(call), [sendHead, shared](const Net::HttpOutcome &outcome) {
        if (!outcome.error.empty()) {
            shared->onDone(outcome.sent ? DispatchEnd::Failed : DispatchEnd::NotSent);
            return;
        }
        sendHead(headOf({outcome.status, outcome.headers}));
        shared->onDone(DispatchEnd::Answered);
    });
}

auto HttpBackendServer::cancel(DispatchId dispatch, const std::string &requestId) -> void
{
    m_client.cancel(dispatch);
    Net::HttpCall call;
    call.method = "POST";
    call.url = m_url + "/cancel/" + requestId;
    m_client.start(std::move(call), [](const auto &) {});
}

} // namespace Agent
