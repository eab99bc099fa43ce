#include "operatorserver.h"

#include "fleetnode.h"
#include <monitoring/metrics.h>

#include <links/linkserver.h>
#include <protocol/codec.h>

#include <algorithm>
#include <utils/jsonfield.h>
#include <utils/jsontext.h>

namespace Node {

using nlohmann::json;

namespace {

const Net::HttpHeaders jsonHeaders = {{"Content-Type", "application/json"}};
const std::string explainPrefix = "/explain/";

} // namespace

OperatorServer::OperatorServer(FleetNode &node, StatusCallback status, ExplainCallback explain)
    : m_node(node)
    , m_status(std::move(status))
    , m_explain(std::move(explain))
{ }

auto OperatorServer::create(FleetNode &node, StatusCallback status, ExplainCallback explain)
    -> Utils::Result<std::unique_ptr<OperatorServer>, std::string>
{
    constexpr size_t maxBodyBytes = 4096;
    std::unique_ptr<OperatorServer> server(
        new OperatorServer(node, std::move(status), std::move(explain)));
    server->addLinkHandlers();
    if (node.settings().operatorAddress.empty())
        return server;
    auto *self = server.get();
    auto listener =
        Net::HttpServer::listen(node.reactor(), node.settings().operatorAddress, maxBodyBytes,
                                [self](const auto &exchange) { self->handle(exchange); });
    if (!listener)
        return tl::unexpected(listener.error());
    server->m_server = std::move(*listener);
    return server;
}

auto OperatorServer::addLinkHandlers() -> void
{
    m_node.setHandler(Protocol::Path::status, [this](const auto &exchange) {
        exchange->send(Protocol::encode(fullStatus()));
        exchange->finish();
    });
    m_node.setHandler(Protocol::Path::explain, [this](const auto &exchange) {
        const auto request = Protocol::decode(exchange->body());
        const bool isValid = request && request->is_object();
        exchange->send(Protocol::encode(
            isValid ? m_explain(Utils::fieldOr(*request, "requestId", "")) : json()));
        exchange->finish();
    });
}

auto OperatorServer::fullStatus() const -> json
{
    json status = commonStatus();
    status.update(m_status());
    return status;
}

auto OperatorServer::commonStatus() const -> json
{
    const auto &settings = m_node.settings();
    const auto age = std::min<Utils::Duration>(m_node.controlAge(), std::chrono::hours(24));
    return {{"name", settings.name},
            {"role", settings.role},
            {"failureDomain", settings.failureDomain},
            {"incarnation", m_node.incarnation()},
            {"revision", m_node.state().revision()},
            {"mayAct", m_node.mayAct()},
            {"storeReachable", m_node.isStoreReachable()},
            {"controlAge", Utils::toSeconds(age)}};
}

auto OperatorServer::handle(const std::shared_ptr<Net::HttpExchange> &exchange) -> void
{
    constexpr int ok = 200;
    constexpr int notFound = 404;
    constexpr int unavailable = 503;
    const auto &path = exchange->request().path;
    if (path == "/metrics") {
        m_node.metrics().set("acacia_control_age_seconds",
                             Utils::toSeconds(std::min<Utils::Duration>(m_node.controlAge(),
                                                                        std::chrono::hours(24))));
        exchange->respond(ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                          m_node.metrics().text());
    } else if (path == "/healthz") {
        exchange->respond(m_node.mayAct() ? ok : unavailable, jsonHeaders,
                          Utils::toJsonText(commonStatus()));
    } else if (path == "/status") {
        exchange->respond(ok, jsonHeaders, Utils::toJsonText(fullStatus()));
    } else if (path.rfind(explainPrefix, 0) == 0) {
        const json found = m_explain(path.substr(explainPrefix.size()));
        exchange->respond(found.is_null() ? notFound : ok, jsonHeaders, Utils::toJsonText(found));
    } else {
        exchange->respond(notFound, jsonHeaders, json{{"error", "unknown path"}}.dump());
    }
}

} // namespace Node
