#include "terminationsignal.h"

#include "reactor.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace Net {

auto onTerminationSignal(Reactor &reactor, std::function<void()> callback) -> void
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    const int fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    reactor.watch(fd, {true, false}, [fd, callback = std::move(callback)](Interest) {
        signalfd_siginfo info = {};
        if (read(fd, &info, sizeof info) == static_cast<ssize_t>(sizeof info))
            callback();
    });
}

} // namespace Net
