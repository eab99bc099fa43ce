// Stand-in for a backend server: a plain service, or a model engine that takes orders.
#pragma once

#include "http.hh"

#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace Review {

class Record;
class Store;

class Engine
{
public:
    struct Description
    {
        std::string ip;
        int port = 0; ///< A free one if it is 0.
        std::string id;
        std::string service;
        std::string zone = "z1";
        std::string version = "v1"; ///< Of its software.
        int slots = 6;
        bool hasModels = false;
        std::map<std::string, std::set<std::string>> models; ///< Held at its start.
        std::set<std::string> onDisk; ///< Models of which the engine's disk has copies.
        int adaptersPerModel = 0; ///< Named a1, a2 and so on.
        milliseconds work{30}; ///< Of a plain request, or until a stream's first event.
        int events = 0; ///< Of a stream; plain answers if it is 0.
        milliseconds eventInterval{50};
        milliseconds loadTime{500};
        /// Room for weights and adapters together, and what each takes. No order is checked if it
        /// is 0.
        double weightsMb = 0;
        double modelMb = 0;
        double adapterMb = 0;
        size_t adapterSlots = 8;
        /// The engine crashes at a stream with this body, so long after the first event.
        std::string crashingBody = "-";
        milliseconds crashAfter{0};
        /// The engine crashes as it begins to write an answer on a prompt with this part.
        std::string crashingPart = "-";
    };

    Engine(Store &store, Record &record, Description description);

    auto id() const -> const std::string & { return m_description.id; }
    auto version() const -> const std::string & { return m_description.version; }
    auto isUp() const -> bool { return m_isUp; }
    auto port() const -> int { return m_port; }
    /// Ends all connections and stops; its entry expires after three heartbeats unless it starts
    /// again under its id.
    auto crash(bool startsAgain = false) -> void;
    auto running() const -> int { return m_running; }
    auto holds(const std::string &model) -> bool;
    auto isLoading() -> bool;
    /// Orders to load more than the engine has room for; it crashes at each.
    auto overloads() const -> int { return m_overloads; }

private:
    using Connections = std::set<std::shared_ptr<Connection>>;

    auto acceptAll() -> void;
    auto serve(const std::shared_ptr<Connection> &connection) -> void;
    /// Returns false if the connection is to be closed.
    auto handle(const std::shared_ptr<Connection> &connection, const Message &request) -> bool;
    auto run(const std::shared_ptr<Connection> &connection, const Message &request) -> bool;
    auto stream(const std::shared_ptr<Connection> &connection, const Message &request,
                const std::string &head) -> bool;
    /// Returns the status of the answer; 0 if the engine crashes.
    auto order(const nlohmann::json &order) -> int;
    auto hasRoom(bool isAdapter) const -> bool;
    auto report() -> nlohmann::json;
    auto holdsModelOf(const Message &request) -> bool;
    auto writeEntry() -> void;
    auto beat() -> void;
    static auto reply(Connection &connection, int status, const std::string &fields,
                      const std::string &body) -> bool;

    Store &m_store;
    Record &m_record;
    Description m_description;
    int m_listener = -1;
    int m_port = 0;
    std::int64_t m_bornMs = 0;
    std::atomic<bool> m_isUp = true;
    std::atomic<int> m_running = 0;
    std::atomic<int> m_overloads = 0;
    std::mutex m_mutex; ///< Of all below.
    Connections m_connections;
    std::map<std::string, std::set<std::string>> m_models;
    int m_sequence = 0;
    bool m_isBusy = false;
    int m_stamps = 0;
};

} // namespace Review
