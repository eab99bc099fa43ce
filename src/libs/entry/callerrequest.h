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

/// One caller's request at the entry, from its arrival to its final answer. Puts the pieces of the
/// answer together so that the caller gets each byte once and in order.
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
    /// What goes to an agent now.
    auto toRunRequest(Utils::TimePoint now) const -> Protocol::RunRequest;

    auto receiveHead(const Protocol::AnswerBegun &head) -> void;
    /// False when the piece does not join on; pieces received before are dropped.
    auto receiveData(const Protocol::AnswerData &data) -> bool;
    /// False when bytes are missing.
    auto receiveEnd(const Protocol::AnswerEnded &end) -> bool;
    /// The final answer when the request is given up.
    auto refuse(const Admission::Refusal &refusal) -> void;
    auto close() -> void;

    auto hasHead() const -> bool;
    auto received() const -> std::uint64_t;
    auto isFinished() const -> bool;
    /// The latest bytes of the answer, where usage is reported.
    auto tail() const -> const std::string &;
    auto status() const -> int;

    // The attempt under way.
    std::string server;
    std::string agentAddress;
    Links::LinkChannel::CallId call = 0;
    int attempt = 0;
    bool wasSent = false; ///< Some agent may have received the request.
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
    std::string m_body; // Whole, unless it is streamed on.
    std::string m_tail;
    std::uint64_t m_received = 0;
    bool m_finished = false;
};

/// Answers a request with a refusal, `Retry-After` included.
auto respondWithRefusal(Net::HttpExchange &exchange, const std::string &requestId,
                        const Admission::Refusal &refusal) -> void;

} // namespace Entry
