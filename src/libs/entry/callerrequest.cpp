#include "callerrequest.h"

#include <routing/crashsuspects.h>
#include <utils/jsontext.h>

#include <algorithm>

namespace Entry {

using Admission::Refusal;
using nlohmann::json;
using Utils::TimePoint;

namespace {

constexpr size_t tailBytes = 2048;
const std::string eventStreamType = "text/event-stream";

auto errorBody(const Refusal &refusal, const std::string &requestId) -> json
{
    json error = Admission::toJson(refusal);
    error["requestId"] = requestId;
    return {{"error", error}};
}

} // namespace

auto respondWithRefusal(Net::HttpExchange &exchange, const std::string &requestId,
                        const Refusal &refusal) -> void
{
    Net::HttpHeaders headers = {{"Content-Type", "application/json"}, {"X-Request-Id", requestId}};
    if (refusal.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count();
        headers["Retry-After"] = std::to_string(seconds);
    }
    exchange.respond(Admission::describe(refusal.reason).httpStatus, headers,
                     Utils::toJsonText(errorBody(refusal, requestId)));
}

CallerRequest::CallerRequest(std::string id, std::shared_ptr<Net::HttpExchange> exchange,
                             ScreenedRequest screened, TimePoint arrivedAt)
    : m_id(std::move(id))
    , m_exchange(std::move(exchange))
    , m_screened(std::move(screened))
    , m_arrivedAt(arrivedAt)
    , m_fingerprint(Routing::requestFingerprint(
          m_screened.customer, m_screened.model.empty() ? m_screened.path : m_screened.model,
          m_exchange->request().body))
{ }

auto CallerRequest::id() const -> const std::string &
{
    return m_id;
}

auto CallerRequest::screened() const -> const ScreenedRequest &
{
    return m_screened;
}

auto CallerRequest::arrivedAt() const -> TimePoint
{
    return m_arrivedAt;
}

auto CallerRequest::deadline() const -> TimePoint
{
    return m_arrivedAt + m_screened.timeLeft;
}

auto CallerRequest::exchange() const -> const std::shared_ptr<Net::HttpExchange> &
{
    return m_exchange;
}

auto CallerRequest::toRunRequest(TimePoint now) const -> Protocol::RunRequest
{
    Protocol::RunRequest run;
    run.requestId = m_id;
    run.customer = m_screened.customer;
    run.keyHash = m_screened.keyHash;
    run.weight = m_screened.weight;
    run.cost = m_screened.estimate.total();
    run.model = m_screened.model;
    run.adapter = m_screened.adapter;
    run.method = m_screened.method;
    run.path = m_screened.path;
    run.contentType = m_screened.contentType;
    run.body = m_exchange->request().body;
    run.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(deadline() - now);
    run.submissionIdentity = m_screened.submissionIdentity;
    run.fingerprint = m_fingerprint;
    run.crashes = crashes;
    return run;
}

auto CallerRequest::responseHeaders() const -> Net::HttpHeaders
{
    return {{"Content-Type", m_head->contentType}, {"X-Request-Id", m_id}};
}

auto CallerRequest::receiveHead(const Protocol::AnswerBegun &head) -> void
{
    if (m_head)
        return;
    m_head = head;
    m_isEventStream = head.contentType.rfind(eventStreamType, 0) == 0;
    if (m_isEventStream)
        m_exchange->begin(head.status, responseHeaders());
}

auto CallerRequest::receiveData(const Protocol::AnswerData &data) -> bool
{
    if (!m_head || data.offset > m_received)
        return false;
    const std::uint64_t known = m_received - data.offset;
    if (known >= data.bytes.size())
        return true;
    const std::string fresh = data.bytes.substr(known);
    m_received += fresh.size();
    m_tail += fresh;
    if (m_tail.size() > 2 * tailBytes)
        m_tail.erase(0, m_tail.size() - tailBytes);
    if (m_isEventStream)
        m_exchange->write(fresh);
    else
        m_body += fresh;
    return true;
}

auto CallerRequest::receiveEnd(const Protocol::AnswerEnded &end) -> bool
{
    if (!m_head || end.totalBytes != m_received)
        return false;
    m_finished = true;
    if (m_isEventStream)
        m_exchange->end();
    else
        m_exchange->respond(m_head->status, responseHeaders(), m_body);
    return true;
}

auto CallerRequest::refuse(const Refusal &refusal) -> void
{
    if (m_finished)
        return;
    m_finished = true;
    if (!m_exchange->hasBegun()) {
        respondWithRefusal(*m_exchange, m_id, refusal);
        return;
    }
    m_exchange->write("event: error\ndata: " + Utils::toJsonText(errorBody(refusal, m_id))
                      + "\n\n");
    m_exchange->end();
}

auto CallerRequest::close() -> void
{
    m_finished = true;
}

auto CallerRequest::hasHead() const -> bool
{
    return m_head.has_value();
}

auto CallerRequest::received() const -> std::uint64_t
{
    return m_received;
}

auto CallerRequest::isFinished() const -> bool
{
    return m_finished;
}

auto CallerRequest::tail() const -> const std::string &
{
    return m_tail;
}

auto CallerRequest::status() const -> int
{
    return m_head ? m_head->status : 0;
}

} // namespace Entry
