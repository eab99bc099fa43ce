#include "reactor.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <utils/eventlog.h>

#include <algorithm>
#include <exception>
#include <map>
#include <unordered_map>
#include <vector>

#include <sys/resource.h>

namespace Net {

namespace Internal {

/// Calls a callback. What it throws is a fault of the program; it is logged and ends the step, not
/// the process, which serves other callers at the same time.
template <typename Callback, typename... Arguments>
auto callGuarded(const Callback &callback, Arguments... arguments) -> void
{
    try {
        callback(arguments...);
    } catch (const std::exception &fault) {
        Utils::logEvent(Utils::Event::AssertionFailed,
                        {{"condition", "no exception"}, {"reason", fault.what()}});
    }
}

/// ACE's event handler of one watched descriptor.
class WatchHandler : public ACE_Event_Handler
{
public:
    WatchHandler(int fd, Reactor::ReadyCallback callback)
        : m_fd(fd)
        , m_callback(std::move(callback))
    { }

    auto get_handle() const -> ACE_HANDLE override { return m_fd; }
    auto handle_input(ACE_HANDLE) -> int override { return dispatch({true, false}); }
    auto handle_output(ACE_HANDLE) -> int override { return dispatch({false, true}); }
    auto retire() -> void { m_retired = true; }
    auto setCallback(Reactor::ReadyCallback callback) -> void { m_callback = std::move(callback); }

private:
    auto dispatch(Interest ready) -> int
    {
        if (m_retired)
            return 0;
        const auto callback = m_callback;
        callGuarded(callback, ready);
        return 0;
    }

    int m_fd;
    bool m_retired = false;
    Reactor::ReadyCallback m_callback;
};

} // namespace Internal

struct Reactor::Private
{
    struct Watch
    {
        std::unique_ptr<Internal::WatchHandler> handler;
        ACE_Reactor_Mask mask;
    };

    std::unique_ptr<ACE_Reactor> ace;
    std::unordered_map<int, Watch> watches;
    std::vector<std::unique_ptr<Internal::WatchHandler>> retired;
    // ACE's epoll reactor rounds a timer's wait down to whole milliseconds and busy-polls for the
    // rest, so timers are kept here and waits are rounded up.
    std::map<std::pair<Utils::TimePoint, TimerId>, std::function<void()>> timers;
    std::unordered_map<TimerId, Utils::TimePoint> dueTimes;
    TimerId nextTimer = 1;
    bool stopped = false;

    /// Calls the callbacks of due timers. Timers that these callbacks start wait for the next
    /// round.
    auto runDueTimers(Utils::TimePoint now) -> void
    {
        const TimerId firstOfNextRound = nextTimer;
        while (!timers.empty() && !stopped) {
            const auto next = timers.begin();
            const auto [due, id] = next->first;
            if (due > now || id >= firstOfNextRound)
                return;
            const auto callback = std::move(next->second);
            timers.erase(next);
            dueTimes.erase(id);
            Internal::callGuarded(callback);
        }
    }

    auto timeUntilNextTimer(Utils::TimePoint now) const -> Utils::Duration
    {
        constexpr std::chrono::seconds maxWait(60);
        return timers.empty()
            ? maxWait
            : std::min<Utils::Duration>(timers.begin()->first.first - now, maxWait);
    }
};

namespace {

auto maskOf(Interest interest) -> ACE_Reactor_Mask
{
    ACE_Reactor_Mask mask = ACE_Event_Handler::NULL_MASK;
    if (interest.read)
        mask |= ACE_Event_Handler::READ_MASK;
    if (interest.write)
        mask |= ACE_Event_Handler::WRITE_MASK;
    return mask;
}

auto toAce(Utils::Duration duration) -> ACE_Time_Value
{
    constexpr long long perSecond = 1000;
    const auto milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(std::max(duration, Utils::Duration::zero()))
            .count();
    return ACE_Time_Value(milliseconds / perSecond,
                          static_cast<suseconds_t>(milliseconds % perSecond * perSecond));
}

} // namespace

Reactor::Reactor(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

Reactor::~Reactor()
{
    for (auto &[fd, entry] : d->watches)
        d->ace->remove_handler(fd,
                               ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
}

auto Reactor::create() -> Utils::Result<std::unique_ptr<Reactor>, std::string>
{
    // ACE fails to open if its table is larger than the process's limit on file descriptors.
    constexpr rlim_t maxDescriptors = 16384;
    rlimit limit = {};
    const bool isLimited = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    const rlim_t descriptors =
        isLimited ? std::min(limit.rlim_cur, maxDescriptors) : maxDescriptors;
    auto data = std::make_unique<Private>();
    auto implementation = std::make_unique<ACE_Dev_Poll_Reactor>(descriptors);
    if (!implementation->initialized())
        return tl::unexpected(std::string("the event loop could not be opened"));
    data->ace = std::make_unique<ACE_Reactor>(implementation.release(), true);
    return std::unique_ptr<Reactor>(new Reactor(std::move(data)));
}

auto Reactor::watch(int fd, Interest interest, ReadyCallback callback) -> void
{
    const ACE_Reactor_Mask mask = maskOf(interest);
    const auto found = d->watches.find(fd);
    if (found != d->watches.end()) {
        found->second.handler->setCallback(std::move(callback));
        if (found->second.mask != mask) {
            found->second.mask = mask;
            d->ace->mask_ops(fd, mask, ACE_Reactor::SET_MASK);
        }
        return;
    }
    auto handler = std::make_unique<Internal::WatchHandler>(fd, std::move(callback));
    d->ace->register_handler(fd, handler.get(), mask);
    d->watches.emplace(fd, Private::Watch{std::move(handler), mask});
}

auto Reactor::unwatch(int fd) -> void
{
    const auto found = d->watches.find(fd);
    if (found == d->watches.end())
        return;
    found->second.handler->retire();
    d->ace->remove_handler(fd, ACE_Event_Handler::ALL_EVENTS_MASK | ACE_Event_Handler::DONT_CALL);
    d->retired.push_back(std::move(found->second.handler));
    d->watches.erase(found);
}

auto Reactor::callAfter(Utils::Duration delay, std::function<void()> callback) -> TimerId
{
    const TimerId id = d->nextTimer++;
    const Utils::TimePoint due = now() + std::max(delay, Utils::Duration::zero());
    d->timers.emplace(std::pair(due, id), std::move(callback));
    d->dueTimes.emplace(id, due);
    return id;
}

auto Reactor::cancel(TimerId timer) -> void
{
    const auto found = d->dueTimes.find(timer);
    if (found == d->dueTimes.end())
        return;
    d->timers.erase({found->second, timer});
    d->dueTimes.erase(found);
}

auto Reactor::now() const -> Utils::TimePoint
{
    return std::chrono::steady_clock::now();
}

auto Reactor::run() -> void
{
    while (!d->stopped) {
        ACE_Time_Value wait = toAce(d->timeUntilNextTimer(now()));
        d->ace->handle_events(wait);
        d->retired.clear();
        d->runDueTimers(now());
    }
}

auto Reactor::stop() -> void
{
    d->stopped = true;
    callAfter(Utils::Duration::zero(), [] {});
}

auto Reactor::restart() -> void
{
    d->stopped = false;
}

} // namespace Net
