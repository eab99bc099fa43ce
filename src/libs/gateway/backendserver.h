#pragma once

#include <http1/socketaddress.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Gateway {

/// A backend server's entry in the server list.
struct BackendServer
{
    std::string id; ///< Usually unique to an incarnation.
    std::string service;
    Http1::SocketAddress address;
    std::string failureDomain;
    std::int64_t startedAtMs = 0; ///< Unix time; distinguishes incarnations with the same id.
    /// Version of the server's software; empty if the entry names none, which equals no version.
    std::string softwareVersion;
    int slots = 0;
    bool isLeaving = false;
    bool hasUnreadableEntry = false; ///< The entry was overwritten; the fields are the former ones.
    bool isEvacuated = false; ///< Operators evacuate its failure domain; not part of the entry.
    std::chrono::milliseconds coldFor{0}; ///< Time for which it is cold yet.
    std::optional<std::chrono::milliseconds> leavesIn;
    /// Models in engine memory, with the loaded adapters of each.
    std::map<std::string, std::set<std::string>> models;
    std::vector<std::string> copiesInMemory; ///< Models with weights in host memory.
    std::vector<std::string> copiesOnDisk;
    std::int64_t ordersAccepted = 0;

    /// True if the list names the server as one to use.
    auto isListedAsUsable() const -> bool { return !isLeaving && !hasUnreadableEntry; }
    auto isUsable() const -> bool { return isListedAsUsable() && !isEvacuated; }
};

} // namespace Gateway
