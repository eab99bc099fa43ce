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

/// The process that callers reach: checks their keys, charges their contracts, sends their requests
/// to the agents and their answers back.
class EntryServer
{
public:
    static auto create(Net::Reactor &reactor, const EntrySettings &settings)
        -> Utils::Result<std::unique_ptr<EntryServer>, std::string>;
    ~EntryServer();

    /// Takes no new requests, finishes the open ones, then calls `done`.
    auto drain(std::function<void()> done) -> void;

private:
    struct Private;
    explicit EntryServer(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Entry
