#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Net {

class Reactor;

/// What is known of an answer when a piece of its body comes.
struct HttpHead
{
    int status = 0;
    std::map<std::string, std::string> headers;
};

/// One outgoing call. `onData` receives the body in pieces as they come, if set.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout = std::chrono::seconds(5);
    std::function<void(const HttpHead &head, const std::string &piece)> onData;
};

/// How a call ended. `sent` tells whether any byte of the request may have reached the server.
struct HttpOutcome
{
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
    std::string error;
    bool sent = false;

    auto isSuccess() const -> bool { return error.empty() && status >= 200 && status < 300; }
};

/// HTTP calls (libcurl's multi interface) on the process's reactor, connections kept open.
class HttpClient
{
public:
    struct Private;

    using CallId = std::uint64_t;
    using DoneCallback = std::function<void(const HttpOutcome &)>;

    explicit HttpClient(Reactor &reactor);
    ~HttpClient();

    /// `onDone` is called exactly once unless the call is cancelled.
    auto start(HttpCall call, DoneCallback onDone) -> CallId;
    auto cancel(CallId call) -> void;

private:
    std::unique_ptr<Private> d;
};

} // namespace Net
