#include "serverselector.h"

#include "routingconstants.h"

#include <utils/rendezvous.h>

#include <algorithm>

namespace Routing {

using Utils::TimePoint;

ServerSelector::ServerSelector(std::uint64_t seed)
    : m_seed(seed)
{ }

auto ServerSelector::setCrossDomainCost(std::optional<Milliseconds> perMegabyte) -> void
{
    m_costPerMegabyte = perMegabyte;
}

auto ServerSelector::makeState() -> ServerState
{
    ServerState state;
    state.handle = ++m_lastHandle;
    return state;
}

auto ServerSelector::serviceOf(const std::string &name) -> ServiceModel &
{
    return m_services.try_emplace(name, m_seed + Utils::stableHash(name)).first->second;
}

auto ServerSelector::remoteWeight(const ServiceModel &service, const RequestProfile &request,
                                  const DelayModel *delays) const -> double
{
    if (!m_costPerMegabyte) {
        return std::clamp(Constants::UsualRemoteWeight * service.relativeBytes(request),
                          Constants::MinRemoteWeight, Constants::MaxUsualRemoteWeight);
    }
    constexpr double bytesPerMegabyte = 1e6;
    const Milliseconds perRequest =
        delays ? delays->perRequest() : Constants::UnknownDelayPerRequest;
    return std::min(*m_costPerMegabyte * (service.expectedBytes(request) / bytesPerMegabyte)
                        / perRequest,
                    Constants::MaxRemoteWeight);
}

auto ServerSelector::weigh(const RequestProfile *request, TimePoint now) const -> SelectionWeights
{
    SelectionWeights weights;
    weights.now = now;
    weights.remoteWeight = Constants::UsualRemoteWeight;
    weights.maxRemoteWeight =
        m_costPerMegabyte ? Constants::MaxRemoteWeight : Constants::MaxUsualRemoteWeight;
    if (!request)
        return weights;
    weights.requestTokens = request->promptTokens + request->maxAnswerTokens;
    const auto found = m_services.find(request->service);
    if (found == m_services.end())
        return weights;
    const ServiceModel &service = found->second;
    const DelayModel *delays = service.beginningOf(request->model);
    weights.medianBeginning = service.medianBeginning();
    weights.medianPerEvent = service.medianPerEvent();
    weights.requestTokens = service.expectedTokens(*request);
    weights.meanTokens = service.meanTokens();
    weights.remoteWeight = remoteWeight(service, *request, delays);
    if (!service.domain().mayLeave(request->identity))
        weights.holdBack = Constants::HoldBackWeight;
    if (!delays)
        return weights;
    weights.idleLoad = delays->idleLoad();
    weights.perConnectMs = Milliseconds(1) / delays->perRequest();
    weights.perCachedToken = delays->perToken() / delays->perRequest();
    if (weights.perCachedToken > 0 && !request->prefixes.empty())
        weights.holders = m_promptCaches.find(*request, now);
    return weights;
}

auto ServerSelector::noteSent(const RequestProfile &request, RunningRequest &run,
                              ServerState &server) -> void
{
    ServiceModel &service = serviceOf(request.service);
    run.reservedTokens = service.expectedTokens(request);
    server.tokens.add(run.reservedTokens);
    const double cached = m_promptCaches.find(request, run.sentAt).tokensAt(server.handle);
    run.tokensToRead = std::max(0.0, request.promptTokens - cached);
    m_promptCaches.note(request, server.handle, run.sentAt);
    service.noteSent(request, run);
}

auto ServerSelector::noteEvents(const RequestProfile &request, RunningRequest &run,
                                ServerState &server, int count, TimePoint now) -> void
{
    if (run.noteEvents(count, now))
        serviceOf(request.service).noteBegun(request, run, server);
    growReservation(request, run, server);
}

auto ServerSelector::growReservation(const RequestProfile &request, RunningRequest &run,
                                     ServerState &server) -> void
{
    if (request.promptTokens + run.events <= run.reservedTokens)
        return;
    // Answers that outgrow their estimate are often much longer.
    const double outgrown = request.promptTokens + run.events * Constants::OutgrownAnswerFactor;
    const double reserved = std::max(
        run.reservedTokens, std::min(outgrown, request.promptTokens + request.maxAnswerTokens));
    server.tokens.add(reserved - run.reservedTokens);
    run.reservedTokens = reserved;
}

auto ServerSelector::noteEnded(const RequestProfile &request, const RunningRequest &run,
                               ServerState &server, bool isComplete) -> void
{
    server.tokens.remove(run.reservedTokens);
    if (isComplete)
        serviceOf(request.service).noteComplete(request, run, server);
}

auto ServerSelector::expectedTimeLeft(const RequestProfile &request, const RunningRequest &run,
                                      const ServerState &server, TimePoint now) const
    -> std::optional<Milliseconds>
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end())
        return {};
    return found->second.expectedTimeLeft(request, run, server, now);
}

auto ServerSelector::isObservationDue(const std::string &service, TimePoint now) const -> bool
{
    const DomainPolicy *domain = domainOf(service);
    return domain && domain->isDue(now);
}

auto ServerSelector::observe(const std::string &service, const std::vector<ServerView> &servers,
                             TimePoint now) -> bool
{
    ServiceModel &model = serviceOf(service);
    double cost = Constants::UsualRemoteWeight;
    if (m_costPerMegabyte)
        cost = remoteWeight(model, RequestProfile(), model.anyBeginning());
    return model.observe(servers, cost, now);
}

auto ServerSelector::domainOf(const std::string &service) const -> const DomainPolicy *
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second.domain();
}

} // namespace Routing
