#pragma once

#include <utils/result.h>
#include <utils/timepoint.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Net {

class Reactor;

/// A caller's request with its complete body; header names are in lower case.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
    bool bodyTooLarge = false;
};

using HttpHeaders = std::map<std::string, std::string>;

/// A request and its answer, which is sent at once by `respond`, or in pieces by `begin`, any
/// number of `write`, and `end`. Calls after the end, or after the caller disconnected, do nothing.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;
    virtual auto request() const -> const HttpRequest & = 0;
    virtual auto respond(int status, const HttpHeaders &headers, const std::string &body)
        -> void = 0;
    virtual auto begin(int status, const HttpHeaders &headers) -> void = 0;
    virtual auto write(const std::string &data) -> void = 0;
    virtual auto end() -> void = 0;
    virtual auto hasBegun() const -> bool = 0;
    virtual auto isOpen() const -> bool = 0;
    /// Sets a callback that is called once when the caller has disconnected or the answer has been
    /// sent completely.
    virtual auto onClosed(std::function<void()> callback) -> void = 0;
};

using HttpHandler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

/// An HTTP/1.1 server (libmicrohttpd) on the process's reactor.
class HttpServer
{
public:
    struct Private;

    /// Listens on the numeric `address` ("127.0.0.1:8080"). Bodies over `maxBodyBytes` are
    /// truncated and marked as too large.
    static auto listen(Reactor &reactor, const std::string &address, size_t maxBodyBytes,
                       HttpHandler handler)
        -> Utils::Result<std::unique_ptr<HttpServer>, std::string>;
    ~HttpServer();

    auto port() const -> int;
    /// Closes the listening socket; open exchanges continue.
    auto stopListening() -> void;

private:
    explicit HttpServer(std::unique_ptr<Private> data);
    std::unique_ptr<Private> d;
};

} // namespace Net
