#pragma once

#include <control/controlstate.h>
#include <placement/wakepolicy.h>
#include <storage/instancelist.h>
#include <utils/timepoint.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Entry {

/// A backend server that can take a request, with its agent's address.
struct BackendChoice
{
    std::string server;
    std::string agentAddress;
};

/// Lists the backend servers that can take a request, best first.
class BackendDirectory
{
public:
    BackendDirectory(std::unique_ptr<Placement::WakePolicy> policy, std::string ownDomain);

    auto setInstanceStatuses(const Storage::InstanceStatuses &statuses) -> void;
    /// Records the queue length that an answer reported, and that the server holds the model.
    auto recordAnswer(const std::string &server, const std::string &model, int queued,
                      Utils::TimePoint now) -> void;
    /// Record that the server does not have the model, or that it could not be reached.
    auto recordRefusal(const std::string &server, const std::string &model) -> void;
    auto recordUnreachable(const std::string &server, Utils::TimePoint now) -> void;

    auto forModel(const Control::ControlState &state, const std::string &model,
                  const std::set<std::string> &excluded, Utils::TimePoint now) const
        -> std::vector<BackendChoice>;
    auto forService(const Control::ControlState &state, const std::string &service,
                    const std::set<std::string> &excluded, Utils::TimePoint now) const
        -> std::vector<BackendChoice>;

private:
    struct Observation
    {
        int queued = 0;
        Utils::TimePoint at;
        Utils::TimePoint unreachableAt;
        std::map<std::string, Utils::TimePoint> loadedAt;
    };

    auto isUsable(const Control::ControlState &state, const std::string &server,
                  const std::set<std::string> &excluded) const -> bool;
    auto rank(const Control::ControlState &state, const std::string &model,
              const std::string &primary, const std::vector<std::string> &servers,
              Utils::TimePoint now) const -> std::vector<BackendChoice>;

    std::unique_ptr<Placement::WakePolicy> m_policy;
    std::string m_ownDomain;
    Storage::InstanceStatuses m_statuses;
    std::map<std::string, Observation> m_observations;
};

} // namespace Entry
