#include "run.h"

#include "agentconstants.h"

#include <protocol/codec.h>

namespace Agent {

Run::Run(Protocol::RunRequest request, Admission::QueuedRequest queued)
    : m_request(std::move(request))
    , m_queued(std::move(queued))
    , m_tail(Constants::MaxTailBytes)
{ }

auto Run::request() const -> const Protocol::RunRequest &
{
    return m_request;
}

auto Run::queued() const -> const Admission::QueuedRequest &
{
    return m_queued;
}

auto Run::isService() const -> bool
{
    return m_request.model.empty();
}

auto Run::attach(const std::shared_ptr<Links::LinkExchange> &exchange) -> void
{
    m_exchange = exchange;
}

auto Run::isAttachedTo(const std::shared_ptr<Links::LinkExchange> &exchange) const -> bool
{
    return m_exchange == exchange;
}

auto Run::send(const Protocol::RunEvent &event) -> void
{
    if (!m_exchange)
        return;
    m_exchange->send(Protocol::encode(Protocol::toJson(event)));
    if (std::holds_alternative<Protocol::AnswerEnded>(event)
        || std::holds_alternative<Admission::Refusal>(event))
        m_exchange->finish();
}

auto Run::replay(const Protocol::ResumeRequest &from) -> bool
{
    const auto missing = m_tail.from(from.offset);
    if (!missing)
        return false;
    if (m_head && !from.hasBegun)
        send(*m_head);
    if (!missing->empty())
        send(Protocol::AnswerData{from.offset, *missing});
    if (m_final)
        send(*m_final);
    return true;
}

auto Run::begin(const ServerAnswerHead &head, int queuedNow) -> void
{
    m_head = Protocol::AnswerBegun{head.status, head.contentType, queuedNow};
    send(*m_head);
}

auto Run::append(const std::string &bytes) -> void
{
    const std::uint64_t offset = m_tail.end();
    m_tail.append(bytes);
    send(Protocol::AnswerData{offset, bytes});
}

auto Run::end() -> void
{
    m_final = Protocol::AnswerEnded{m_tail.end()};
    send(*m_final);
}

auto Run::refuse(const Admission::Refusal &refusal) -> void
{
    m_final = refusal;
    send(*m_final);
}

auto Run::hasBegun() const -> bool
{
    return m_head.has_value();
}

auto Run::wholeBody() const -> std::optional<std::string>
{
    return m_tail.from(0);
}

} // namespace Agent
