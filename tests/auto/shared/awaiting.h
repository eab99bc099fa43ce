#pragma once

#include <net/reactor.h>

#include <functional>
#include <optional>

/// Runs the reactor until `call` has invoked the callback that it is given, and returns the result.
template <typename Result>
auto awaitResult(Net::Reactor &reactor,
                 const std::function<void(std::function<void(const Result &)>)> &call) -> Result
{
    std::optional<Result> outcome;
    call([&](const Result &result) {
        outcome = result;
        reactor.stop();
    });
    reactor.run();
    reactor.restart();
    return *outcome;
}
