#pragma once

#include "milliseconds.h"
#include "promptcacheindex.h"
#include "requestprofile.h"
#include "selectionweights.h"
#include "servicemodel.h"

#include <utils/timepoint.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// Weighs the servers for a request by what one gateway has measured: speed, memory, prompt caches,
/// and whether leaving the failure domain pays off. Knows no network and reads no clock.
class ServerSelector
{
public:
    /// `seed` differs between gateways.
    explicit ServerSelector(std::uint64_t seed);

    /// Delay that is accepted to save a megabyte sent between failure domains. Unset, the mean
    /// request of a service leaves its domain to save the delay of three quarters of a request.
    auto setCrossDomainCost(std::optional<Milliseconds> perMegabyte) -> void;
    /// State of a new incarnation of a server.
    auto makeState() -> ServerState;

    /// `request` may be null.
    auto weigh(const RequestProfile *request, Utils::TimePoint now) const -> SelectionWeights;

    /// The request was sent; `run.load`, `run.isRemote` and `run.sentAt` are set.
    auto noteSent(const RequestProfile &request, RunningRequest &run, ServerState &server) -> void;
    /// Events of the answer have arrived, or the head of an answer in one piece.
    auto noteEvents(const RequestProfile &request, RunningRequest &run, ServerState &server,
                    int count, Utils::TimePoint now) -> void;
    /// `isComplete` is true if the whole answer was received and is valid.
    auto noteEnded(const RequestProfile &request, const RunningRequest &run, ServerState &server,
                   bool isComplete) -> void;
    /// Expected time until the answer is complete; unset before it can be estimated.
    auto expectedTimeLeft(const RequestProfile &request, const RunningRequest &run,
                          const ServerState &server, Utils::TimePoint now) const
        -> std::optional<Milliseconds>;

    auto isObservationDue(const std::string &service, Utils::TimePoint now) const -> bool;
    /// Returns true if the share that may leave the failure domain has changed.
    auto observe(const std::string &service, const std::vector<ServerView> &servers,
                 Utils::TimePoint now) -> bool;
    /// Null for a service without requests.
    auto domainOf(const std::string &service) const -> const DomainPolicy *;

private:
    auto serviceOf(const std::string &name) -> ServiceModel &;
    /// Reserves more memory if the answer is longer than expected.
    static auto growReservation(const RequestProfile &request, RunningRequest &run,
                                ServerState &server) -> void;
    auto remoteWeight(const ServiceModel &service, const RequestProfile &request,
                      const DelayModel *delays) const -> double;

    std::uint64_t m_seed = 0;
    std::uint32_t m_lastHandle = 0;
    std::optional<Milliseconds> m_costPerMegabyte;
    std::map<std::string, ServiceModel> m_services;
    PromptCacheIndex m_promptCaches;
};

} // namespace Routing
