#include "terminationsignal.h"

#include "reactor.h"

#include <csignal>
#include <initializer_list>
#include <sys/signalfd.h>
#include <unistd.h>

namespace Net {

namespace {

auto onSignals(Reactor &reactor, std::initializer_list<int> numbers, std::function<void()> callback)
    -> void
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int number : numbers)
        sigaddset(&signals, number);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    const int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    reactor.watch(fd, {true, false}, [fd, callback = std::move(callback)](Interest) {
        signalfd_siginfo info = {};
        if (read(fd, &info, sizeof info) == static_cast<ssize_t>(sizeof info))
            callback();
    });
}

} // namespace

auto onTerminationSignal(Reactor &reactor, std::function<void()> callback) -> void
{
    std::signal(SIGPIPE, SIG_IGN);
    onSignals(reactor, {SIGTERM, SIGINT}, std::move(callback));
}

auto onReloadSignal(Reactor &reactor, std::function<void()> callback) -> void
{
    onSignals(reactor, {SIGHUP}, std::move(callback));
}

} // namespace Net
