#pragma once

#include <control/controlnode.h>
#include <links/linkserver.h>
#include <node/fleetsettings.h>
#include <storage/controlwriter.h>
#include <utils/result.h>

#include <functional>
#include <memory>
#include <string>

namespace Links {
class LinkChannel;
}

namespace Net {
class HttpClient;
class Reactor;
} // namespace Net

namespace Storage {
class InstanceList;
class TableService;
} // namespace Storage

namespace Monitoring {
class Metrics;
}

namespace Node {

/// The common part of every process of the fleet: keeps a fresh copy of the control state, the
/// process's registration, its links to other processes and its access to the platform.
class FleetNode
{
public:
    /// Starts listening and pulling. Writes `extraItems` together with the registration.
    static auto create(Net::Reactor &reactor, const FleetSettings &settings,
                       const std::map<std::string, nlohmann::json> &extraItems)
        -> Utils::Result<std::unique_ptr<FleetNode>, std::string>;
    ~FleetNode();

    auto settings() const -> const FleetSettings &;
    auto incarnation() const -> const std::string &;
    auto reactor() -> Net::Reactor &;
    auto http() -> Net::HttpClient &;
    auto metrics() -> Monitoring::Metrics &;
    auto table() -> Storage::TableService &;
    auto instanceList() -> Storage::InstanceList &;
    auto state() const -> const Control::ControlState &;
    /// True while this process may act: its state is fresh and no newer process has replaced it.
    auto mayAct() const -> bool;
    auto isStoreReachable() const -> bool;
    auto controlAge() const -> Utils::Duration;

    /// Sets the handler of calls to `path` from other processes.
    auto setHandler(const std::string &path, Links::LinkHandler handler) -> void;
    auto channelTo(const std::string &address) -> Links::LinkChannel &;
    /// Called after each change of the control state and when `mayAct` changes.
    auto onChanged(std::function<void()> callback) -> void;
    auto propose(Storage::Proposal proposal, Storage::ControlWriter::DoneCallback done) -> void;
    /// Removes the registration and writes `lastItems` in the same change. Calls `done` when
    /// finished or after `timeout`.
    auto deregister(const std::map<std::string, nlohmann::json> &lastItems, Utils::Duration timeout,
                    std::function<void()> done) -> void;

private:
    struct Private;
    explicit FleetNode(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Node
