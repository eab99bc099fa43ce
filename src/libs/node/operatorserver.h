#pragma once

#include <net/httpserver.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Node {

class FleetNode;

/// HTTP server for operators: /metrics, /status, /healthz and, through `explain`, /explain/ID.
/// Status and explanations are also available over links, for acaciactl.
class OperatorServer
{
public:
    using StatusCallback = std::function<nlohmann::json()>;
    using ExplainCallback = std::function<nlohmann::json(const std::string &requestId)>;

    static auto create(FleetNode &node, StatusCallback status, ExplainCallback explain)
        -> Utils::Result<std::unique_ptr<OperatorServer>, std::string>;

private:
    OperatorServer(FleetNode &node, StatusCallback status, ExplainCallback explain);
    auto handle(const std::shared_ptr<Net::HttpExchange> &exchange) -> void;
    auto addLinkHandlers() -> void;
    auto fullStatus() const -> nlohmann::json;
    auto commonStatus() const -> nlohmann::json;

    FleetNode &m_node;
    StatusCallback m_status;
    ExplainCallback m_explain;
    std::unique_ptr<Net::HttpServer> m_server;
};

} // namespace Node
