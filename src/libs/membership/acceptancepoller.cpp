#include "acceptancepoller.h"

#include <control/peeranswer.h>
#include <links/linkchannel.h>
#include <net/reactor.h>
#include <protocol/codec.h>

#include <optional>

namespace Membership {

using Control::Revision;

namespace {

constexpr std::chrono::milliseconds pollInterval(150);

/// The revision that is polled for.
struct Query
{
    Control::AcceptanceTracker tracker;
    Revision revision = 0;
    Utils::TimePoint deadline;
    AcceptancePoller::DoneCallback done;
};

} // namespace

struct AcceptancePoller::Private : std::enable_shared_from_this<AcceptancePoller::Private>
{
    Net::Reactor &reactor;
    const Control::ControlState &state;
    ChannelProvider channelTo;
    std::shared_ptr<Query> current;

    Private(Net::Reactor &eventLoop, const Control::ControlState &controlState,
            ChannelProvider provider)
        : reactor(eventLoop)
        , state(controlState)
        , channelTo(std::move(provider))
    { }

    auto pollRound(const std::shared_ptr<Query> &query) -> void
    {
        if (query != current || finishIfDone(query))
            return;
        const int round = query->tracker.round();
        const std::string ask = Protocol::encode({{"after", state.revision()}});
        for (const auto &[name, instance] : state.registry()) {
            const auto take = [self = shared_from_this(), query,
                               round](const std::string &message) {
                self->handleAnswer(query, round, message);
            };
            channelTo(instance.address)
                .call(Protocol::Path::controlPull, ask, take, [](Links::LinkOutcome) {});
        }
        const std::weak_ptr<Private> weak = weak_from_this();
        reactor.callAfter(pollInterval, [weak, query] {
            if (const auto self = weak.lock())
                self->pollRound(query);
        });
    }

    auto handleAnswer(const std::shared_ptr<Query> &query, int round, const std::string &message)
        -> void
    {
        const auto document = Protocol::decode(message);
        const auto answer = document ? Control::peerAnswerFromJson(*document) : std::nullopt;
        if (!answer || query != current)
            return;
        query->tracker.handleAnswer(round, answer->name, answer->incarnation, answer->revision);
        finishIfDone(query);
    }

    auto finishIfDone(const std::shared_ptr<Query> &query) -> bool
    {
        const auto &tracker = query->tracker;
        if (!tracker.isAccepted() && reactor.now() < query->deadline)
            return false;
        current.reset();
        query->done({tracker.isAccepted(), tracker.holderCount(), tracker.registeredCount()});
        return true;
    }
};

AcceptancePoller::AcceptancePoller(Net::Reactor &reactor, const Control::ControlState &state,
                                   ChannelProvider channelTo)
    : d(std::make_shared<Private>(reactor, state, std::move(channelTo)))
{ }

AcceptancePoller::~AcceptancePoller()
{
    d->current.reset();
}

auto AcceptancePoller::start(Revision revision, Utils::Duration limit, DoneCallback done) -> void
{
    const auto query =
        std::make_shared<Query>(Query{Control::AcceptanceTracker(d->state, revision), revision,
                                      d->reactor.now() + limit, std::move(done)});
    d->current = query;
    d->pollRound(query);
}

} // namespace Membership
