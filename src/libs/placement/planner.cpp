#include "planner.h"

#include <utils/rendezvous.h>

#include <algorithm>

namespace Placement {

namespace {

/// Plans all models together, so that permits are spread by the memory that their models need.
class PlanRun
{
public:
    explicit PlanRun(const PlannerInput &input)
        : m_input(input)
    { }

    auto run() -> std::map<std::string, Permit>
    {
        for (const auto &[model, permit] : m_input.permits)
            m_permits[model] = withoutGoneServers(permit);
        for (const auto &[model, permit] : m_permits)
            countGrantedBytes(model, permit);
        for (const auto &[model, rule] : m_input.rules->models())
            planModel(rule.body);
        for (auto &[model, permit] : m_permits) {
            if (!m_input.rules->model(model))
                revokeAll(permit);
        }
        choosePrimaries();
        return changed();
    }

private:
    auto withoutGoneServers(Permit permit) const -> Permit
    {
        for (const auto &name : m_input.goneServers) {
            permit.granted.erase(name);
            permit.revoked.erase(name);
        }
        return permit;
    }

    auto countGrantedBytes(const std::string &model, const Permit &permit) -> void
    {
        const auto *rule = m_input.rules->model(model);
        for (const auto &name : permit.granted)
            m_grantedBytes[name] += rule ? rule->body.memoryBytes : 0;
    }

    auto grantedMemoryShare(const PlannedServer &server) const -> double
    {
        const auto found = m_grantedBytes.find(server.name);
        const double bytes =
            found == m_grantedBytes.end() ? 0.0 : static_cast<double>(found->second);
        return bytes / static_cast<double>(server.memoryBytes);
    }

    static auto stableOrder(const Rules::ModelRule &rule, const std::string &serverName)
        -> std::uint64_t
    {
        return Utils::stableHash(rule.name + "\n" + serverName);
    }

    static auto isSuitable(const Rules::ModelRule &rule, const PlannedServer &server) -> bool
    {
        return !server.isLeaving && server.group == rule.engines
            && server.memoryBytes >= rule.memoryBytes;
    }

    auto isSuitable(const Rules::ModelRule &rule, const std::string &serverName) const -> bool
    {
        const auto found = m_input.servers.find(serverName);
        return found != m_input.servers.end() && isSuitable(rule, found->second);
    }

    static auto revoke(Permit &permit, const std::string &serverName) -> void
    {
        permit.granted.erase(serverName);
        permit.revoked.insert(serverName);
    }

    static auto revokeAll(Permit &permit) -> void
    {
        const auto granted = permit.granted;
        for (const auto &name : granted)
            revoke(permit, name);
    }

    auto planModel(const Rules::ModelRule &rule) -> void
    {
        Permit &permit = m_permits[rule.name];
        const auto granted = permit.granted;
        for (const auto &name : granted) {
            if (!isSuitable(rule, name))
                revoke(permit, name);
        }
        const auto replicas = static_cast<size_t>(rule.replicas);
        while (permit.granted.size() > replicas)
            revoke(permit, *permit.granted.rbegin());
        while (permit.holderCount() < replicas) {
            const std::string next = bestServer(rule, permit);
            if (next.empty())
                return;
            permit.granted.insert(next);
            m_grantedBytes[next] += rule.memoryBytes;
        }
    }

    /// Spreads the models' primary servers evenly by memory; existing valid primaries stay.
    auto choosePrimaries() -> void
    {
        std::map<std::string, std::uint64_t> bytes;
        for (const auto &[model, permit] : m_permits) {
            const auto *rule = m_input.rules->model(model);
            if (rule && permit.granted.count(permit.primary) > 0)
                bytes[permit.primary] += rule->body.memoryBytes;
        }
        for (auto &[model, permit] : m_permits) {
            const auto *rule = m_input.rules->model(model);
            if (!rule || permit.granted.empty()) {
                permit.primary.clear();
            } else if (permit.granted.count(permit.primary) == 0) {
                permit.primary = *std::min_element(
                    permit.granted.begin(), permit.granted.end(),
                    [&bytes](const auto &a, const auto &b) { return bytes[a] < bytes[b]; });
                bytes[permit.primary] += rule->body.memoryBytes;
            }
        }
    }

    auto domainsOf(const Permit &permit) const -> std::set<std::string>
    {
        std::set<std::string> domains;
        for (const auto &name : permit.granted)
            domains.insert(m_input.servers.at(name).failureDomain);
        return domains;
    }

    /// Prefers a failure domain without a holder, then the lowest share of granted memory, then the
    /// stable hash order.
    auto bestServer(const Rules::ModelRule &rule, const Permit &permit) const -> std::string
    {
        const auto domains = domainsOf(permit);
        std::string best;
        std::pair<bool, double> bestRank;
        for (const auto &[name, server] : m_input.servers) {
            if (!isSuitable(rule, server) || permit.granted.count(name) > 0
                || permit.revoked.count(name) > 0)
                continue;
            const std::pair rank(domains.count(server.failureDomain) > 0,
                                 grantedMemoryShare(server));
            const bool isBetter = best.empty() || rank < bestRank
                || (rank == bestRank && stableOrder(rule, name) < stableOrder(rule, best));
            if (!isBetter)
                continue;
            best = name;
            bestRank = rank;
        }
        return best;
    }

    auto changed() const -> std::map<std::string, Permit>
    {
        std::map<std::string, Permit> result;
        for (const auto &[model, permit] : m_permits) {
            const auto before = m_input.permits.find(model);
            const bool isSame = before == m_input.permits.end() ? permit.holderCount() == 0
                                                                : before->second == permit;
            if (!isSame)
                result[model] = permit;
        }
        return result;
    }

    const PlannerInput &m_input;
    std::map<std::string, Permit> m_permits;
    std::map<std::string, std::uint64_t> m_grantedBytes;
};

} // namespace

auto planPermits(const PlannerInput &input) -> std::map<std::string, Permit>
{
    return PlanRun(input).run();
}

} // namespace Placement
