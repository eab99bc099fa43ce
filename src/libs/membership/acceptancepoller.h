#pragma once

#include <control/acceptancetracker.h>
#include <utils/timepoint.h>

#include <functional>
#include <memory>
#include <string>

namespace Links {
class LinkChannel;
}

namespace Net {
class Reactor;
}

namespace Membership {

/// How far a stored revision has spread.
struct AcceptanceReport
{
    bool isAccepted = false;
    size_t holders = 0;
    size_t registered = 0;
};

/// Asks the registered instances, round after round, until a revision is accepted or time is up.
class AcceptancePoller
{
public:
    using ChannelProvider = std::function<Links::LinkChannel &(const std::string &address)>;
    using DoneCallback = std::function<void(const AcceptanceReport &report)>;

    AcceptancePoller(Net::Reactor &reactor, const Control::ControlState &state,
                     ChannelProvider channelTo);
    ~AcceptancePoller();

    /// Begins to watch; a watch begun before is dropped without a report.
    auto start(Control::Revision revision, Utils::Duration limit, DoneCallback done) -> void;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Membership
