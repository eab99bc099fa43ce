#pragma once

#include <admission/refusal.h>
#include <entry/requestscreen.h>
#include <links/linkchannel.h>
#include <net/httpserver.h>
#include <net/reactor.h>
#include <protocol/runevent.h>
#include <protocol/runrequest.h>
#include <utils/timepoint.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Entry {

/// One caller's request at the entry, from its arrival to its final answer. Reassembles the answer
/// so that the caller receives each byte once and in order.
class CallerRequest
{
public:
    CallerRequest(std::string id, std::shared_ptr<Net::HttpExchange> exchange,
                  ScreenedRequest screened, Utils::TimePoint arrivedAt);

    auto id() const -> const std::string &;
    auto screened() const -> const ScreenedRequest &;
    auto arrivedAt() const -> Utils::TimePoint;
    auto deadline() const -> Utils::TimePoint;
    auto exchange() const -> const std::shared_ptr<Net::HttpExchange> &;
    /// The request to send to an agent, with the time left at `now`.
    auto toRunRequest(Utils::TimePoint now) const -> Protocol::RunRequest;

    auto receiveHead(const Protocol::AnswerBegun &head) -> void;
    /// Returns false if bytes are missing before the piece. Bytes already received are ignored.
    auto receiveData(const Protocol::AnswerData &data) -> bool;
    /// Returns false if bytes are missing.
    auto receiveEnd(const Protocol::AnswerEnded &end) -> bool;
    /// Ends the request with a refusal.
    auto refuse(const Admission::Refusal &refusal) -> void;
    auto close() -> void;

    auto hasHead() const -> bool;
    auto received() const -> std::uint64_t;
    auto isFinished() const -> bool;
    /// The last bytes of the answer, which contain the reported usage.
    auto tail() const -> const std::string &;
    auto status() const -> int;

    // The current attempt.
    std::string server;
    std::string agentAddress;
    Links::LinkChannel::CallId call = 0;
    int attempt = 0;
    bool wasSent = false; ///< An agent may have received the request.
    bool wasCharged = false;
    std::set<std::string> triedServers;
    std::vector<std::string> crashes;
    std::optional<Utils::TimePoint> resumingSince;
    std::optional<Admission::Refusal> lastRefusal;
    Net::Reactor::TimerId deadlineTimer = 0;

private:
    auto responseHeaders() const -> Net::HttpHeaders;

    std::string m_id;
    std::shared_ptr<Net::HttpExchange> m_exchange;
    ScreenedRequest m_screened;
    Utils::TimePoint m_arrivedAt;
    std::string m_fingerprint;
    std::optional<Protocol::AnswerBegun> m_head;
    bool m_isEventStream = false;
    std::string m_body; // The whole body, unless it is streamed to the caller.
    std::string m_tail;
    std::uint64_t m_received = 0;
    bool m_finished = false;
};

/// Responds to a request with a refusal and, if it has a retry delay, a `Retry-After` header.
auto respondWithRefusal(Net::HttpExchange &exchange, const std::string &requestId,
                        const Admission::Refusal &refusal) -> void;

} // namespace Entry
