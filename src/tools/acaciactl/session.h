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

/// One run of acaciactl: its arguments, its connection to the fleet and its output format.
class Session
{
public:
    /// Connects to the fleet that the settings file describes.
    static auto open(const App::CommandLine &line)
        -> Utils::Result<std::unique_ptr<Session>, std::string>;

    auto line() const -> const App::CommandLine &;
    auto client() -> Operations::FleetClient &;
    auto isJson() const -> bool;
    /// The person who asks for the change, as recorded in the history.
    auto person() const -> std::string;

    /// Reads the control state; prints an error and returns false if the store does not answer.
    auto refresh() -> bool;
    /// Commits a proposal, waits for its acceptance, prints the result and returns the exit code.
    auto commit(const Storage::Proposal &proposal) -> int;
    /// Queries the processes of a role and waits for the answers.
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
