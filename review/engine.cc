#include "engine.hh"

#include "record.hh"
#include "store.hh"

#include <sys/socket.h>
#include <unistd.h>

#include <thread>

namespace Review {

using nlohmann::json;

namespace {

constexpr milliseconds HeartbeatInterval(1200);
/// Three heartbeats of silence.
constexpr milliseconds EntryLifetime(3600);
/// While it works, an engine looks whether its caller has left.
constexpr milliseconds LookInterval(10);

auto unixMs() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

} // namespace

Engine::Engine(Store &store, Record &record, Description description)
    : m_store(store)
    , m_record(record)
    , m_description(std::move(description))
    , m_bornMs(unixMs())
    , m_models(m_description.models)
{
    m_port = m_description.port;
    m_listener = listenOn(m_description.ip, m_port);
    m_record.note("engine " + id() + " starts with version " + version());
    writeEntry();
    std::thread([this] { acceptAll(); }).detach();
    std::thread([this] { beat(); }).detach();
}

auto Engine::acceptAll() -> void
{
    while (m_isUp) {
        const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        auto connection = std::make_shared<Connection>(fd);
        {
            const std::lock_guard lock(m_mutex);
            m_connections.insert(connection);
        }
        std::thread([this, connection] {
            serve(connection);
            const std::lock_guard lock(m_mutex);
            m_connections.erase(connection);
        }).detach();
    }
}

auto Engine::crash(bool startsAgain) -> void
{
    if (!m_isUp.exchange(false))
        return;
    ::shutdown(m_listener, SHUT_RDWR);
    ::close(m_listener);
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &connection : m_connections)
            connection->end();
    }
    m_record.note("engine " + id() + " crashes");
    if (startsAgain)
        return;
    std::thread([this] {
        std::this_thread::sleep_for(EntryLifetime);
        m_store.remove("servers", id());
    }).detach();
}

auto Engine::beat() -> void
{
    while (m_isUp) {
        std::this_thread::sleep_for(HeartbeatInterval);
        if (m_isUp)
            writeEntry();
    }
}

auto Engine::writeEntry() -> void
{
    json entry = report();
    entry["service"] = m_description.service;
    entry["address"] = m_description.ip + ":" + std::to_string(m_port);
    entry["zone"] = m_description.zone;
    entry["version"] = m_description.version;
    entry["slots"] = m_description.slots;
    entry["state"] = "ready";
    entry["coldRemainingMs"] = 0;
    m_store.put("servers", id(), entry.dump());
}

auto Engine::report() -> json
{
    const std::lock_guard lock(m_mutex);
    json models = json::array();
    for (const auto &[name, adapters] : m_models)
        models.push_back({{"name", name}, {"version", 1}, {"adapters", adapters}});
    return {{"stage", "both"},
            {"models", models},
            {"busy", m_isBusy},
            {"sequence", m_sequence},
            {"waiting", 0},
            {"running", m_running.load()},
            {"kvUsed", 0},
            {"kvTotal", 100000},
            {"handles", 0},
            {"born", m_bornMs},
            {"coming", json::array()},
            {"atHand", {{"inMemory", json::array()}, {"onDisk", m_description.onDisk}}}};
}

auto Engine::holds(const std::string &model) -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_models.count(model) > 0;
}

auto Engine::isLoading() -> bool
{
    const std::lock_guard lock(m_mutex);
    return m_isBusy;
}

auto Engine::holdsModelOf(const Message &request) -> bool
{
    const std::string named = request.field("Model");
    const auto slash = named.find('/');
    const std::lock_guard lock(m_mutex);
    const auto held = m_models.find(named.substr(0, slash));
    return held != m_models.end()
        && (slash == std::string::npos || held->second.count(named.substr(slash + 1)) > 0);
}

auto Engine::serve(const std::shared_ptr<Connection> &connection) -> void
{
    Message request;
    while (m_isUp && connection->readMessage(request)) {
        if (!handle(connection, request))
            return;
    }
}

auto Engine::reply(Connection &connection, int status, const std::string &fields,
                   const std::string &body) -> bool
{
    return connection.send("HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
                           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

auto Engine::handle(const std::shared_ptr<Connection> &connection, const Message &request) -> bool
{
    const std::string attempt = request.field("Attempt-Id");
    const std::string echo = attempt.empty() ? "" : "Attempt-Id: " + attempt + "\r\n";
    const std::string self = "Instance-Id: " + id() + "\r\n";
    if (request.has("Expect-Instance") && request.field("Expect-Instance") != id())
        return reply(*connection, 421, echo + self, {});
    const std::string json = "Content-Type: application/json\r\n";
    if (request.secondWord() == "/-/report")
        return reply(*connection, 200, json, report().dump());
    if (request.secondWord() == "/-/order") {
        m_record.note("order at " + id() + " " + request.body);
        const int status = order(json::parse(request.body, nullptr, false));
        if (status == 0) {
            ++m_overloads;
            m_record.note("overload at " + id());
            crash();
            return false;
        }
        return reply(*connection, status, json, {});
    }
    if (attempt.empty())
        return reply(*connection, 400, "Not-Executed: 1\r\n", {});
    m_record.note("arrives " + attempt + " at " + id());
    m_record.noteArrival(attempt);
    if (m_description.hasModels && !holdsModelOf(request))
        return reply(*connection, 421, echo + self, {});
    if (m_running >= m_description.slots)
        return reply(*connection, 503, echo + "Not-Executed: 1\r\n", {});
    ++m_running;
    const bool isGood = run(connection, request);
    --m_running;
    return isGood;
}

auto Engine::run(const std::shared_ptr<Connection> &connection, const Message &request) -> bool
{
    const std::string attempt = request.field("Attempt-Id");
    m_record.note("runs " + attempt + " at " + id() + " version " + version());
    const auto until = Clock::now() + m_description.work;
    while (Clock::now() < until) {
        std::this_thread::sleep_for(std::min<Clock::duration>(LookInterval, until - Clock::now()));
        if (!m_isUp || connection->peerHasClosed()) {
            m_record.note("dropped " + attempt + " at " + id());
            return false;
        }
    }
    if (request.field("Prompt-Prefix").find(m_description.crashingPart + ':')
        != std::string::npos) {
        crash();
        return false;
    }
    int stamp = 0;
    {
        const std::lock_guard lock(m_mutex);
        stamp = ++m_stamps;
    }
    const std::string head = "Attempt-Id: " + attempt + "\r\nServer-Stamp: " + id() + "."
        + std::to_string(stamp) + "\r\nServer-Load: " + std::to_string(m_running) + ",0,"
        + std::to_string(m_description.slots) + "\r\n";
    if (m_description.events > 0)
        return stream(connection, request, head);
    const bool isSent = reply(*connection, 200, head, "answer to " + attempt);
    m_record.note("ran " + attempt + " at " + id());
    return isSent;
}

auto Engine::stream(const std::shared_ptr<Connection> &connection, const Message &request,
                    const std::string &head) -> bool
{
    const std::string attempt = request.field("Attempt-Id");
    const std::string last = request.field("Last-Event-Id");
    const int first = last.empty() ? 1 : std::stoi(last) + 1;
    if (!connection->send("HTTP/1.1 200 OK\r\n" + head
                          + "Content-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"))
        return false;
    const auto crashAt = Clock::now() + m_description.crashAfter;
    for (int i = first; i <= m_description.events; ++i) {
        const std::string event = "id: " + std::to_string(i) + "\ndata: event " + std::to_string(i)
            + " of " + version() + " at " + id() + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!m_isUp || connection->peerHasClosed() || !connection->send(size + event + "\r\n")) {
            m_record.note("dropped " + attempt + " at " + id());
            return false;
        }
        if (request.body == m_description.crashingBody && Clock::now() >= crashAt) {
            crash();
            return false;
        }
        std::this_thread::sleep_for(m_description.eventInterval);
    }
    m_record.note("ran " + attempt + " at " + id());
    return connection->send("0\r\n\r\n");
}

auto Engine::hasRoom(bool isAdapter) const -> bool
{
    if (m_description.weightsMb <= 0)
        return true;
    size_t adapters = isAdapter ? 1 : 0;
    for (const auto &[name, names] : m_models)
        adapters += names.size();
    const double models = double(m_models.size()) + (isAdapter ? 0 : 1);
    return adapters <= m_description.adapterSlots
        && models * m_description.modelMb + double(adapters) * m_description.adapterMb
        <= m_description.weightsMb;
}

auto Engine::order(const json &order) -> int
{
    if (!order.is_object() || !order.contains("holder") || !order.contains("fence")
        || !order.contains("model"))
        return 400;
    const std::string op = order.value("op", "");
    const std::string model = order["model"];
    const std::string adapter = order.value("adapter", "");
    const std::lock_guard lock(m_mutex);
    if (m_isBusy || (order.contains("expected") && order["expected"] != m_sequence))
        return 409;
    const auto held = m_models.find(model);
    if (!adapter.empty()) {
        bool exists = false;
        for (int i = 1; i <= m_description.adaptersPerModel; ++i)
            exists = exists || adapter == "a" + std::to_string(i);
        if (!exists || held == m_models.end())
            return 400;
        const bool isHeld = held->second.count(adapter) > 0;
        if (isHeld == (op == "loading"))
            return 200;
        if (op == "loading" && !hasRoom(true))
            return 0;
        ++m_sequence;
        if (op == "loading") {
            held->second.insert(adapter);
            return 202;
        }
        held->second.erase(adapter);
        return 200;
    }
    if (op == "loading") {
        if (held != m_models.end())
            return 200;
        if (!hasRoom(false))
            return 0;
        ++m_sequence;
        m_isBusy = true;
        std::thread([this, model] {
            std::this_thread::sleep_for(m_description.loadTime);
            {
                const std::lock_guard loaded(m_mutex);
                m_models[model];
                m_isBusy = false;
            }
            if (m_isUp)
                writeEntry();
        }).detach();
        return 202;
    }
    if (held == m_models.end())
        return 200;
    ++m_sequence;
    m_models.erase(held);
    return 202;
}

} // namespace Review
