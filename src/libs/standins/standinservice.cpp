#include "standinservice.h"

#include "faultinjector.h"

#include <net/httpserver.h>
#include <net/reactor.h>
#include <utils/hashing.h>

namespace StandIns {

using ExchangePointer = std::shared_ptr<Net::HttpExchange>;
using nlohmann::json;

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr size_t maxBodyBytes = 64U << 20;
constexpr size_t maxRecords = 20000;
const Net::HttpHeaders jsonHeaders = {{"Content-Type", "application/json"}};

} // namespace

struct StandInService::Private
{
    Net::Reactor &reactor;
    std::unique_ptr<Net::HttpServer> server;
    FaultInjector faults;
    std::string bootId = Utils::randomHex(8);
    json records = json::array();
    std::map<std::string, int> runsByIdentity;
    int runs = 0;

    explicit Private(Net::Reactor &loop)
        : reactor(loop)
    { }

    auto handle(const ExchangePointer &exchange) -> void
    {
        const auto &request = exchange->request();
        if (request.path == "/faults")
            exchange->respond(faults.update(request.body) ? ok : badRequest, jsonHeaders, "{}");
        else if (request.path == "/records")
            exchange->respond(ok, jsonHeaders, records.dump());
        else if (request.path == "/statistics")
            exchange->respond(ok, jsonHeaders,
                              json{{"runs", runs}, {"byIdentity", runsByIdentity}}.dump());
        else if (request.path == "/status" && request.headers.count("x-request-id") == 0)
            exchange->respond(ok, jsonHeaders,
                              json{{"bootId", bootId}, {"models", json::array()}}.dump());
        else
            faults.apply(
                reactor, "calls", [this, exchange] { run(exchange->request()); },
                [this, exchange] { answer(exchange); });
    }

    auto run(const Net::HttpRequest &request) -> void
    {
        ++runs;
        const auto identity = request.headers.find("idempotency-key");
        if (identity != request.headers.end())
            ++runsByIdentity[identity->second];
        if (records.size() < maxRecords)
            records.push_back({{"method", request.method},
                               {"path", request.path},
                               {"headers", request.headers},
                               {"body", request.body}});
    }

    auto answer(const ExchangePointer &exchange) const -> void
    {
        const auto &request = exchange->request();
        const json body = {
            {"received", request.path}, {"bytes", request.body.size()}, {"receipt", runs}};
        exchange->respond(ok, jsonHeaders, body.dump());
    }
};

StandInService::StandInService(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

StandInService::~StandInService() = default;

auto StandInService::create(Net::Reactor &reactor, const std::string &address)
    -> Utils::Result<std::unique_ptr<StandInService>, std::string>
{
    auto data = std::make_unique<Private>(reactor);
    Private *service = data.get();
    auto server =
        Net::HttpServer::listen(reactor, address, maxBodyBytes,
                                [service](const auto &exchange) { service->handle(exchange); });
    if (!server)
        return tl::unexpected(server.error());
    data->server = std::move(*server);
    return std::unique_ptr<StandInService>(new StandInService(std::move(data)));
}

auto StandInService::port() const -> int
{
    return d->server->port();
}

} // namespace StandIns
