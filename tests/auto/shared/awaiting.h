#pragma once

#include <net/reactor.h>

#include <functional>
#include <optional>

/// Runs the reactor until the call has given its result; `call` gets the callback to pass on.
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
