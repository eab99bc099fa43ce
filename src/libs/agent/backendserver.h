#pragma once

#include <placement/modeltable.h>
#include <protocol/runrequest.h>
#include <utils/result.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Agent {

/// Status reported by a backend server.
struct ServerStatus
{
    std::string bootId; ///< Changes when the server restarts.
    std::vector<Placement::ReportedModel> models;
};

/// Why an order to a backend server failed.
enum class OrderError {
    Refused, ///< The server did not carry out the order.
    Lost, ///< No answer; the order may still take effect.
};

/// An order to load or unload a model. Servers that check the fencing number refuse orders from an
/// older agent.
struct ModelOrder
{
    std::string name;
    std::string base; ///< The model if `name` is an adapter.
    std::uint64_t bytes = 0;
    std::uint64_t fence = 0;
};

/// The head of a backend server's answer.
struct ServerAnswerHead
{
    int status = 0;
    std::string contentType;
};

/// How a dispatched request ended.
enum class DispatchEnd {
    Answered,
    NotSent, ///< No byte reached the server.
    Failed, ///< The server or the connection failed after the request was sent.
};

/// Callbacks for the progress of a dispatch.
struct DispatchCallbacks
{
    std::function<void(const ServerAnswerHead &head)> onHead;
    std::function<void(const std::string &bytes)> onData;
    std::function<void(DispatchEnd end)> onDone;
};

/// The backend server of an agent.
class BackendServer
{
public:
    using DispatchId = std::uint64_t;
    using StatusCallback = std::function<void(const Utils::Result<ServerStatus, std::string> &)>;
    using OrderCallback = std::function<void(const Utils::Result<void, OrderError> &)>;

    virtual ~BackendServer() = default;
    virtual auto status(StatusCallback done) -> void = 0;
    virtual auto load(const ModelOrder &order, std::chrono::milliseconds timeout,
                      OrderCallback done) -> void = 0;
    virtual auto unload(const ModelOrder &order, std::chrono::milliseconds timeout,
                        OrderCallback done) -> void = 0;
    virtual auto dispatch(const Protocol::RunRequest &request, std::chrono::milliseconds timeout,
                          DispatchCallbacks callbacks) -> DispatchId = 0;
    /// Cancels a dispatch. Its callbacks are not called afterwards.
    virtual auto cancel(DispatchId dispatch, const std::string &requestId) -> void = 0;
};

} // namespace Agent
