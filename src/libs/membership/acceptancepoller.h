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

/// How many instances have accepted a stored revision.
struct AcceptanceReport
{
    bool isAccepted = false;
    size_t holders = 0;
    size_t registered = 0;
};

/// Polls the registered instances in rounds until a revision is accepted or a timeout expires.
class AcceptancePoller
{
public:
    using ChannelProvider = std::function<Links::LinkChannel &(const std::string &address)>;
    using DoneCallback = std::function<void(const AcceptanceReport &report)>;

    AcceptancePoller(Net::Reactor &reactor, const Control::ControlState &state,
                     ChannelProvider channelTo);
    ~AcceptancePoller();

    /// Starts polling for a revision; cancels an earlier query without a report.
    auto start(Control::Revision revision, Utils::Duration limit, DoneCallback done) -> void;

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace Membership
