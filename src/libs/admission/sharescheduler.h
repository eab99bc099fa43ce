#pragma once

#include "requestscheduler.h"
#include "routeprofile.h"
#include "servedshare.h"

#include <array>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace Admission {

/// While a service is overloaded: first the requests of groups that got less than their reserved
/// share, then those that can meet their objective, then the late ones; within each part by
/// customer priority, route priority and objective. A route that is served more often than a more
/// urgent one comes last. Otherwise by customer priority, route priority and objective alone.
class ShareScheduler : public RequestScheduler
{
public:
    auto noteArrived(const WaitingRequest &request, Utils::TimePoint now) -> void override;
    auto noteSent(const WaitingRequest &request, Utils::TimePoint now) -> void override;
    auto noteAnswered(const WaitingRequest &request, Utils::Duration taken) -> void override;
    auto add(const WaitingRequest &request) -> void override;
    auto remove(std::uint64_t id, Utils::TimePoint now) -> void override;
    auto find(std::uint64_t id) const -> const WaitingRequest * override;
    auto hasClaimBefore(const WaitingRequest &request, Utils::TimePoint now) const -> bool override;
    auto order(Utils::TimePoint now) -> std::vector<std::uint64_t> override;
    auto waitingByRoute() const -> std::map<std::string, int> override;
    auto oldestArrival() const -> std::optional<Utils::TimePoint> override;

private:
    enum class Tier { Reserved, OnTime, Late, AheadOfMoreUrgent };
    enum Group { RouteGroup, CustomerGroup, ModelGroup, AdapterGroup, LargeGroup, GroupCount };

    struct Share : ServedShare
    {
        double quota = 0; ///< Requests that are still to be preferred in the current pass.
        bool hasQuota = false;
    };

    struct RouteState
    {
        RouteProfile profile;
        int priority = 0;
        bool isAhead = false; ///< Served more often than a more urgent route that waits.
    };

    struct ServiceState
    {
        Share all;
        std::map<std::string, RouteState> routes;
        std::array<std::map<std::string, std::shared_ptr<Share>>, GroupCount> groups;
        Utils::TimePoint overloadedUntil;
        std::map<std::string, int> waitingByPool;
        std::map<std::string, int> waitingByRoute;
    };

    struct Entry
    {
        WaitingRequest request;
        std::uint64_t sequence = 0;
        ServiceState *service = nullptr;
        RouteState *route = nullptr;
        std::array<std::shared_ptr<Share>, GroupCount> groups; ///< Null if not applicable.
        bool isSent = false;
        Tier tier = Tier::OnTime;
        Utils::TimePoint due;
    };

    static auto precedes(const Entry *left, const Entry *right) -> bool;
    static auto sharesOf(ServiceState &service, const WaitingRequest &request)
        -> std::array<std::shared_ptr<Share>, GroupCount>;
    static auto prune(ServiceState &service, Utils::TimePoint now) -> void;
    static auto markRoutesAhead(ServiceState &service, Utils::TimePoint now) -> void;
    static auto takesReserved(Entry &entry, Utils::TimePoint now) -> bool;
    static auto reservedPart(const Entry &entry, size_t group) -> double;
    auto classify(Entry &entry, Utils::TimePoint now) const -> void;

    std::map<std::string, ServiceState> m_services;
    std::map<std::uint64_t, Entry> m_entries;
    std::uint64_t m_nextSequence = 0;
};

} // namespace Admission
