// An engine: announces itself in the store, runs requests and carries out orders.
#pragma once

#include "net.hh"
#include "record.hh"
#include "store.hh"

#include <atomic>
#include <functional>
#include <set>

namespace standins {

class Engine
{
public:
    struct Run
    {
        std::string id;
        Message request;
    };
    /// Answers a request; called on the connection's own thread.
    using Behaviour = std::function<void(Engine &, Connection &, const Message &)>;

    Engine(Store &store, Record &record, std::string id, std::string service, int slots,
           std::set<std::string> models = {}, std::string zone = "tw-north-a",
           std::string version = "v1")
        : m_store(store)
        , m_record(record)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_slots(slots)
        , m_models(std::move(models))
        , m_zone(std::move(zone))
        , m_version(std::move(version))
        , m_born(unixMs())
        , m_listener(listenOn())
        , m_port(portOf(m_listener))
    {
        std::thread([this] { acceptAll(); }).detach();
        announce();
        std::thread([this] {
            while (true) {
                ::usleep(1200000);
                if (m_isAnnounced)
                    announce();
            }
        }).detach();
    }

    Behaviour behaviour;
    int loadMs = 6000;

    auto id() const -> const std::string & { return m_id; }
    auto port() const -> int { return m_port; }
    auto runs() const -> int { return m_runs; }

    auto announce(const std::string &state = {}) -> void
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!state.empty())
            m_state = state;
        m_isAnnounced = true;
        nlohmann::json entry = {{"service", m_service},
                                {"address", "127.0.0.1:" + std::to_string(port())},
                                {"zone", m_zone},
                                {"version", m_version},
                                {"slots", m_slots},
                                {"state", m_state},
                                {"coldRemainingMs", 0},
                                {"stage", "both"},
                                {"models", modelsToJson()},
                                {"sequence", m_sequence},
                                {"born", m_born}};
        m_store.put("servers", m_id, entry.dump());
    }

    auto version() -> std::string
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_version;
    }

    /// Ends at once, with all connections; its entry stays until it expires.
    auto crash() -> void
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isAnnounced = false;
        ::shutdown(m_listener, SHUT_RDWR);
        for (const int fd : m_open)
            ::shutdown(fd, SHUT_RDWR);
        m_record.add(m_id + " crashes with " + std::to_string(m_open.size()) + " connections");
    }

    /// Starts again under its id, at its address, with the given software.
    auto restart(const std::string &version) -> void
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_version = version;
            m_born = unixMs();
            m_sequence = 0;
            m_models.clear();
            m_listener = listenOn(m_port);
        }
        std::thread([this] { acceptAll(); }).detach();
        m_record.add(m_id + " starts again with " + version);
        announce();
    }

    /// Notes that the request has begun to run.
    auto noteRun(const Message &request) -> void
    {
        ++m_runs;
        m_record.add(m_id + " runs " + request.field("Attempt-Id") + ": " + request.first
                     + ", body of " + std::to_string(request.body.size()) + " bytes, Tenant "
                     + request.field("Tenant"));
    }

    static auto head(int status, const Message &request, const std::string &rest) -> std::string
    {
        return "HTTP/1.1 " + std::to_string(status) + " Answer\r\nAttempt-Id: "
            + request.field("Attempt-Id") + "\r\n" + rest;
    }

    auto answer(Connection &connection, const Message &request, const std::string &body) const
        -> bool
    {
        return connection.send(head(200, request,
                                    "Server-Stamp: " + m_id + ".1\r\nContent-Length: "
                                        + std::to_string(body.size()) + "\r\n\r\n" + body));
    }

private:
    auto modelsToJson() const -> nlohmann::json
    {
        nlohmann::json list = nlohmann::json::array();
        for (const std::string &model : m_models)
            list.push_back({{"name", model}, {"version", 1}, {"adapters", nlohmann::json::array()}});
        return list;
    }

    static auto unixMs() -> std::int64_t
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    auto acceptAll() -> void
    {
        const int listener = m_listener;
        while (true) {
            const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                ::close(listener);
                return;
            }
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    auto serve(int fd) -> void
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_open.insert(fd);
        }
        serveRequests(fd);
    }

    auto serveRequests(int fd) -> void
    {
        Connection connection(fd);
        struct Leave
        {
            Engine &engine;
            int fd;
            ~Leave()
            {
                const std::lock_guard<std::mutex> lock(engine.m_mutex);
                engine.m_open.erase(fd);
            }
        } leave{*this, fd};
        Message request;
        while (connection.read(request, nowMs() + 600000, false)) {
            const std::string expected = request.field("Expect-Instance");
            if (!expected.empty() && expected != m_id)
                connection.send(head(421, request,
                                     "Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n"));
            else if (request.target() == "/-/report")
                sendJson(connection, 200, report());
            else if (request.target() == "/-/order")
                carryOut(connection, request);
            else if (!holdsModelOf(request))
                connection.send(head(421, request,
                                     "Instance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n"));
            else if (behaviour)
                behaviour(*this, connection, request);
            else
                runDefault(connection, request);
            if (connection.fd() < 0)
                return;
        }
    }

    auto runDefault(Connection &connection, const Message &request) -> void
    {
        noteRun(request);
        ::usleep(5000);
        answer(connection, request, "body of " + request.field("Attempt-Id"));
    }

    auto holdsModelOf(const Message &request) -> bool
    {
        const std::string model = request.field("Model");
        const std::lock_guard<std::mutex> lock(m_mutex);
        return model.empty() || m_models.count(model.substr(0, model.find('/'))) > 0;
    }

    auto report() -> nlohmann::json
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return {{"stage", "both"},   {"models", modelsToJson()}, {"busy", m_isBusy},
                {"sequence", m_sequence}, {"waiting", 0},        {"running", 0},
                {"kvUsed", 0},       {"kvTotal", 150000},        {"handles", 0},
                {"born", m_born}};
    }

    static auto sendJson(Connection &connection, int status, const nlohmann::json &document) -> void
    {
        const std::string body = document.dump();
        connection.send("HTTP/1.1 " + std::to_string(status)
                        + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    auto carryOut(Connection &connection, const Message &request) -> void
    {
        const auto order = nlohmann::json::parse(request.body);
        m_record.add(m_id + " gets order " + request.body);
        const std::string model = order["model"];
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_isBusy || (order.contains("expected") && order["expected"] != m_sequence)) {
                sendJson(connection, 409, nlohmann::json::object());
                return;
            }
            m_isBusy = true;
            ++m_sequence;
        }
        sendJson(connection, 202, nlohmann::json::object());
        std::thread([this, model, isLoad = order["op"] == "loading"] {
            ::usleep(static_cast<unsigned>(isLoad ? loadMs : 20) * 1000U);
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_isBusy = false;
                if (isLoad)
                    m_models.insert(model);
                else
                    m_models.erase(model);
            }
            announce();
        }).detach();
    }

    Store &m_store;
    Record &m_record;
    std::string m_id;
    std::string m_service;
    int m_slots;
    std::mutex m_mutex;
    std::set<std::string> m_models;
    std::string m_zone;
    std::string m_version;
    std::int64_t m_born;
    std::set<int> m_open; ///< Connections.
    std::string m_state = "ready";
    bool m_isBusy = false;
    std::int64_t m_sequence = 0;
    std::atomic<bool> m_isAnnounced{false};
    std::atomic<int> m_runs{0};
    int m_listener;
    int m_port;
};

} // namespace standins
