#pragma once

#include <functional>

namespace Net {

class Reactor;

/// Calls `callback` on the event loop when the process gets SIGTERM or SIGINT, which ask it to
/// stop.
auto onTerminationSignal(Reactor &reactor, std::function<void()> callback) -> void;

/// Calls `callback` on the event loop when the process gets SIGHUP, which asks it to reload its
/// settings.
auto onReloadSignal(Reactor &reactor, std::function<void()> callback) -> void;

} // namespace Net
