#pragma once

#include <utils/result.h>
#include <utils/timepoint.h>

#include <functional>
#include <memory>
#include <string>

namespace Net {

/// Which readiness a watch wants.
struct Interest
{
    bool read = false;
    bool write = false;
};

/// The process's one event loop: descriptors and timers on an ACE epoll reactor, one thread.
class Reactor
{
public:
    using TimerId = long;
    using ReadyCallback = std::function<void(Interest ready)>;

    static auto create() -> Utils::Result<std::unique_ptr<Reactor>, std::string>;
    ~Reactor();

    /// Calls `callback` while `fd` is ready; a second call for the same `fd` replaces the first.
    auto watch(int fd, Interest interest, ReadyCallback callback) -> void;
    auto unwatch(int fd) -> void;
    /// Calls `callback` once after `delay`.
    auto callAfter(Utils::Duration delay, std::function<void()> callback) -> TimerId;
    /// Harmless for a timer that has fired already.
    auto cancel(TimerId timer) -> void;
    auto now() const -> Utils::TimePoint;
    auto run() -> void;
    auto stop() -> void;
    /// Lets `run` be called again after `stop`.
    auto restart() -> void;

private:
    struct Private;
    explicit Reactor(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Net
