#pragma once

#include <utils/timepoint.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Net {

class Reactor;

/// Status and headers of an answer, as known when a piece of its body is received.
struct HttpHead
{
    int status = 0;
    std::map<std::string, std::string> headers;
};

/// One outgoing call. If `onData` is set, it gets the body piece by piece as it is received.
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::map<std::string, std::string> headers;
    std::string body;
    std::chrono::milliseconds timeout = std::chrono::seconds(5);
    std::function<void(const HttpHead &head, const std::string &piece)> onData;
};

/// Result of a call. `sent` is true if any byte of the request may have reached the server.
struct HttpOutcome
{
    int status = 0;
    std::string body;
    std::map<std::string, std::string> headers;
    std::string error;
    bool sent = false;

    auto isSuccess() const -> bool { return error.empty() && status >= 200 && status < 300; }
};

/// HTTP client on the process's reactor (libcurl's multi interface) that reuses its connections.
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
