#include "sharescheduler.h"

#include "admissionconstants.h"

#include <algorithm>
#include <tuple>

namespace Admission {

using Utils::TimePoint;

namespace {

/// Part of the average ratio of served requests that each group gets. The requirement is a quarter;
/// a group's ratio varies with the few requests that it is counted from.
constexpr double ReservedPart = 0.5;
/// The same for the largest tenth of a route, relative to the route; the requirement is a half.
constexpr double ReservedPartOfLarge = 0.75;
/// A route comes last unless the more urgent ones are served more often by at least this part of
/// their requests. The requirement is a lead of at most 0.05 of the less urgent route; requests
/// that wait longer find slots more often at gateways where no urgent one waits, which gave a lead
/// of 0.06 without this margin.
constexpr double MinLeadOfMoreUrgent = 0.05;
/// A group gets a preferred slot once it lacks this much of one.
constexpr double MinDeficit = 0.5;
/// The same of a model or an adapter: a single request for one that was loaded for it counts.
constexpr double MinDeficitOfModel = 0.1;
/// Groups of a service with fewer requests than this in the window are forgotten.
constexpr double NegligibleRequests = 0.01;
constexpr size_t MaxGroups = 4096;

} // namespace

auto makeShareScheduler() -> std::unique_ptr<RequestScheduler>
{
    return std::make_unique<ShareScheduler>();
}

auto ShareScheduler::sharesOf(ServiceState &service, const WaitingRequest &request)
    -> std::array<std::shared_ptr<Share>, GroupCount>
{
    std::array<std::shared_ptr<Share>, GroupCount> shares;
    const auto find = [&](Group group, const std::string &name) {
        auto &share = service.groups[group][name];
        if (!share)
            share = std::make_shared<Share>();
        shares[group] = share;
    };
    find(RouteGroup, request.route);
    if (!request.customer.empty())
        find(CustomerGroup, request.customer);
    if (!request.model.empty())
        find(ModelGroup, request.model);
    if (!request.adapter.empty())
        find(AdapterGroup, request.model + '/' + request.adapter);
    if (service.routes[request.route].profile.isLarge(request.size))
        find(LargeGroup, request.route);
    return shares;
}

auto ShareScheduler::prune(ServiceState &service, TimePoint now) -> void
{
    for (auto &group : service.groups) {
        if (group.size() <= MaxGroups)
            continue;
        std::erase_if(group, [now](const auto &item) {
            return item.second.use_count() == 1 && item.second->arrived(now) < NegligibleRequests;
        });
    }
}

auto ShareScheduler::noteArrived(const WaitingRequest &request, TimePoint now) -> void
{
    ServiceState &service = m_services[request.service];
    RouteState &route = service.routes[request.route];
    route.priority = request.routePriority;
    route.profile.noteSize(request.size);
    service.all.noteArrived(now);
    prune(service, now);
    for (const auto &share : sharesOf(service, request)) {
        if (share)
            share->noteArrived(now);
    }
}

auto ShareScheduler::noteSent(const WaitingRequest &request, TimePoint now) -> void
{
    ServiceState &service = m_services[request.service];
    const auto waiting = m_entries.find(request.id);
    if (waiting != m_entries.end())
        waiting->second.isSent = true;
    service.all.noteServed(now);
    for (const auto &share : sharesOf(service, request)) {
        if (share)
            share->noteServed(now);
    }
}

auto ShareScheduler::noteAnswered(const WaitingRequest &request, Utils::Duration taken) -> void
{
    m_services[request.service].routes[request.route].profile.noteAnswered(request.size, taken);
}

auto ShareScheduler::add(const WaitingRequest &request) -> void
{
    Entry entry;
    entry.request = request;
    entry.sequence = m_nextSequence++;
    entry.service = &m_services[request.service];
    entry.route = &entry.service->routes[request.route];
    entry.groups = sharesOf(*entry.service, request);
    ++entry.service->waitingByPool[request.pool()];
    ++entry.service->waitingByRoute[request.route];
    m_entries.emplace(request.id, std::move(entry));
}

auto ShareScheduler::remove(std::uint64_t id, TimePoint now) -> void
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    const WaitingRequest &request = found->second.request;
    if (!found->second.isSent) {
        for (const auto &share : found->second.groups) {
            if (share)
                share->noteLost(now);
        }
    }
    const auto decrement = [](std::map<std::string, int> &counts, const std::string &key) {
        const auto count = counts.find(key);
        if (--count->second == 0)
            counts.erase(count);
    };
    decrement(found->second.service->waitingByPool, request.pool());
    decrement(found->second.service->waitingByRoute, request.route);
    m_entries.erase(found);
}

auto ShareScheduler::find(std::uint64_t id) const -> const WaitingRequest *
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.request;
}

auto ShareScheduler::hasClaimBefore(const WaitingRequest &request, TimePoint now) const -> bool
{
    const auto found = m_services.find(request.service);
    if (found == m_services.end() || found->second.waitingByPool.empty())
        return false;
    // Models share the slots of their servers.
    return found->second.overloadedUntil > now
        || found->second.waitingByPool.count(request.pool()) > 0;
}

auto ShareScheduler::waitingByRoute() const -> std::map<std::string, int>
{
    std::map<std::string, int> all;
    for (const auto &[name, service] : m_services) {
        for (const auto &[route, state] : service.routes) {
            const auto found = service.waitingByRoute.find(route);
            all[route] += found == service.waitingByRoute.end() ? 0 : found->second;
        }
    }
    return all;
}

auto ShareScheduler::oldestArrival() const -> std::optional<TimePoint>
{
    std::optional<TimePoint> oldest;
    for (const auto &[id, entry] : m_entries)
        oldest = std::min(oldest.value_or(entry.request.arrivedAt), entry.request.arrivedAt);
    return oldest;
}

/// Finds the routes that are served more often than a more urgent route with waiting requests.
auto ShareScheduler::markRoutesAhead(ServiceState &service, TimePoint now) -> void
{
    const auto ratioOf = [&](const std::string &route) {
        const auto found = service.groups[RouteGroup].find(route);
        return found == service.groups[RouteGroup].end() || found->second->arrived(now) < 1
            ? 1.0
            : found->second->endedRatio();
    };
    for (auto &item : service.routes) {
        RouteState &route = item.second;
        const double ratio = ratioOf(item.first);
        route.isAhead = std::any_of(service.waitingByRoute.begin(), service.waitingByRoute.end(),
                                    [&](const auto &other) {
                                        return service.routes[other.first].priority < route.priority
                                            && ratioOf(other.first) < ratio + MinLeadOfMoreUrgent;
                                    });
    }
}

auto ShareScheduler::classify(Entry &entry, TimePoint now) const -> void
{
    const WaitingRequest &request = entry.request;
    entry.tier = Tier::OnTime;
    entry.due = request.objective;
    if (entry.service->overloadedUntil <= now)
        return;
    const RouteProfile &profile = entry.route->profile;
    const auto taken = profile.expectedTime(request.size);
    // A request that holds its slot for longer than usual is due later by that time.
    entry.due += taken - profile.meanTime();
    entry.tier = entry.route->isAhead     ? Tier::AheadOfMoreUrgent
        : now + taken > request.objective ? Tier::Late
                                          : Tier::OnTime;
}

auto ShareScheduler::precedes(const Entry *left, const Entry *right) -> bool
{
    const auto key = [](const Entry *entry) {
        return std::tuple(entry->tier, entry->request.customerPriority,
                          entry->request.routePriority, entry->due, entry->sequence);
    };
    return key(left) < key(right);
}

auto ShareScheduler::reservedPart(const Entry &entry, size_t group) -> double
{
    return group == LargeGroup ? ReservedPartOfLarge * entry.groups[RouteGroup]->ratio()
                               : ReservedPart * entry.service->all.ratio();
}

/// True if one of the request's groups has a reserved slot left; uses it up.
auto ShareScheduler::takesReserved(Entry &entry, TimePoint now) -> bool
{
    bool isReserved = false;
    for (size_t group = 0; group < GroupCount; ++group) {
        Share *share = entry.groups[group].get();
        if (!share)
            continue;
        if (!share->hasQuota) {
            share->hasQuota = true;
            share->quota = share->deficit(reservedPart(entry, group), now);
        }
        const bool isModel = group == ModelGroup || group == AdapterGroup;
        isReserved = isReserved || share->quota >= (isModel ? MinDeficitOfModel : MinDeficit);
    }
    if (!isReserved)
        return false;
    for (const auto &share : entry.groups) {
        if (share)
            share->quota -= 1;
    }
    return true;
}

auto ShareScheduler::order(TimePoint now) -> std::vector<std::uint64_t>
{
    std::vector<Entry *> entries;
    entries.reserve(m_entries.size());
    for (auto &[id, entry] : m_entries) {
        entries.push_back(&entry);
        if (entry.request.objective < now)
            entry.service->overloadedUntil = now + Constants::OverloadMemory;
    }
    for (auto &[name, service] : m_services) {
        if (service.overloadedUntil > now)
            markRoutesAhead(service, now);
    }
    for (Entry *entry : entries) {
        classify(*entry, now);
        for (const auto &share : entry->groups) {
            if (share)
                share->hasQuota = false;
        }
    }
    std::sort(entries.begin(), entries.end(), precedes);
    bool hasReserved = false;
    for (Entry *entry : entries) {
        if (entry->service->overloadedUntil <= now || !takesReserved(*entry, now))
            continue;
        entry->tier = Tier::Reserved;
        hasReserved = true;
    }
    if (hasReserved)
        std::sort(entries.begin(), entries.end(), precedes);
    std::vector<std::uint64_t> ids;
    ids.reserve(entries.size());
    for (const Entry *entry : entries)
        ids.push_back(entry->request.id);
    return ids;
}

} // namespace Admission
