#include "backenddirectory.h"

#include "entryconstants.h"

#include <placement/permit.h>

#include <algorithm>
#include <utils/jsonfield.h>

namespace Entry {

using Utils::TimePoint;

namespace {

const std::string backendPrefix = "backend/";
/// Time for which a server that could not be reached is ranked last.
constexpr std::chrono::seconds unreachablePenalty(2);

} // namespace

BackendDirectory::BackendDirectory(std::unique_ptr<Placement::WakePolicy> policy,
                                   std::string ownDomain)
    : m_policy(std::move(policy))
    , m_ownDomain(std::move(ownDomain))
{ }

auto BackendDirectory::setInstanceStatuses(const Storage::InstanceStatuses &statuses) -> void
{
    m_statuses = statuses;
}

auto BackendDirectory::recordAnswer(const std::string &server, const std::string &model, int queued,
                                    TimePoint now) -> void
{
    Observation &observation = m_observations[server];
    observation.queued = queued;
    observation.at = now;
    observation.unreachableAt = TimePoint();
    if (!model.empty())
        observation.loadedAt[model] = now;
}

auto BackendDirectory::recordRefusal(const std::string &server, const std::string &model) -> void
{
    m_observations[server].loadedAt.erase(model);
}

auto BackendDirectory::recordUnreachable(const std::string &server, TimePoint now) -> void
{
    m_observations[server].unreachableAt = now;
}

auto BackendDirectory::isUsable(const Control::ControlState &state, const std::string &server,
                                const std::set<std::string> &excluded) const -> bool
{
    const auto *item = state.item(backendPrefix + server);
    if (!item || excluded.count(server) > 0 || state.rules().drain(server)
        || Utils::fieldOr(item->value, "leaving", false))
        return false;
    const auto status = m_statuses.find(Utils::fieldOr(item->value, "agent", ""));
    return status == m_statuses.end() || status->second == Storage::InstanceStatus::Live;
}

auto BackendDirectory::rank(const Control::ControlState &state, const std::string &model,
                            const std::string &primary, const std::vector<std::string> &servers,
                            TimePoint now) const -> std::vector<BackendChoice>
{
    std::vector<Placement::WakeCandidate> candidates;
    for (const auto &server : servers) {
        Placement::WakeCandidate candidate;
        candidate.server = server;
        candidate.isPrimary = server == primary;
        candidate.isInCallersDomain =
            Utils::fieldOr(state.item(backendPrefix + server)->value, "failureDomain", "")
            == m_ownDomain;
        const auto found = m_observations.find(server);
        if (found != m_observations.end()
            && now - found->second.at < Constants::ObservationLifetime) {
            candidate.queuedRequests = found->second.queued;
            const auto loaded = found->second.loadedAt.find(model);
            candidate.isLoaded = loaded != found->second.loadedAt.end()
                && now - loaded->second < Constants::ObservationLifetime;
        }
        candidates.push_back(candidate);
    }
    std::vector<BackendChoice> choices;
    std::vector<BackendChoice> unreachable;
    for (const auto &server : m_policy->rank(model, std::move(candidates))) {
        const auto found = m_observations.find(server);
        const bool isUnreachable = found != m_observations.end()
            && found->second.unreachableAt != TimePoint()
            && now - found->second.unreachableAt < unreachablePenalty;
        const auto &item = state.item(backendPrefix + server)->value;
        (isUnreachable ? unreachable : choices)
            .push_back({server, Utils::fieldOr(item, "address", "")});
    }
    choices.insert(choices.end(), unreachable.begin(), unreachable.end());
    return choices;
}

auto BackendDirectory::forModel(const Control::ControlState &state, const std::string &model,
                                const std::set<std::string> &excluded, TimePoint now) const
    -> std::vector<BackendChoice>
{
    const auto *item = state.item(Placement::permitItemKey(model));
    const auto permit = item ? Placement::permitFromJson(item->value) : std::nullopt;
    std::vector<std::string> servers;
    for (const auto &server : permit ? permit->granted : std::set<std::string>()) {
        if (isUsable(state, server, excluded))
            servers.push_back(server);
    }
    return rank(state, model, permit ? permit->primary : std::string(), servers, now);
}

auto BackendDirectory::forService(const Control::ControlState &state, const std::string &service,
                                  const std::set<std::string> &excluded, TimePoint now) const
    -> std::vector<BackendChoice>
{
    std::vector<std::string> servers;
    for (const auto &[server, item] : state.itemsUnder(backendPrefix)) {
        const bool fits = Utils::fieldOr(item->value, "kind", "") == "service"
            && Utils::fieldOr(item->value, "group", "") == service;
        if (fits && isUsable(state, server, excluded))
            servers.push_back(server);
    }
    return rank(state, {}, {}, servers, now);
}

} // namespace Entry
