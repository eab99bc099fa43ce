#include "loadrunner.h"

#include <net/httpclient.h>
#include <net/periodictimer.h>
#include <net/reactor.h>
#include <standins/standinengine.h>

#include <fstream>

namespace Load {

using nlohmann::json;
using Utils::TimePoint;

namespace {

constexpr std::chrono::seconds progressInterval(2);
constexpr std::chrono::seconds timeoutGrace(5);

/// The generated text of an answer, streamed or whole.
auto generatedText(const std::string &body, bool isStreamed) -> std::string
{
    if (!isStreamed) {
        const json document = json::parse(body, nullptr, false);
        const bool isAnswer =
            document.is_object() && document.contains("choices") && !document["choices"].empty();
        return isAnswer ? document["choices"][0].value("text", "") : std::string();
    }
    std::string text;
    const std::string eventPrefix = "data: ";
    for (size_t at = body.find(eventPrefix); at != std::string::npos;
         at = body.find(eventPrefix, at + 1)) {
        const size_t end = body.find('\n', at);
        const json piece = json::parse(
            body.substr(at + eventPrefix.size(), end - at - eventPrefix.size()), nullptr, false);
        if (piece.is_object() && piece.contains("choices") && !piece["choices"].empty())
            text += piece["choices"][0].value("text", "");
    }
    return text;
}

/// The typed error in an answer's body, whole or as the last event of a stream.
auto extractError(const std::string &body) -> json
{
    const auto at = body.rfind("{\"error\":");
    if (at == std::string::npos)
        return nullptr;
    const auto end = body.find('\n', at);
    const json document =
        json::parse(body.substr(at, end == std::string::npos ? end : end - at), nullptr, false);
    return document.is_object() && document.contains("error") ? document["error"] : json();
}

} // namespace

struct LoadRunner::Private
{
    Net::Reactor &reactor;
    LoadShape shape;
    Net::HttpClient http;
    std::vector<std::string> keys;
    std::vector<Arrival> arrivals;
    std::vector<RequestRecord> records;
    std::unique_ptr<Net::PeriodicTimer> progressTimer;
    std::function<void()> done;
    TimePoint startedAt;
    size_t nextArrival = 0;
    size_t finishedRequests = 0;

    Private(Net::Reactor &loop, const LoadShape &loadShape)
        : reactor(loop)
        , shape(loadShape)
        , http(loop)
        , arrivals(makeArrivals(loadShape))
    {
        records.resize(arrivals.size());
    }

    auto sendDue() -> void
    {
        const auto now = reactor.now();
        while (nextArrival < arrivals.size() && startedAt + arrivals[nextArrival].at <= now)
            send(nextArrival++);
        if (nextArrival < arrivals.size())
            reactor.callAfter(startedAt + arrivals[nextArrival].at - now, [this] { sendDue(); });
        else if (arrivals.empty())
            done();
    }

    auto promptOf(size_t index) const -> std::string
    {
        return "request " + std::to_string(index) + " for " + arrivals[index].model;
    }

    auto send(size_t index) -> void
    {
        const Arrival &arrival = arrivals[index];
        RequestRecord &record = records[index];
        record.arrival = arrival;
        Net::HttpCall call;
        call.method = "POST";
        call.url = "http://" + shape.entries[arrival.entry] + "/v1/completions";
        call.headers = {{"Content-Type", "application/json"},
                        {"Authorization", "Bearer " + keys[arrival.customer]},
                        {"X-Request-Timeout",
                         std::to_string(static_cast<double>(shape.deadline.count()) / 1000.0)}};
        call.body = json{{"model", arrival.model},
                         {"prompt", promptOf(index)},
                         {"max_tokens", shape.maxTokens},
                         {"stream", shape.isStreamed}}
                        .dump();
        call.timeout = shape.deadline + timeoutGrace;
        const auto body = std::make_shared<std::string>();
        const auto sentAt = reactor.now();
        call.onData = [this, index, body, sentAt](const Net::HttpHead &, const std::string &piece) {
            if (body->empty())
                records[index].firstByte =
                    std::chrono::duration_cast<std::chrono::microseconds>(reactor.now() - sentAt);
            *body += piece;
        };
        http.start(std::move(call), [this, index, body, sentAt](const auto &outcome) {
            finish(index, outcome, *body, sentAt);
        });
    }

    auto finish(size_t index, const Net::HttpOutcome &outcome, const std::string &body,
                TimePoint sentAt) -> void
    {
        RequestRecord &record = records[index];
        record.status = outcome.status;
        record.timeToEnd =
            std::chrono::duration_cast<std::chrono::microseconds>(reactor.now() - sentAt);
        record.hasRetryAfter = outcome.headers.count("retry-after") > 0;
        const json error = extractError(body);
        if (error.is_object()) {
            record.refusalCode = error.value("code", "untyped");
            record.ran = error.value("ran", "");
            record.hasRetryAfter = record.hasRetryAfter || error.value("retryAfter", 0.0) > 0;
        }
        record.isLost = !outcome.error.empty();
        record.isComplete = record.refusalCode.empty() && !record.isLost
            && generatedText(body, shape.isStreamed)
                == StandIns::expectedCompletion(promptOf(index), shape.maxTokens);
        if (++finishedRequests == arrivals.size())
            done();
    }
};

LoadRunner::LoadRunner(std::unique_ptr<Private> data)
    : d(std::move(data))
{ }

LoadRunner::~LoadRunner() = default;

auto LoadRunner::create(Net::Reactor &reactor, const LoadShape &shape)
    -> Utils::Result<std::unique_ptr<LoadRunner>, std::string>
{
    auto data = std::make_unique<Private>(reactor, shape);
    for (const auto &customer : shape.customers) {
        std::ifstream file(customer.keyFile);
        std::string key;
        if (!std::getline(file, key) || key.empty())
            return tl::unexpected(customer.keyFile + ": expected a file with a key");
        data->keys.push_back(key);
    }
    return std::unique_ptr<LoadRunner>(new LoadRunner(std::move(data)));
}

auto LoadRunner::start(std::function<void(size_t, size_t)> progress, std::function<void()> done)
    -> void
{
    d->done = std::move(done);
    d->startedAt = d->reactor.now();
    d->progressTimer = std::make_unique<Net::PeriodicTimer>(
        d->reactor, progressInterval, [this, progress = std::move(progress)] {
            progress(d->finishedRequests, d->arrivals.size());
        });
    d->sendDue();
}

auto LoadRunner::records() const -> const std::vector<RequestRecord> &
{
    return d->records;
}

} // namespace Load
