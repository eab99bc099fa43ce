#pragma once

#include <control/controlnode.h>
#include <membership/acceptancepoller.h>
#include <storage/controlwriter.h>
#include <utils/result.h>
#include <utils/timepoint.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace Operations {

/// Settings of a fleet client.
struct FleetClientSettings
{
    std::string name;
    std::string platformAddress;
    std::string fleetSecret;
};

/// An operator's access to the fleet: reads and changes the control state through the store, and
/// queries the processes over links.
class FleetClient
{
public:
    FleetClient(Net::Reactor &reactor, const FleetClientSettings &settings);
    ~FleetClient();

    auto state() const -> const Control::ControlState &;
    /// Reads the control state up to its head.
    auto refresh(std::function<void(const Utils::Result<void, std::string> &)> done) -> void;
    auto propose(Storage::Proposal proposal, Storage::ControlWriter::DoneCallback done) -> void;
    /// Waits at most `timeout` until the revision is accepted.
    auto awaitAcceptance(Control::Revision revision, Utils::Duration timeout,
                         Membership::AcceptancePoller::DoneCallback done) -> void;
    /// Sends a request to every registered process of the role ("" for all). Passes the answers
    /// that arrive within `timeout` to `done`, by name.
    auto queryAll(const std::string &role, const std::string &path, const nlohmann::json &request,
                  Utils::Duration timeout,
                  std::function<void(const std::map<std::string, nlohmann::json> &)> done) -> void;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Operations
