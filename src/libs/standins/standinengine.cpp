#include "standinengine_p.h"

namespace StandIns {

auto StandInEngine::Private::usedBytes() const -> std::uint64_t
{
    std::uint64_t used = 0;
    for (const auto &[name, model] : models)
        used += model.bytes;
    return used;
}

auto StandInEngine::Private::record(const Net::HttpRequest &request) -> void
{
    if (records.size() < maxRecords)
        records.push_back({{"method", request.method},
                           {"path", request.path},
                           {"headers", request.headers},
                           {"body", request.body}});
}

auto StandInEngine::Private::handle(const ExchangePointer &exchange) -> void
{
    const std::string cancelPrefix = "/cancel/";
    const auto &path = exchange->request().path;
    if (path == "/status") {
        status(exchange);
    } else if (path == "/faults") {
        respond(exchange, faults.update(exchange->request().body) ? ok : badRequest,
                json::object());
    } else if (path == "/records") {
        respond(exchange, ok, records);
    } else if (path == "/statistics") {
        statistics(exchange);
    } else {
        record(exchange->request());
        if (path == "/orders/load")
            load(exchange);
        else if (path == "/orders/unload")
            unload(exchange);
        else if (path == "/v1/completions" || path == "/v1/chat/completions")
            run(exchange);
        else if (path.rfind(cancelPrefix, 0) == 0)
            cancel(exchange, path.substr(cancelPrefix.size()));
        else
            respond(exchange, notFound, {{"error", "unknown path"}});
    }
}

auto StandInEngine::Private::status(const ExchangePointer &exchange) -> void
{
    json list = json::array();
    for (const auto &[name, model] : models)
        list.push_back({{"name", name}, {"bytes", model.bytes}, {"loading", model.isLoading}});
    faults.apply(
        reactor, "status", [] {},
        [this, exchange, list] {
            respond(exchange, ok,
                    {{"bootId", bootId}, {"models", list}, {"running", generations.size()}});
        });
}

auto StandInEngine::Private::isStaleOrder(const json &order) -> bool
{
    const auto fence = Utils::fieldOr(order, "fence", std::uint64_t(0));
    if (!options.honoursFencing)
        return false;
    if (fence < highestFence)
        return true;
    highestFence = fence;
    return false;
}

auto StandInEngine::Private::load(const ExchangePointer &exchange) -> void
{
    const json order = json::parse(exchange->request().body, nullptr, false);
    if (!order.is_object() || !order.contains("model")) {
        respond(exchange, badRequest, {{"error", "expected a model"}});
        return;
    }
    const auto answer = std::make_shared<std::function<void()>>();
    const auto effect = [this, exchange, order] {
        const std::string name = order["model"].get<std::string>();
        const auto bytes = Utils::fieldOr(order, "bytes", std::uint64_t(0));
        const std::string base = Utils::fieldOr(order, "base", "");
        if (isStaleOrder(order)) {
            respond(exchange, conflict, {{"error", "outdated fencing number"}});
            return;
        }
        if (models.count(name) > 0) {
            respond(exchange, models[name].isLoading ? conflict : ok, json::object());
            return;
        }
        if (usedBytes() + bytes > options.memoryBytes) {
            ++overcommits;
            respond(exchange, insufficientStorage, {{"error", "out of memory"}});
            return;
        }
        ++loads;
        models[name] = {bytes, base, true, 0, {}};
        peakBytes = std::max(peakBytes, usedBytes());
        const bool losesAnswer = faults.faultFor("orders").losesAnswers;
        fetchWeights(!base.empty(), [this, exchange, name, losesAnswer] {
            if (models.count(name) > 0) {
                models[name].isLoading = false;
                models[name].idleSince = reactor.now();
            }
            if (!losesAnswer)
                respond(exchange, ok, json::object());
        });
    };
    faults.apply(reactor, "orders", effect, [] {});
}

auto StandInEngine::Private::fetchWeights(bool isAdapter, const std::function<void()> &done) -> void
{
    if (isAdapter || options.platformAddress.empty()) {
        reactor.callAfter(isAdapter ? options.adapterLoadTime : options.loadTime, done);
        return;
    }
    Net::HttpCall call;
    call.url = "http://" + options.platformAddress
        + "/weights?ms=" + std::to_string(options.loadTime.count());
    call.timeout = std::chrono::minutes(2);
    client.start(std::move(call), [done](const auto &) { done(); });
}

/// Adds the time for which an unused model has been idle so far.
auto StandInEngine::Private::addIdleTime(const std::string &name) -> void
{
    const auto found = models.find(name);
    if (found == models.end() || found->second.isLoading || found->second.activeGenerations > 0)
        return;
    idleTime += reactor.now() - found->second.idleSince;
    found->second.idleSince = reactor.now();
}

auto StandInEngine::Private::beginUse(const std::string &name) -> void
{
    addIdleTime(name);
    ++models[name].activeGenerations;
}

auto StandInEngine::Private::endUse(const std::string &name) -> void
{
    const auto found = models.find(name);
    if (found == models.end() || found->second.activeGenerations == 0)
        return;
    --found->second.activeGenerations;
    found->second.idleSince = reactor.now();
}

auto StandInEngine::Private::unload(const ExchangePointer &exchange) -> void
{
    const json order = json::parse(exchange->request().body, nullptr, false);
    if (!order.is_object() || !order.contains("model")) {
        respond(exchange, badRequest, {{"error", "expected a model"}});
        return;
    }
    const auto fenced = std::make_shared<bool>(false);
    const auto effect = [this, order, fenced] {
        *fenced = isStaleOrder(order);
        if (*fenced)
            return;
        const std::string name = order["model"].get<std::string>();
        addIdleTime(name);
        std::erase_if(models,
                      [&name](const auto &e) { return e.first == name || e.second.base == name; });
    };
    faults.apply(reactor, "orders", effect, [exchange, fenced] {
        respond(exchange, *fenced ? conflict : ok, json::object());
    });
}

auto StandInEngine::Private::statistics(const ExchangePointer &exchange) -> void
{
    for (const auto &[name, model] : models)
        addIdleTime(name);
    respond(exchange, ok,
            {{"overcommits", overcommits},
             {"loads", loads},
             {"runs", runs},
             {"cancels", cancels},
             {"idleModelSeconds", Utils::toSeconds(idleTime)},
             {"mostBytes", peakBytes},
             {"memoryBytes", options.memoryBytes}});
}

StandInEngine::StandInEngine(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

StandInEngine::~StandInEngine() = default;

auto StandInEngine::create(Net::Reactor &reactor, const EngineOptions &options)
    -> Utils::Result<std::unique_ptr<StandInEngine>, std::string>
{
    auto data = std::make_unique<Private>(reactor, options);
    Private *engine = data.get();
    auto server =
        Net::HttpServer::listen(reactor, options.address, maxBodyBytes,
                                [engine](const auto &exchange) { engine->handle(exchange); });
    if (!server)
        return tl::unexpected(server.error());
    data->server = std::move(*server);
    return std::unique_ptr<StandInEngine>(new StandInEngine(std::move(data)));
}

auto StandInEngine::port() const -> int
{
    return d->server->port();
}

} // namespace StandIns
