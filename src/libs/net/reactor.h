#pragma once

#include "scheduler.h"

#include <utils/result.h>

#include <functional>
#include <memory>
#include <string>

namespace Net {

/// Kinds of readiness of a file descriptor.
struct Interest
{
    bool read = false;
    bool write = false;
};

/// The single-threaded event loop of the process, for file descriptors and timers (ACE's epoll
/// reactor).
class Reactor : public Scheduler
{
public:
    using ReadyCallback = std::function<void(Interest ready)>;

    static auto create() -> Utils::Result<std::unique_ptr<Reactor>, std::string>;
    ~Reactor() override;

    /// Calls `callback` whenever `fd` is ready; a second watch on the same `fd` replaces the first.
    auto watch(int fd, Interest interest, ReadyCallback callback) -> void;
    auto unwatch(int fd) -> void;
    auto callAfter(Utils::Duration delay, std::function<void()> callback) -> TimerId override;
    auto cancel(TimerId timer) -> void override;
    auto now() const -> Utils::TimePoint override;
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
