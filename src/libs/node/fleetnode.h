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

/// What every process of the fleet has: its copy of the control state kept fresh, its registration,
/// its links to the others, its access to the platform.
class FleetNode
{
public:
    /// Starts to listen and to pull. `extraItems` are written together with the registration.
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
    /// True while this process may act: its state is fresh and nobody has taken its place.
    auto mayAct() const -> bool;
    auto isStoreReachable() const -> bool;
    auto controlAge() const -> Utils::Duration;

    /// Handles calls to `path` from other processes.
    auto setHandler(const std::string &path, Links::LinkHandler handler) -> void;
    auto channelTo(const std::string &address) -> Links::LinkChannel &;
    /// Called after each change of the control state and when `mayAct` changes.
    auto onChanged(std::function<void()> callback) -> void;
    auto propose(Storage::Proposal proposal, Storage::ControlWriter::DoneCallback done) -> void;
    /// Withdraws the registration and writes `lastItems` with it, or gives up after `limit`; then
    /// calls `done`.
    auto deregister(const std::map<std::string, nlohmann::json> &lastItems, Utils::Duration timeout,
                    std::function<void()> done) -> void;

private:
    struct Private;
    explicit FleetNode(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Node
