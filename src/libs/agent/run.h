#pragma once

#include <admission/admissionqueue.h>
#include <agent/answertail.h>
#include <agent/backendserver.h>
#include <links/linkserver.h>
#include <protocol/runevent.h>
#include <protocol/runrequest.h>
#include <submissions/submissionkeeper.h>
#include <utils/timepoint.h>

#include <memory>
#include <optional>
#include <string>

namespace Agent {

/// One request at this agent, from its arrival until its answer is no longer needed.
class Run
{
public:
    enum class Stage { Waiting, Claiming, Running, Ended };

    Run(Protocol::RunRequest request, Admission::QueuedRequest queued);

    auto request() const -> const Protocol::RunRequest &;
    auto queued() const -> const Admission::QueuedRequest &;
    auto isService() const -> bool;

    /// Sets the entry's stream that receives the answer, replacing an earlier one.
    auto attach(const std::shared_ptr<Links::LinkExchange> &exchange) -> void;
    auto isAttachedTo(const std::shared_ptr<Links::LinkExchange> &exchange) const -> bool;
    /// Sends the part of the answer that the entry has not received. Returns false if that part is
    /// no longer kept.
    auto replay(const Protocol::ResumeRequest &from) -> bool;

    auto begin(const ServerAnswerHead &head, int queuedNow) -> void;
    auto append(const std::string &bytes) -> void;
    auto end() -> void;
    auto refuse(const Admission::Refusal &refusal) -> void;
    auto hasBegun() const -> bool;
    auto wholeBody() const -> std::optional<std::string>;

    Stage stage = Stage::Waiting;
    Utils::TimePoint startedAt;
    Utils::TimePoint endedAt;
    std::string bootId; ///< The backend server's boot id when the request was dispatched.
    BackendServer::DispatchId dispatch = 0;
    std::optional<Submissions::RunNow> claim;

private:
    auto send(const Protocol::RunEvent &event) -> void;

    Protocol::RunRequest m_request;
    Admission::QueuedRequest m_queued;
    std::shared_ptr<Links::LinkExchange> m_exchange;
    std::optional<Protocol::AnswerBegun> m_head;
    AnswerTail m_tail;
    std::optional<Protocol::RunEvent> m_final;
};

} // namespace Agent
