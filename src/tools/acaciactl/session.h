#pragma once

#include <app/commandline.h>
#include <net/reactor.h>
#include <operations/fleetclient.h>
#include <utils/result.h>

#include <memory>
#include <string>

/// Exit codes beyond the common ones.
namespace CtlExitCode {
constexpr int Conflict = 3;
constexpr int StoreUnavailable = 4;
constexpr int NotAccepted = 5;
} // namespace CtlExitCode

/// One call of acaciactl: its words, its way to the fleet, and how it prints.
class Session
{
public:
    /// Opens the fleet that the settings file names.
    static auto open(const App::CommandLine &line)
        -> Utils::Result<std::unique_ptr<Session>, std::string>;

    auto line() const -> const App::CommandLine &;
    auto client() -> Operations::FleetClient &;
    auto isJson() const -> bool;
    /// Who gives the order.
    auto person() const -> std::string;

    /// Reads the control state; false, and an error printed, when the store does not answer.
    auto refresh() -> bool;
    /// Commits a proposal and waits for its acceptance; prints how it went and gives the exit code.
    auto commit(const Storage::Proposal &proposal) -> int;
    /// Asks the processes of a role and waits for the answers.
    auto queryAll(const std::string &role, const std::string &path, const nlohmann::json &query)
        -> std::map<std::string, nlohmann::json>;

private:
    explicit Session(const App::CommandLine &line);
    auto reportFailure(const Storage::ProposalError &error) const -> int;
    auto reportAcceptance(Control::Revision revision,
                          const Membership::AcceptanceReport &report) const -> int;

    App::CommandLine m_line;
    std::unique_ptr<Net::Reactor> m_reactor;
    std::unique_ptr<Operations::FleetClient> m_client;
};
