#pragma once

#include <entry/entrysettings.h>
#include <utils/result.h>

#include <functional>
#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace Entry {

/// The process that callers connect to: checks their keys, charges their contracts, sends their
/// requests to agents and returns the answers.
class EntryServer
{
public:
    static auto create(Net::Reactor &reactor, const EntrySettings &settings)
        -> Utils::Result<std::unique_ptr<EntryServer>, std::string>;
    ~EntryServer();

    /// Refuses new requests, finishes the open ones, then calls `done`.
    auto drain(std::function<void()> done) -> void;

private:
    struct Private;
    explicit EntryServer(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Entry
