#include "httpclient.h"

#include "reactor.h"

#include <curl/curl.h>

#include <algorithm>

namespace Net {

namespace Internal {

/// A call in flight and its libcurl handle.
struct Transfer
{
    HttpClient::CallId id = 0;
    CURL *easy = nullptr;
    curl_slist *headerList = nullptr;
    HttpCall call;
    HttpOutcome outcome;
    HttpClient::DoneCallback onDone;

    ~Transfer()
    {
        curl_slist_free_all(headerList);
        if (easy)
            curl_easy_cleanup(easy);
    }
};

} // namespace Internal

struct HttpClient::Private
{
    Reactor *reactor = nullptr;
    CURLM *multi = nullptr;
    CallId nextId = 1;
    Reactor::TimerId timer = 0;
    std::map<CallId, std::unique_ptr<Internal::Transfer>> transfers;

    auto performAction(curl_socket_t fd, int events) -> void
    {
        int running = 0;
        curl_multi_socket_action(multi, fd, events, &running);
        finishCompletedTransfers();
    }

    auto finishCompletedTransfers() -> void
    {
        int remaining = 0;
        while (CURLMsg *message = curl_multi_info_read(multi, &remaining)) {
            if (message->msg == CURLMSG_DONE)
                finish(message->easy_handle, message->data.result);
        }
    }

    auto finish(CURL *easy, CURLcode code) -> void
    {
        Internal::Transfer *found = nullptr;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &found);
        const auto node = transfers.extract(found->id);
        const auto &transfer = node.mapped();
        long status = 0;
        long requestBytes = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        curl_multi_remove_handle(multi, easy);
        transfer->outcome.status = static_cast<int>(status);
        transfer->outcome.sent = requestBytes > 0;
        if (code != CURLE_OK)
            transfer->outcome.error = curl_easy_strerror(code);
        transfer->onDone(transfer->outcome);
    }
};

namespace Internal {

namespace {

auto handleSocket(CURL *, curl_socket_t fd, int what, void *context, void *) -> int
{
    auto *client = static_cast<HttpClient::Private *>(context);
    if (what == CURL_POLL_REMOVE) {
        client->reactor->unwatch(fd);
        return 0;
    }
    const Interest interest{(what & CURL_POLL_IN) != 0, (what & CURL_POLL_OUT) != 0};
    client->reactor->watch(fd, interest, [client, fd](Interest ready) {
        client->performAction(
            fd, (ready.read ? CURL_CSELECT_IN : 0) | (ready.write ? CURL_CSELECT_OUT : 0));
    });
    return 0;
}

auto handleTimer(CURLM *, long milliseconds, void *context) -> int
{
    auto *client = static_cast<HttpClient::Private *>(context);
    client->reactor->cancel(client->timer);
    if (milliseconds < 0)
        return 0;
    client->timer = client->reactor->callAfter(std::chrono::milliseconds(milliseconds), [client] {
        client->performAction(CURL_SOCKET_TIMEOUT, 0);
    });
    return 0;
}

auto handleBody(char *data, size_t size, size_t count, void *context) -> size_t
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::string piece(data, size * count);
    if (!transfer->call.onData) {
        transfer->outcome.body += piece;
        return piece.size();
    }
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->call.onData({static_cast<int>(status), transfer->outcome.headers}, piece);
    return piece.size();
}

auto handleHeader(char *data, size_t size, size_t count, void *context) -> size_t
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::string line(data, size * count);
    const auto colon = line.find(':');
    if (colon == std::string::npos)
        return line.size();
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const auto first = line.find_first_not_of(' ', colon + 1);
    const auto last = line.find_last_not_of("\r\n ");
    if (first != std::string::npos && last >= first)
        transfer->outcome.headers[name] = line.substr(first, last - first + 1);
    return line.size();
}

auto configure(Transfer &transfer) -> void
{
    CURL *easy = transfer.easy;
    const HttpCall &call = transfer.call;
    for (const auto &[name, value] : call.headers)
        transfer.headerList = curl_slist_append(transfer.headerList, (name + ": " + value).c_str());
    transfer.headerList = curl_slist_append(transfer.headerList, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &transfer);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headerList);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &handleBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &handleHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &transfer);
    if (call.method == "GET")
        return;
    // libcurl retries a request by itself, whatever its method, if a reused connection is closed
    // before an answer. Only a new connection rules that out.
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
}

} // namespace

} // namespace Internal

HttpClient::HttpClient(Reactor &reactor)
    : d(std::make_unique<Private>())
{
    constexpr long maxIdleConnections = 512;
    curl_global_init(CURL_GLOBAL_DEFAULT);
    d->reactor = &reactor;
    d->multi = curl_multi_init();
    curl_multi_setopt(d->multi, CURLMOPT_SOCKETFUNCTION, &Internal::handleSocket);
    curl_multi_setopt(d->multi, CURLMOPT_SOCKETDATA, d.get());
    curl_multi_setopt(d->multi, CURLMOPT_TIMERFUNCTION, &Internal::handleTimer);
    curl_multi_setopt(d->multi, CURLMOPT_TIMERDATA, d.get());
    curl_multi_setopt(d->multi, CURLMOPT_MAXCONNECTS, maxIdleConnections);
}

HttpClient::~HttpClient()
{
    for (auto &[id, transfer] : d->transfers)
        curl_multi_remove_handle(d->multi, transfer->easy);
    d->transfers.clear();
    curl_multi_cleanup(d->multi);
    d->reactor->cancel(d->timer);
}

auto HttpClient::start(HttpCall call, DoneCallback onDone) -> CallId
{
    auto transfer = std::make_unique<Internal::Transfer>();
    const CallId id = d->nextId++;
    transfer->id = id;
    transfer->easy = curl_easy_init();
    transfer->call = std::move(call);
    transfer->onDone = std::move(onDone);
    Internal::configure(*transfer);
    CURL *easy = transfer->easy;
    d->transfers.emplace(id, std::move(transfer));
    curl_multi_add_handle(d->multi, easy);
    return id;
}

auto HttpClient::cancel(CallId call) -> void
{
    const auto found = d->transfers.find(call);
    if (found == d->transfers.end())
        return;
    curl_multi_remove_handle(d->multi, found->second->easy);
    d->transfers.erase(found);
}

} // namespace Net
