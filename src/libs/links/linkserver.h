#pragma once

#include <utils/result.h>

#include <functional>
#include <memory>
#include <string>

namespace Net {
class Reactor;
}

namespace Links {

/// One authenticated request from another process of the fleet, and the stream of its answer.
class LinkExchange
{
public:
    virtual ~LinkExchange() = default;
    virtual auto path() const -> const std::string & = 0;
    virtual auto peer() const -> const std::string & = 0;
    virtual auto body() const -> const std::string & = 0;
    /// Sends one message. Has no effect if the stream is closed.
    virtual auto send(const std::string &message) -> void = 0;
    virtual auto finish() -> void = 0;
    virtual auto isOpen() const -> bool = 0;
    /// Sets a callback that is called once when the stream ends for any reason.
    virtual auto onClosed(std::function<void()> callback) -> void = 0;
};

using LinkHandler = std::function<void(const std::shared_ptr<LinkExchange> &)>;

/// Accepts connections from other processes of the fleet; refuses peers without the fleet secret.
class LinkServer
{
public:
    struct Private;

    /// Listens on the numeric `address`.
    static auto listen(Net::Reactor &reactor, const std::string &address, const std::string &secret,
                       LinkHandler handler)
        -> Utils::Result<std::unique_ptr<LinkServer>, std::string>;
    ~LinkServer();

    auto port() const -> int;
    auto connectionCount() const -> size_t;

private:
    explicit LinkServer(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Links
