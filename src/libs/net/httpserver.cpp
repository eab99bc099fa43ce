#include "httpserver.h"

#include "reactor.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <unistd.h>

#include <algorithm>
#include <set>

namespace Net {

namespace Internal {
class Exchange;
} // namespace Internal

struct HttpServer::Private
{
    Reactor *reactor = nullptr;
    MHD_Daemon *daemon = nullptr;
    int epollFd = -1;
    size_t maxBodyBytes = 0;
    HttpHandler handler;
    Reactor::TimerId timer = 0;
    bool runScheduled = false;
    std::set<Internal::Exchange *> openExchanges;

    auto run() -> void;
    auto scheduleRun() -> void;
};

namespace Internal {

/// The current request of a connection; shared by the library's callbacks and the handler.
class Exchange : public HttpExchange, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(HttpServer::Private *server, MHD_Connection *connection)
        : m_server(server)
        , m_connection(connection)
    {
        server->openExchanges.insert(this);
    }

    ~Exchange() override
    {
        if (m_server)
            m_server->openExchanges.erase(this);
    }

    auto request() const -> const HttpRequest & override { return m_request; }
    auto mutableRequest() -> HttpRequest & { return m_request; }

    auto respond(int status, const HttpHeaders &headers, const std::string &body) -> void override
    {
        if (!isOpen() || m_begun)
            return;
        m_begun = true;
        m_ended = true;
        MHD_Response *response = MHD_create_response_from_buffer(
            body.size(), const_cast<char *>(body.data()), MHD_RESPMEM_MUST_COPY);
        queue(status, headers, response);
    }

    auto begin(int status, const HttpHeaders &headers) -> void override
    {
        if (!isOpen() || m_begun)
            return;
        m_begun = true;
        constexpr size_t blockBytes = 16384;
        auto *self = new std::shared_ptr<Exchange>(shared_from_this());
        MHD_Response *response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, blockBytes, &readPending, self, &releaseReader);
        queue(status, headers, response);
    }

    auto write(const std::string &data) -> void override
    {
        if (!isOpen() || m_ended)
            return;
        m_pending += data;
        resume();
    }

    auto end() -> void override
    {
        if (!isOpen())
            return;
        m_ended = true;
        resume();
    }

    auto hasBegun() const -> bool override { return m_begun; }
    auto isOpen() const -> bool override { return m_connection != nullptr; }

    auto onClosed(std::function<void()> callback) -> void override
    {
        m_closedCallback = std::move(callback);
    }

    auto close() -> void
    {
        m_connection = nullptr;
        const auto callback = std::move(m_closedCallback);
        m_closedCallback = nullptr;
        if (callback)
            callback();
    }

    auto detachFromServer() -> void
    {
        m_server = nullptr;
        m_connection = nullptr;
    }

    auto suspend() -> void
    {
        m_suspended = true;
        MHD_suspend_connection(m_connection);
    }

    auto resume() -> void
    {
        if (!m_suspended)
            return;
        m_suspended = false;
        MHD_resume_connection(m_connection);
        m_server->scheduleRun();
    }

    bool m_dispatched = false;

private:
    auto queue(int status, const HttpHeaders &headers, MHD_Response *response) -> void
    {
        for (const auto &[name, value] : headers)
            MHD_add_response_header(response, name.c_str(), value.c_str());
        MHD_queue_response(m_connection, static_cast<unsigned>(status), response);
        MHD_destroy_response(response);
        resume();
    }

    static auto readPending(void *context, uint64_t, char *buffer, size_t maxBytes) -> ssize_t
    {
        auto &self = **static_cast<std::shared_ptr<Exchange> *>(context);
        if (self.m_pending.empty() && self.m_ended)
            return MHD_CONTENT_READER_END_OF_STREAM;
        if (self.m_pending.empty()) {
            self.suspend();
            return 0;
        }
        const size_t count = std::min(maxBytes, self.m_pending.size());
        std::copy_n(self.m_pending.data(), count, buffer);
        self.m_pending.erase(0, count);
        return static_cast<ssize_t>(count);
    }

    static auto releaseReader(void *context) -> void
    {
        delete static_cast<std::shared_ptr<Exchange> *>(context);
    }

    HttpServer::Private *m_server;
    MHD_Connection *m_connection;
    HttpRequest m_request;
    std::string m_pending;
    std::function<void()> m_closedCallback;
    bool m_begun = false;
    bool m_ended = false;
    bool m_suspended = false;
};

namespace {

auto toLower(const char *text) -> std::string
{
    std::string result = text ? text : "";
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

auto collectHeader(void *context, MHD_ValueKind, const char *name, const char *value) -> MHD_Result
{
    (*static_cast<std::map<std::string, std::string> *>(context))[toLower(name)] =
        value ? value : "";
    return MHD_YES;
}

auto collectQuery(void *context, MHD_ValueKind, const char *name, const char *value) -> MHD_Result
{
    (*static_cast<std::map<std::string, std::string> *>(context))[name] = value ? value : "";
    return MHD_YES;
}

auto startExchange(HttpServer::Private *server, MHD_Connection *connection, const char *url,
                   const char *method, void **state) -> void
{
    auto exchange = std::make_shared<Exchange>(server, connection);
    auto &request = exchange->mutableRequest();
    request.method = method;
    request.path = url;
    MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &request.headers);
    MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, &collectQuery, &request.query);
    *state = new std::shared_ptr<Exchange>(std::move(exchange));
}

auto appendBody(const HttpServer::Private &server, HttpRequest &request, const char *data,
                size_t size) -> void
{
    if (request.body.size() + size <= server.maxBodyBytes)
        request.body.append(data, size);
    else
        request.bodyTooLarge = true;
}

auto handleAccess(void *context, MHD_Connection *connection, const char *url, const char *method,
                  const char *, const char *data, size_t *size, void **state) -> MHD_Result
{
    auto *server = static_cast<HttpServer::Private *>(context);
    if (!*state) {
        startExchange(server, connection, url, method, state);
        return MHD_YES;
    }
    const std::shared_ptr<Exchange> exchange = *static_cast<std::shared_ptr<Exchange> *>(*state);
    if (*size > 0) {
        appendBody(*server, exchange->mutableRequest(), data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (exchange->m_dispatched)
        return MHD_YES;
    exchange->m_dispatched = true;
    server->handler(exchange);
    if (!exchange->hasBegun())
        exchange->suspend();
    return MHD_YES;
}

auto handleCompleted(void *, MHD_Connection *, void **state, MHD_RequestTerminationCode) -> void
{
    auto *exchange = static_cast<std::shared_ptr<Exchange> *>(*state);
    *state = nullptr;
    if (!exchange)
        return;
    (*exchange)->close();
    delete exchange;
}

auto parseAddress(const std::string &address) -> sockaddr_in
{
    const auto colon = address.rfind(':');
    sockaddr_in parsed = {};
    parsed.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    parsed.sin_port = htons(static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1)));
    return parsed;
}

} // namespace

} // namespace Internal

auto HttpServer::Private::run() -> void
{
    MHD_run(daemon);
    reactor->cancel(timer);
    MHD_UNSIGNED_LONG_LONG milliseconds = 0;
    if (MHD_get_timeout(daemon, &milliseconds) != MHD_YES)
        return;
    timer = reactor->callAfter(std::chrono::milliseconds(milliseconds), [this] { run(); });
}

auto HttpServer::Private::scheduleRun() -> void
{
    if (runScheduled)
        return;
    runScheduled = true;
    reactor->callAfter(Utils::Duration::zero(), [this] {
        runScheduled = false;
        run();
    });
}

HttpServer::HttpServer(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

HttpServer::~HttpServer()
{
    d->reactor->unwatch(d->epollFd);
    d->reactor->cancel(d->timer);
    for (auto *exchange : d->openExchanges) {
        exchange->resume();
        exchange->detachFromServer();
    }
    MHD_stop_daemon(d->daemon);
}

auto HttpServer::listen(Reactor &reactor, const std::string &address, size_t maxBodyBytes,
                        HttpHandler handler)
    -> Utils::Result<std::unique_ptr<HttpServer>, std::string>
{
    constexpr unsigned idleTimeoutSeconds = 120;
    constexpr unsigned maxConnections = 4096;
    auto data = std::make_unique<Private>();
    data->reactor = &reactor;
    data->maxBodyBytes = maxBodyBytes;
    data->handler = std::move(handler);
    const sockaddr_in listenAddress = Internal::parseAddress(address);
    data->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr, &Internal::handleAccess,
        data.get(), MHD_OPTION_SOCK_ADDR, &listenAddress, MHD_OPTION_NOTIFY_COMPLETED,
        &Internal::handleCompleted, nullptr, MHD_OPTION_CONNECTION_TIMEOUT, idleTimeoutSeconds,
        MHD_OPTION_CONNECTION_LIMIT, maxConnections, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_END);
    if (!data->daemon)
        return tl::unexpected("cannot listen on " + address);
    data->epollFd = MHD_get_daemon_info(data->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    Private *server = data.get();
    reactor.watch(data->epollFd, {true, false}, [server](Interest) { server->run(); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(data)));
}

auto HttpServer::port() const -> int
{
    return MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

auto HttpServer::stopListening() -> void
{
    const int fd = MHD_quiesce_daemon(d->daemon);
    if (fd >= 0)
        close(fd);
}

} // namespace Net
