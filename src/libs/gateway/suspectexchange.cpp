#include "suspectexchange.h"

#include <net/periodictimer.h>
#include <utils/eventlog.h>
#include <utils/jsonfield.h>
#include <utils/rendezvous.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <iterator>

namespace Gateway {

using Http1::SocketAddress;
using nlohmann::json;
using Routing::CrashFeature;
using Routing::CrashVerdict;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using Utils::Duration;
using Utils::TimePoint;

namespace {

const char *const EvidenceKind = "crash-evidence";
const char *const QuestionKind = "crash-question";
const char *const SurvivalKind = "crash-survived";
const char *const VerdictKind = "crash-verdict";
const char *const RefusalKind = "crash-refused";
const char *const TrialKind = "crash-trial";
const char *const ListKind = "crash-list";

constexpr milliseconds RosterInterval(500);
/// Delay after which a message to one gateway is sent a second time.
constexpr milliseconds RepeatDelay(300);
/// Interval of the rounds in which questions and announcements are sent together.
constexpr milliseconds RoundInterval(50);
/// From the first question to the second one, and from there to the verdict.
constexpr milliseconds QuestionInterval(120);
constexpr milliseconds AnswerTimeout(180);
constexpr int QuestionCount = 2;
/// Time by which the second responsible gateway lets the first one decide.
constexpr milliseconds SecondDelay(500);
constexpr size_t MaxQuestions = 64;
/// Delays between the repetitions of an announcement.
constexpr std::array<milliseconds, 4> AnnouncementDelays = {milliseconds(0), milliseconds(300),
                                                            milliseconds(600), milliseconds(1200)};
/// A verdict is announced once more after this time while requests are refused because of it.
constexpr milliseconds VerdictRefreshInterval(10000);
constexpr milliseconds NoticeInterval(1000);
/// Time in which a trial must be used. The next request with the feature may come to any gateway.
constexpr milliseconds TrialLifetime(60000);
constexpr size_t MaxItems = 64; ///< In one message.
constexpr size_t MaxTracked = 512; ///< Entries of each table by feature.
constexpr size_t MaxNameBytes = 256; ///< Of a crash.
/// Gateways that a new one asks for the verdicts, and how often.
constexpr size_t ListPeers = 3;
constexpr int ListRepeats = 3;
/// Longest time in a message; larger values are a fault of the sender.
constexpr std::int64_t MaxMilliseconds = 3600000;

auto ageField(const json &item, const char *name) -> Duration
{
    return milliseconds(
        std::clamp(Utils::fieldOr(item, name, std::int64_t(0)), std::int64_t(0), MaxMilliseconds));
}

auto toMilliseconds(Duration duration) -> std::int64_t
{
    return duration_cast<milliseconds>(duration).count();
}

auto featureField(const json &item) -> std::optional<CrashFeature>
{
    return CrashFeature::fromString(Utils::fieldOr(item, "feature", std::string()));
}

/// The items of a message; empty if it has none.
auto itemsOf(const json &message) -> std::vector<json>
{
    std::vector<json> items;
    const auto found = message.find("items");
    if (found == message.end() || !found->is_array())
        return items;
    for (const json &item : *found) {
        if (items.size() < MaxItems)
            items.push_back(item);
    }
    return items;
}

/// Limits a table that is only a memory of what was sent.
template <typename Table>
auto keepSmall(Table &table) -> void
{
    if (table.size() > MaxTracked)
        table.clear();
}

} // namespace

SuspectExchange::SuspectExchange(Net::Scheduler &scheduler, const SocketAddress &own,
                                 Transport transport)
    : m_scheduler(scheduler)
    , m_own(own)
    , m_transport(std::move(transport))
    , m_roster(own)
    , m_rosterTimer(std::make_unique<Net::PeriodicTimer>(scheduler, RosterInterval,
                                                         [this] { updateRoster(); }))
{ }

SuspectExchange::~SuspectExchange()
{
    *m_alive = false;
}

auto SuspectExchange::now() const -> TimePoint
{
    return m_scheduler.now();
}

auto SuspectExchange::updateRoster() -> void
{
    const auto peers = m_transport.peers();
    if (!peers)
        return;
    const bool wasKnown = m_roster.isKnown();
    m_roster.update(*peers, now());
    if (!wasKnown)
        requestVerdicts(ListRepeats);
}

/// Asks a few gateways for the verdicts that were given before this process was started.
auto SuspectExchange::requestVerdicts(int repeatsLeft) -> void
{
    std::vector<std::string> names;
    for (const SocketAddress &peer : m_roster.others())
        names.push_back(peer.toString());
    const auto ranked =
        Utils::rankByRendezvous(m_own.toString() + std::to_string(repeatsLeft), std::move(names));
    for (size_t i = 0; i < ranked.size() && i < ListPeers; ++i)
        m_transport.send(*SocketAddress::parse(ranked[i]), {{"kind", ListKind}});
    if (repeatsLeft <= 1)
        return;
    m_scheduler.callAfter(RosterInterval, [this, alive = m_alive, repeatsLeft] {
        if (*alive)
            requestVerdicts(repeatsLeft - 1);
    });
}

auto SuspectExchange::isFirst(const CrashFeature &feature) const -> bool
{
    return m_roster.issuers(feature.toString()).first == m_own;
}

auto SuspectExchange::isResponsible(const CrashFeature &feature) const -> bool
{
    const auto &issuers = m_roster.issuers(feature.toString());
    return issuers.first == m_own || issuers.second == m_own;
}

/// Runs an action that sends messages, and again after a delay, as messages may be lost.
auto SuspectExchange::sendTwice(std::function<void()> action) -> void
{
    action();
    m_scheduler.callAfter(RepeatDelay, [alive = m_alive, action = std::move(action)] {
        if (*alive)
            action();
    });
}

auto SuspectExchange::noteCrash(const std::string &crash, TimePoint at, const Features &features)
    -> void
{
    sendTwice([this, crash, at, features] { sendEvidence(crash, at, features); });
}

/// Tells the gateways that are responsible for the features of the crash.
auto SuspectExchange::sendEvidence(const std::string &crash, TimePoint at, const Features &features)
    -> void
{
    std::map<SocketAddress, std::vector<json>> messages;
    const auto add = [&](const SocketAddress &to, const CrashFeature &feature) {
        if (to == m_own)
            return recordCrash(crash, at, feature);
        auto &list = messages[to];
        if (list.empty() || list.back()["items"].size() >= MaxItems)
            list.push_back({{"kind", EvidenceKind},
                            {"crash", crash},
                            {"ageMs", toMilliseconds(now() - at)},
                            {"items", json::array()}});
        list.back()["items"].push_back({{"feature", feature.toString()}});
    };
    for (const CrashFeature &feature : features) {
        const auto &issuers = m_roster.issuers(feature.toString());
        add(issuers.first, feature);
        if (issuers.second)
            add(*issuers.second, feature);
    }
    for (const auto &[to, list] : messages) {
        for (const json &message : list)
            m_transport.send(to, message);
    }
}

auto SuspectExchange::recordCrash(const std::string &crash, TimePoint at,
                                  const CrashFeature &feature) -> void
{
    const auto survivedAt = m_survivors.lastAt(feature);
    if (m_verdicts.find(feature, now()) || (survivedAt && *survivedAt >= at))
        return;
    m_evidence.recordCrash(feature, crash, at, now());
    if (survivedAt)
        m_evidence.noteSurvived(feature, *survivedAt);
    if (!isConvincing(feature) || m_questions.count(feature) > 0
        || m_questions.size() >= MaxQuestions)
        return;
    m_questions[feature] = {0, isFirst(feature) ? now() : now() + SecondDelay};
    scheduleRound();
}

auto SuspectExchange::isConvincing(const CrashFeature &feature) const -> bool
{
    return m_evidence.isConvincing(feature, now())
        || (!m_survivors.lastAt(feature) && m_evidence.isConvincingIfNew(feature, now()));
}

auto SuspectExchange::noteSurvived(const Features &features) -> void
{
    json cleared = json::array();
    for (const CrashFeature &feature : features) {
        if (m_verdicts.find(feature, now()))
            cleared.push_back(feature.toString());
        applySurvival(feature, now());
    }
    for (const json &name : cleared) {
        const auto feature = CrashFeature::fromString(name.get<std::string>());
        sendTwice([this, feature = *feature] {
            const json message = {{"kind", SurvivalKind},
                                  {"items", json::array({survivalToJson(feature)})}};
            const auto issuers = m_roster.issuers(feature.toString());
            if (issuers.first != m_own)
                m_transport.send(issuers.first, message);
            if (issuers.second && *issuers.second != m_own)
                m_transport.send(*issuers.second, message);
        });
    }
}

/// A request with the feature was answered at that time, here or elsewhere.
auto SuspectExchange::applySurvival(const CrashFeature &feature, TimePoint at) -> void
{
    m_survivors.note(feature, at);
    m_evidence.noteSurvived(feature, at);
    const CrashVerdict *verdict = m_verdicts.find(feature, now());
    if (!verdict || at <= verdict->since)
        return;
    Utils::logEvent(Utils::Event::CrashVerdictEnded,
                    {{"feature", feature.toString()},
                     {"crashes", verdict->crashes},
                     {"trials", verdict->trials},
                     {"ageMs", toMilliseconds(now() - verdict->decidedAt)}});
    m_verdicts.remove(feature);
    m_trials.erase(feature);
    if (isResponsible(feature))
        announce(feature, false, 0);
    else
        m_announcements.erase(feature);
}

auto SuspectExchange::findVerdict(const Features &features) const -> std::optional<CrashVerdict>
{
    for (const CrashFeature &feature : features) {
        const CrashVerdict *verdict = m_verdicts.find(feature, now());
        if (!verdict)
            continue;
        const auto trial = m_trials.find(feature);
        const bool isAllowed = trial != m_trials.end() && trial->second.usableUntil
            && now() < *trial->second.usableUntil;
        if (!isAllowed)
            return *verdict;
    }
    return {};
}

auto SuspectExchange::noteWritten(const Features &features) -> void
{
    if (m_trials.empty())
        return;
    for (const CrashFeature &feature : features) {
        const auto trial = m_trials.find(feature);
        if (trial != m_trials.end())
            trial->second.usableUntil.reset();
    }
}

auto SuspectExchange::noteRefused(const CrashFeature &feature) -> void
{
    const CrashVerdict *verdict = m_verdicts.find(feature, now());
    if (!verdict)
        return;
    m_verdicts.noteUsed(feature, now());
    const auto noticed = m_noticedAt.find(feature);
    if (noticed != m_noticedAt.end() && now() - noticed->second < NoticeInterval)
        return;
    keepSmall(m_noticedAt);
    m_noticedAt[feature] = now();
    const SocketAddress first = m_roster.issuers(feature.toString()).first;
    if (first == m_own)
        return handleRefusal(feature, m_own);
    m_transport.send(first,
                     {{"kind", RefusalKind}, {"items", json::array({verdictToJson(*verdict)})}});
}

auto SuspectExchange::handleMessage(const json &message, const SocketAddress &sender) -> bool
{
    const auto kind = Utils::fieldOr(message, "kind", std::string());
    if (kind == EvidenceKind) {
        handleEvidence(message, sender);
    } else if (kind == QuestionKind) {
        handleQuestion(message, sender);
    } else if (kind == SurvivalKind) {
        handleSurvival(message);
    } else if (kind == VerdictKind || kind == RefusalKind || kind == TrialKind) {
        handleVerdicts(message, sender);
    } else if (kind == ListKind) {
        json items = json::array();
        for (const CrashVerdict &verdict : m_verdicts.newest(MaxItems))
            items.push_back(verdictToJson(verdict));
        if (!items.empty())
            m_transport.send(sender, {{"kind", VerdictKind}, {"items", items}});
    } else {
        return false;
    }
    return true;
}

auto SuspectExchange::handleEvidence(const json &message, const SocketAddress &sender) -> void
{
    const auto crash = Utils::fieldOr(message, "crash", std::string());
    if (crash.empty() || crash.size() > MaxNameBytes)
        return;
    const auto at = now() - ageField(message, "ageMs");
    json known = json::array();
    for (const json &item : itemsOf(message)) {
        const auto feature = featureField(item);
        if (!feature)
            continue;
        // The sender has missed the verdict.
        if (const CrashVerdict *verdict = m_verdicts.find(*feature, now()))
            known.push_back(verdictToJson(*verdict));
        else
            recordCrash(crash, at, *feature);
    }
    if (!known.empty())
        m_transport.send(sender, {{"kind", VerdictKind}, {"items", known}});
}

auto SuspectExchange::handleQuestion(const json &message, const SocketAddress &sender) -> void
{
    json survived = json::array();
    for (const json &item : itemsOf(message)) {
        const auto feature = featureField(item);
        if (!feature)
            continue;
        const auto at = m_survivors.lastAt(*feature);
        if (at && *at > now() - ageField(item, "sinceMs"))
            survived.push_back(survivalToJson(*feature));
    }
    if (!survived.empty())
        m_transport.send(sender, {{"kind", SurvivalKind}, {"items", survived}});
}

auto SuspectExchange::handleSurvival(const json &message) -> void
{
    for (const json &item : itemsOf(message)) {
        if (const auto feature = featureField(item))
            applySurvival(*feature, now() - ageField(item, "ageMs"));
    }
}

/// Handles verdicts, alone or with the news that a request was refused or may be tried.
auto SuspectExchange::handleVerdicts(const json &message, const SocketAddress &sender) -> void
{
    const auto kind = Utils::fieldOr(message, "kind", std::string());
    json survived = json::array();
    for (const json &item : itemsOf(message)) {
        const auto verdict = verdictFromJson(item);
        if (!verdict)
            continue;
        if (!adopt(*verdict))
            survived.push_back(survivalToJson(verdict->feature));
        else if (kind == RefusalKind)
            handleRefusal(verdict->feature, sender);
        else if (kind == TrialKind)
            useTrial(*verdict);
    }
    if (!survived.empty())
        m_transport.send(sender, {{"kind", SurvivalKind}, {"items", survived}});
}

/// Keeps a verdict. Returns false if a request with the feature has survived since.
auto SuspectExchange::adopt(const CrashVerdict &verdict) -> bool
{
    const auto survivedAt = m_survivors.lastAt(verdict.feature);
    if (survivedAt && *survivedAt > verdict.since)
        return false;
    m_questions.erase(verdict.feature);
    m_evidence.remove(verdict.feature);
    if (m_verdicts.merge(verdict, now()))
        Utils::logEvent(Utils::Event::CrashVerdictGiven,
                        {{"feature", verdict.feature.toString()},
                         {"crashes", verdict.crashes},
                         {"firstCrashAgoMs", toMilliseconds(now() - verdict.since)},
                         {"ageMs", toMilliseconds(now() - verdict.decidedAt)},
                         {"trials", verdict.trials},
                         {"responsible", isResponsible(verdict.feature)}});
    return true;
}

/// Keeps the verdict known while requests come, and allows one of them if a trial is due.
auto SuspectExchange::handleRefusal(const CrashFeature &feature, const SocketAddress &sender)
    -> void
{
    if (!isFirst(feature))
        return;
    if (now() - m_announcedAt[feature] >= VerdictRefreshInterval)
        announce(feature, true, AnnouncementDelays.size() - 1);
    const CrashVerdict *verdict = m_verdicts.find(feature, now());
    if (!verdict || !Routing::CrashVerdicts::isTrialDue(*verdict, now()))
        return;
    m_verdicts.noteTrial(feature);
    verdict = m_verdicts.find(feature, now());
    Utils::logEvent(Utils::Event::CrashTrialAllowed,
                    {{"feature", feature.toString()},
                     {"trials", verdict->trials},
                     {"gateway", sender.toString()}});
    const json items = json::array({verdictToJson(*verdict)});
    // The second responsible gateway must not allow this trial again.
    if (const auto second = m_roster.issuers(feature.toString()).second; second && *second != m_own)
        m_transport.send(*second, {{"kind", VerdictKind}, {"items", items}});
    if (sender == m_own)
        return useTrial(*verdict);
    sendTwice([this, sender, items] {
        m_transport.send(sender, {{"kind", TrialKind}, {"items", items}});
    });
}

/// The next request with the feature may be sent; each trial is used once, also if the message
/// comes twice.
auto SuspectExchange::useTrial(const CrashVerdict &verdict) -> void
{
    keepSmall(m_trials);
    Trial &trial = m_trials[verdict.feature];
    if (verdict.trials <= trial.number)
        return;
    trial.number = verdict.trials;
    trial.usableUntil = now() + TrialLifetime;
}

auto SuspectExchange::announce(const CrashFeature &feature, bool isVerdict, size_t sent) -> void
{
    m_announcements[feature] = {isVerdict, sent, now()};
    if (isVerdict) {
        keepSmall(m_announcedAt);
        m_announcedAt[feature] = now();
    }
    scheduleRound();
}

auto SuspectExchange::scheduleRound() -> void
{
    if (m_isRoundScheduled || (m_questions.empty() && m_announcements.empty()))
        return;
    m_isRoundScheduled = true;
    m_scheduler.callAfter(RoundInterval, [this, alive = m_alive] {
        if (*alive)
            runRound();
    });
}

auto SuspectExchange::runRound() -> void
{
    m_isRoundScheduled = false;
    sendToAll(QuestionKind, collectQuestions());
    json verdicts = json::array();
    json survived = json::array();
    for (auto it = m_announcements.begin(); it != m_announcements.end();) {
        auto &[feature, announcement] = *it;
        const CrashVerdict *verdict = m_verdicts.find(feature, now());
        const bool isDue = now() >= announcement.dueAt;
        const bool isVoid = announcement.isVerdict && !verdict;
        if (isDue && !isVoid) {
            if (announcement.isVerdict)
                verdicts.push_back(verdictToJson(*verdict));
            else
                survived.push_back(survivalToJson(feature));
            if (++announcement.sent < AnnouncementDelays.size())
                announcement.dueAt = now() + AnnouncementDelays[announcement.sent];
        }
        const bool isOver = isVoid || announcement.sent >= AnnouncementDelays.size();
        it = isOver ? m_announcements.erase(it) : std::next(it);
    }
    sendToAll(VerdictKind, verdicts);
    sendToAll(SurvivalKind, survived);
    scheduleRound();
}

/// Returns the questions that are due, and decides those that nobody objected to.
auto SuspectExchange::collectQuestions() -> json
{
    json items = json::array();
    std::vector<CrashFeature> decided;
    for (auto it = m_questions.begin(); it != m_questions.end();) {
        auto &[feature, question] = *it;
        const bool isDue = now() >= question.dueAt;
        const bool isAnswered = !isConvincing(feature);
        const bool isDecided = isDue && !isAnswered && question.asked >= QuestionCount;
        if (isDecided)
            decided.push_back(feature);
        if (isAnswered || isDecided) {
            it = m_questions.erase(it);
            continue;
        }
        if (isDue) {
            // Any survivor speaks against a feature that counts as new.
            const bool isNew = !m_evidence.isConvincing(feature, now());
            const auto since = toMilliseconds(now() - m_evidence.firstCrashAt(feature));
            items.push_back(
                {{"feature", feature.toString()}, {"sinceMs", isNew ? MaxMilliseconds : since}});
            ++question.asked;
            question.dueAt =
                now() + (question.asked < QuestionCount ? QuestionInterval : AnswerTimeout);
        }
        ++it;
    }
    for (const CrashFeature &feature : decided)
        decide(feature);
    return items;
}

auto SuspectExchange::decide(const CrashFeature &feature) -> void
{
    CrashVerdict verdict;
    verdict.feature = feature;
    verdict.crashes = m_evidence.crashedServers(feature, now());
    verdict.since = m_evidence.firstCrashAt(feature);
    verdict.decidedAt = now();
    if (adopt(verdict))
        announce(feature, true, 0);
}

auto SuspectExchange::survivalToJson(const CrashFeature &feature) const -> json
{
    return {{"feature", feature.toString()},
            {"ageMs", toMilliseconds(now() - m_survivors.lastAt(feature).value_or(now()))}};
}

auto SuspectExchange::verdictToJson(const CrashVerdict &verdict) const -> json
{
    return {{"feature", verdict.feature.toString()},
            {"crashes", verdict.crashes},
            {"sinceMs", toMilliseconds(now() - verdict.since)},
            {"ageMs", toMilliseconds(now() - verdict.decidedAt)},
            {"trials", verdict.trials}};
}

auto SuspectExchange::verdictFromJson(const json &item) const -> std::optional<CrashVerdict>
{
    const auto feature = featureField(item);
    if (!feature)
        return {};
    constexpr int maxCrashes = 1000;
    CrashVerdict verdict;
    verdict.feature = *feature;
    verdict.crashes = std::clamp(Utils::fieldOr(item, "crashes", 0), 0, maxCrashes);
    verdict.since = now() - ageField(item, "sinceMs");
    verdict.decidedAt = now() - ageField(item, "ageMs");
    verdict.trials = std::clamp(Utils::fieldOr(item, "trials", 0), 0, maxCrashes);
    return verdict;
}

auto SuspectExchange::sendToAll(const char *kind, const json &items) -> void
{
    if (items.empty())
        return;
    for (size_t from = 0; from < items.size(); from += MaxItems) {
        json part = json::array();
        for (size_t i = from; i < std::min(items.size(), from + MaxItems); ++i)
            part.push_back(items[i]);
        const json message = {{"kind", kind}, {"items", part}};
        for (const SocketAddress &peer : m_roster.others())
            m_transport.send(peer, message);
    }
}

} // namespace Gateway
