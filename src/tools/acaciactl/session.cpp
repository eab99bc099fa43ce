#include "session.h"

#include <app/daemon.h>
#include <utils/settingsreader.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr std::chrono::seconds acceptanceTimeout(10);
constexpr std::chrono::seconds answerTimeout(2);

/// Starts `work` and runs the event loop until `work` calls its argument.
auto runUntilDone(Net::Reactor &reactor, const std::function<void(std::function<void()>)> &work)
    -> void
{
    work([&reactor] { reactor.stop(); });
    reactor.run();
    reactor.restart();
}

} // namespace

Session::Session(const App::CommandLine &line)
    : m_line(line)
{ }

auto Session::open(const App::CommandLine &line)
    -> Utils::Result<std::unique_ptr<Session>, std::string>
{
    const char *fromEnvironment = std::getenv("ACACIACTL_SETTINGS");
    const std::string path = line.value("settings", fromEnvironment ? fromEnvironment : "");
    if (path.empty())
        return tl::unexpected(std::string("expected --settings FILE or ACACIACTL_SETTINGS"));
    const auto reader = Utils::SettingsReader::fromFile(path);
    if (!reader)
        return tl::unexpected(reader.error());
    Operations::FleetClientSettings settings;
    settings.name = "acaciactl";
    settings.platformAddress = (*reader)->address("platformAddress", true);
    settings.fleetSecret = (*reader)->secretFile("fleetSecretFile");
    const auto errors = (*reader)->errors();
    if (!errors.empty())
        return tl::unexpected(errors.front());
    auto reactor = Net::Reactor::create();
    if (!reactor)
        return tl::unexpected(reactor.error());
    std::unique_ptr<Session> session(new Session(line));
    session->m_reactor = std::move(*reactor);
    session->m_client = std::make_unique<Operations::FleetClient>(*session->m_reactor, settings);
    return session;
}

auto Session::line() const -> const App::CommandLine &
{
    return m_line;
}

auto Session::client() -> Operations::FleetClient &
{
    return *m_client;
}

auto Session::isJson() const -> bool
{
    return m_line.has("json");
}

auto Session::person() const -> std::string
{
    const char *user = std::getenv("USER");
    return m_line.value("as", user ? user : "unknown");
}

auto Session::refresh() -> bool
{
    bool isRead = false;
    runUntilDone(*m_reactor, [&](const auto &stop) {
        m_client->refresh([&isRead, stop](const auto &result) {
            isRead = result.has_value();
            if (!isRead)
                std::cerr << "acaciactl: " << result.error() << '\n';
            stop();
        });
    });
    return isRead;
}

auto Session::commit(const Storage::Proposal &proposal) -> int
{
    Utils::Result<Control::Revision, Storage::ProposalError> outcome = Control::Revision(0);
    runUntilDone(*m_reactor, [&](const auto &stop) {
        m_client->propose(proposal, [&outcome, stop](const auto &result) {
            outcome = result;
            stop();
        });
    });
    if (!outcome)
        return reportFailure(outcome.error());
    Membership::AcceptanceReport report;
    runUntilDone(*m_reactor, [&](const auto &stop) {
        m_client->awaitAcceptance(*outcome, acceptanceTimeout, [&report, stop](const auto &result) {
            report = result;
            stop();
        });
    });
    return reportAcceptance(*outcome, report);
}

auto Session::reportFailure(const Storage::ProposalError &error) const -> int
{
    using Kind = Storage::ProposalError::Kind;
    std::cerr << "acaciactl: not applied: " << error.detail << '\n';
    if (error.mayHaveTakenEffect)
        std::cerr
            << "acaciactl: an attempt's answer was lost; it may still take effect: check history\n";
    return error.kind == Kind::Unavailable ? CtlExitCode::StoreUnavailable : CtlExitCode::Conflict;
}

auto Session::reportAcceptance(Control::Revision revision,
                               const Membership::AcceptanceReport &report) const -> int
{
    const std::string state = report.isAccepted ? "accepted" : "stored";
    if (isJson()) {
        const nlohmann::json body = {{"revision", revision},
                                     {"state", state},
                                     {"holders", report.holders},
                                     {"registered", report.registered}};
        std::cout << body.dump() << '\n';
    } else {
        std::cout << state << " as revision " << revision << ", held by " << report.holders
                  << " of " << report.registered << '\n';
    }
    return report.isAccepted ? App::ExitCode::Success : CtlExitCode::NotAccepted;
}

auto Session::queryAll(const std::string &role, const std::string &path,
                       const nlohmann::json &query) -> std::map<std::string, nlohmann::json>
{
    std::map<std::string, nlohmann::json> found;
    runUntilDone(*m_reactor, [&](const auto &stop) {
        m_client->queryAll(role, path, query, answerTimeout, [&found, stop](const auto &answers) {
            found = answers;
            stop();
        });
    });
    return found;
}
