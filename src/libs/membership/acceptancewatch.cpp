#include "acceptancewatch.h"

#include <control/peeranswer.h>
#include <links/linkchannel.h>
#include <net/reactor.h>
#include <protocol/codec.h>

#include <optional>

namespace Membership {

using Control::Revision;

namespace {

constexpr std::chrono::milliseconds roundPeriod(150);

/// One revision that is watched.
struct Watch
{
    Control::AcceptanceTracker tracker;
    Revision revision = 0;
    Utils::TimePoint until;
    AcceptanceWatch::DoneCallback done;
};

} // namespace

struct AcceptanceWatch::Private : std::enable_shared_from_this<AcceptanceWatch::Private>
{
    Net::Reactor &reactor;
    const Control::ControlState &state;
    ChannelProvider channelTo;
    std::shared_ptr<Watch> current;

    Private(Net::Reactor &loop, const Control::ControlState &controlState, ChannelProvider provider)
        : reactor(loop)
        , state(controlState)
        , channelTo(std::move(provider))
    { }

    auto askRound(const std::shared_ptr<Watch> &watch) -> void
    {
        if (watch != current || finishIfOver(watch))
            return;
        const int round = watch->tracker.round();
        const std::string ask = Protocol::encode({{"after", state.revision()}});
        for (const auto &[name, instance] : state.registry()) {
            const auto take = [self = shared_from_this(), watch,
                               round](const std::string &message) {
                self->handleAnswer(watch, round, message);
            };
            channelTo(instance.address)
                .call(Protocol::Path::controlPull, ask, take, [](Links::LinkOutcome) {});
        }
        const std::weak_ptr<Private> weak = weak_from_this();
        reactor.callAfter(roundPeriod, [weak, watch] {
            if (const auto self = weak.lock())
                self->askRound(watch);
        });
    }

    auto handleAnswer(const std::shared_ptr<Watch> &watch, int round, const std::string &message)
        -> void
    {
        const auto document = Protocol::decode(message);
        const auto answer = document ? Control::peerAnswerFromJson(*document) : std::nullopt;
        if (!answer || watch != current)
            return;
        watch->tracker.handleAnswer(round, answer->name, answer->incarnation, answer->revision);
        finishIfOver(watch);
    }

    auto finishIfOver(const std::shared_ptr<Watch> &watch) -> bool
    {
        const auto &tracker = watch->tracker;
        if (!tracker.isAccepted() && reactor.now() < watch->until)
            return false;
        current.reset();
        watch->done({tracker.isAccepted(), tracker.holderCount(), tracker.registeredCount()});
        return true;
    }
};

AcceptanceWatch::AcceptanceWatch(Net::Reactor &reactor, const Control::ControlState &state,
                                 ChannelProvider channelTo)
    : d(std::make_shared<Private>(reactor, state, std::move(channelTo)))
{ }

AcceptanceWatch::~AcceptanceWatch()
{
    d->current.reset();
}

auto AcceptanceWatch::start(Revision revision, Utils::Duration limit, DoneCallback done) -> void
{
    const auto watch =
        std::make_shared<Watch>(Watch{Control::AcceptanceTracker(d->state, revision), revision,
                                      d->reactor.now() + limit, std::move(done)});
    d->current = watch;
    d->askRound(watch);
}

} // namespace Membership
