#pragma once

#include "permitroster.h"

#include <http1/socketaddress.h>
#include <routing/crashevidence.h>
#include <routing/crashverdicts.h>
#include <routing/survivorlog.h>
#include <utils/timepoint.h>

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Net {
class PeriodicTimer;
class Scheduler;
} // namespace Net

namespace Gateway {

/// Finds what requests that crash backend servers have in common, over all gateways together, and
/// keeps such requests from being sent. For each feature one gateway collects the crashes, and a
/// second one in case the first one is gone. Before it gives a verdict it asks all others whether a
/// request with the feature has survived since. All gateways keep the verdict. The first one allows
/// a few single requests to show that a verdict no longer holds.
class SuspectExchange
{
public:
    using Features = std::vector<Routing::CrashFeature>;

    struct Transport
    {
        /// The other gateways; unset until this gateway has learned of them.
        std::function<std::optional<std::vector<Http1::SocketAddress>>()> peers;
        /// Messages may be lost.
        std::function<void(const Http1::SocketAddress &, const nlohmann::json &)> send;
    };

    SuspectExchange(Net::Scheduler &scheduler, const Http1::SocketAddress &own,
                    Transport transport);
    ~SuspectExchange();

    /// A backend server crashed while requests with these features waited for their answers.
    auto noteCrash(const std::string &crash, Utils::TimePoint at, const Features &features) -> void;
    /// A request with these features outlived the beginning of its answer.
    auto noteSurvived(const Features &features) -> void;
    /// The verdict that forbids sending a request with these features now, if any.
    auto findVerdict(const Features &features) const -> std::optional<Routing::CrashVerdict>;
    /// A request was refused because of a verdict on the feature.
    auto noteRefused(const Routing::CrashFeature &feature) -> void;
    /// A request with these features is sent.
    auto noteWritten(const Features &features) -> void;
    /// Returns true if the message belongs to this class.
    auto handleMessage(const nlohmann::json &message, const Http1::SocketAddress &sender) -> bool;

private:
    /// A verdict that is being prepared: the others are asked for requests that survived.
    struct Question
    {
        int asked = 0;
        Utils::TimePoint dueAt;
    };
    /// News that are sent to all gateways several times.
    struct Announcement
    {
        bool isVerdict = false; ///< Otherwise a request has survived.
        size_t sent = 0;
        Utils::TimePoint dueAt;
    };
    /// Permission to send one request in spite of a verdict.
    struct Trial
    {
        int number = 0;
        std::optional<Utils::TimePoint> usableUntil;
    };

    auto now() const -> Utils::TimePoint;
    auto updateRoster() -> void;
    auto requestVerdicts(int repeatsLeft) -> void;
    auto isConvincing(const Routing::CrashFeature &feature) const -> bool;
    auto isResponsible(const Routing::CrashFeature &feature) const -> bool;
    auto isFirst(const Routing::CrashFeature &feature) const -> bool;
    auto sendTwice(std::function<void()> action) -> void;
    auto sendEvidence(const std::string &crash, Utils::TimePoint at, const Features &features)
        -> void;
    auto recordCrash(const std::string &crash, Utils::TimePoint at,
                     const Routing::CrashFeature &feature) -> void;
    auto applySurvival(const Routing::CrashFeature &feature, Utils::TimePoint at) -> void;
    auto handleEvidence(const nlohmann::json &message, const Http1::SocketAddress &sender) -> void;
    auto handleQuestion(const nlohmann::json &message, const Http1::SocketAddress &sender) -> void;
    auto handleSurvival(const nlohmann::json &message) -> void;
    auto handleVerdicts(const nlohmann::json &message, const Http1::SocketAddress &sender) -> void;
    auto adopt(const Routing::CrashVerdict &verdict) -> bool;
    auto handleRefusal(const Routing::CrashFeature &feature, const Http1::SocketAddress &sender)
        -> void;
    auto useTrial(const Routing::CrashVerdict &verdict) -> void;
    auto announce(const Routing::CrashFeature &feature, bool isVerdict, size_t sent) -> void;
    auto scheduleRound() -> void;
    auto runRound() -> void;
    auto collectQuestions() -> nlohmann::json;
    auto decide(const Routing::CrashFeature &feature) -> void;
    auto survivalToJson(const Routing::CrashFeature &feature) const -> nlohmann::json;
    auto verdictToJson(const Routing::CrashVerdict &verdict) const -> nlohmann::json;
    auto verdictFromJson(const nlohmann::json &item) const -> std::optional<Routing::CrashVerdict>;
    auto sendToAll(const char *kind, const nlohmann::json &items) -> void;

    Net::Scheduler &m_scheduler;
    Http1::SocketAddress m_own;
    Transport m_transport;
    PermitRoster m_roster;
    Routing::CrashEvidence m_evidence;
    Routing::SurvivorLog m_survivors;
    Routing::CrashVerdicts m_verdicts;
    std::map<Routing::CrashFeature, Question> m_questions;
    std::map<Routing::CrashFeature, Announcement> m_announcements;
    std::map<Routing::CrashFeature, Trial> m_trials; ///< Of known verdicts.
    std::map<Routing::CrashFeature, Utils::TimePoint> m_noticedAt; ///< Refusals, last told.
    std::map<Routing::CrashFeature, Utils::TimePoint> m_announcedAt; ///< Verdicts, last told.
    bool m_isRoundScheduled = false;
    std::unique_ptr<Net::PeriodicTimer> m_rosterTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Gateway
