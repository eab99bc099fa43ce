#include "servicemodel.h"

#include "routingconstants.h"
#include "selectionweights.h"

#include <algorithm>

namespace Routing {

using Utils::TimePoint;

namespace {

/// Moves a mean towards a value; the first value replaces it.
auto blend(double &mean, double value) -> void
{
    mean = mean > 0 ? mean + Constants::MeanWeight * (value - mean) : value;
}

auto medianOf(std::vector<double> ratios) -> double
{
    if (ratios.empty())
        return 1;
    const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
    std::nth_element(ratios.begin(), middle, ratios.end());
    return *middle;
}

} // namespace

ServiceModel::ServiceModel(std::uint64_t seed)
    : m_hintRatio(Constants::InitialHintRatio)
    , m_domain(seed)
{ }

auto ServiceModel::expectedAnswerTokens(const RequestProfile &request) const -> double
{
    if (!request.lengthHint)
        return request.maxAnswerTokens;
    return std::min(request.maxAnswerTokens, *request.lengthHint * m_hintRatio);
}

auto ServiceModel::expectedTokens(const RequestProfile &request) const -> double
{
    return request.promptTokens + expectedAnswerTokens(request);
}

auto ServiceModel::expectedBytes(const RequestProfile &request) const -> double
{
    const double answerTokens = expectedAnswerTokens(request);
    const bool isScaled = answerTokens > 0 && m_meanAnswerTokens > 0;
    return request.bytes + m_meanAnswerBytes * (isScaled ? answerTokens / m_meanAnswerTokens : 1);
}

auto ServiceModel::relativeBytes(const RequestProfile &request) const -> double
{
    const double mean = m_meanRequestBytes + m_meanAnswerBytes;
    return mean > 0 ? expectedBytes(request) / mean : 1;
}

auto ServiceModel::beginningOf(const std::string &model) const -> const DelayModel *
{
    const auto found = m_beginnings.find(model);
    return found == m_beginnings.end() || !found->second.isKnown() ? nullptr : &found->second;
}

auto ServiceModel::anyBeginning() const -> const DelayModel *
{
    const auto known = std::find_if(m_beginnings.begin(), m_beginnings.end(),
                                    [](const auto &item) { return item.second.isKnown(); });
    return known == m_beginnings.end() ? nullptr : &known->second;
}

auto ServiceModel::modelFor(std::map<std::string, DelayModel> &models, const std::string &name)
    -> DelayModel &
{
    const auto found = models.find(name);
    if (found != models.end())
        return found->second;
    // Beyond the limit, models share one fit.
    return models[models.size() < Constants::MaxDelayModels ? name : std::string()];
}

auto ServiceModel::noteSent(const RequestProfile &request, const RunningRequest &run) -> void
{
    blend(m_meanTokens, run.reservedTokens);
    blend(m_meanAnswerTokens, expectedAnswerTokens(request));
    blend(m_meanRequestBytes, request.bytes);
    m_domain.noteSent(run.isRemote);
}

auto ServiceModel::noteBegun(const RequestProfile &request, const RunningRequest &run,
                             ServerState &server) -> void
{
    if (!run.begunAt)
        return;
    const TimePoint now = *run.begunAt;
    const double slowdown = server.slowdown.value(now);
    const Milliseconds measured = Milliseconds(now - run.sentAt) / slowdown;
    DelayModel &model = modelFor(m_beginnings, request.model);
    if (model.isKnown())
        server.beginning.note(measured, model.expected(run.load, run.tokensToRead), now);
    // Measurements count as those of a server of usual speed, or the slow servers, which hold more
    // requests, would make the load look more expensive than it is.
    model.note(run.load, run.tokensToRead,
               measured / server.beginning.relativeTo(m_medianBeginning, now));
}

auto ServiceModel::noteComplete(const RequestProfile &request, const RunningRequest &run,
                                ServerState &server) -> void
{
    blend(m_meanAnswerBytes, run.answerBytes);
    if (request.lengthHint && *request.lengthHint > 0 && run.events > 0) {
        const double ratio =
            std::clamp(run.events / *request.lengthHint, 0.0, Constants::MaxHintRatio);
        m_hintRatio = std::max(Constants::MinHintRatio,
                               m_hintRatio + Constants::MeanWeight * (ratio - m_hintRatio));
    }
    if (!run.begunAt || run.events < Constants::MinEventsForSpeed)
        return;
    const TimePoint now = run.lastEventAt;
    const Milliseconds perEvent =
        Milliseconds(now - *run.begunAt) / ((run.events - 1) * server.slowdown.value(now));
    DelayModel &model = modelFor(m_perEvent, request.model);
    if (model.isKnown())
        server.perEvent.note(perEvent, model.expected(run.load, 0), now);
    model.note(run.load, 0, perEvent / server.perEvent.relativeTo(m_medianPerEvent, now));
}

auto ServiceModel::expectedTimeLeft(const RequestProfile &request, const RunningRequest &run,
                                    const ServerState &server, TimePoint now) const
    -> std::optional<Milliseconds>
{
    const double relative = relativeTime(server, m_medianBeginning, m_medianPerEvent, now);
    Milliseconds left(0);
    if (!run.begunAt) {
        const DelayModel *beginning = beginningOf(request.model);
        if (!beginning)
            return {};
        const Milliseconds waited = now - run.sentAt;
        left = std::max(Milliseconds(0),
                        beginning->expected(run.load, run.tokensToRead) * relative - waited);
    }
    const auto perEvent = m_perEvent.find(request.model);
    if (perEvent == m_perEvent.end() || !perEvent->second.isKnown())
        return left; // Answers in one piece are complete once they begin.
    const double eventsLeft = std::max(1.0, expectedAnswerTokens(request) - run.events);
    return left + perEvent->second.expected(run.load, 0) * relative * eventsLeft;
}

auto ServiceModel::observe(const std::vector<ServerView> &servers, double costWeight, TimePoint now)
    -> bool
{
    std::vector<double> beginnings;
    std::vector<double> perEvents;
    for (const ServerView &server : servers) {
        if (server.state->beginning.isKnown(now))
            beginnings.push_back(server.state->beginning.ratio());
        if (server.state->perEvent.isKnown(now))
            perEvents.push_back(server.state->perEvent.ratio());
    }
    m_medianBeginning = medianOf(std::move(beginnings));
    m_medianPerEvent = medianOf(std::move(perEvents));

    const DelayModel *known = anyBeginning();
    const Milliseconds perRequest = known ? known->perRequest() : Constants::UnknownDelayPerRequest;
    const double idleLoad = known ? known->idleLoad() : 1;
    DomainSituation situation;
    std::optional<double> own;
    std::optional<double> other;
    double load = 0;
    double capacity = 0;
    for (const ServerView &server : servers) {
        const double relative =
            relativeTime(*server.state, m_medianBeginning, m_medianPerEvent, now);
        const double delay = (server.load + idleLoad) * relative;
        auto &best = server.isRemote ? other : own;
        best = std::min(best.value_or(delay), delay);
        if (server.isRemote)
            continue;
        load += std::min<double>(server.load, server.capacity);
        capacity += server.capacity;
    }
    // Without servers on either side there is nothing to decide.
    if (!own || !other)
        return false;
    situation.ownDelay = perRequest * *own;
    situation.otherDelay = perRequest * *other;
    situation.perRequest = perRequest;
    situation.cost = perRequest * costWeight;
    situation.ownUse = load / capacity;
    return m_domain.observe(situation, now);
}

} // namespace Routing
