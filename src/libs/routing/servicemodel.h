#pragma once

#include "delaymodel.h"
#include "domainpolicy.h"
#include "requestprofile.h"
#include "serverstate.h"

#include <utils/timepoint.h>

#include <map>
#include <string>
#include <vector>

namespace Routing {

/// What is measured about the requests of one service as a whole.
class ServiceModel
{
public:
    explicit ServiceModel(std::uint64_t seed);

    /// Tokens that the answer is expected to have.
    auto expectedAnswerTokens(const RequestProfile &request) const -> double;
    /// Tokens that the request is expected to hold in its server's memory at its end.
    auto expectedTokens(const RequestProfile &request) const -> double;
    /// Bytes of the request and its expected answer, relative to the mean.
    auto relativeBytes(const RequestProfile &request) const -> double;
    auto expectedBytes(const RequestProfile &request) const -> double;
    auto meanTokens() const -> double { return m_meanTokens; }
    /// Null before responses of the model were measured.
    auto beginningOf(const std::string &model) const -> const DelayModel *;
    /// Of any model: models differ in length rather than in how their delay grows with load.
    auto anyBeginning() const -> const DelayModel *;
    auto medianBeginning() const -> double { return m_medianBeginning; }
    auto medianPerEvent() const -> double { return m_medianPerEvent; }
    auto domain() const -> const DomainPolicy & { return m_domain; }

    auto noteSent(const RequestProfile &request, const RunningRequest &run) -> void;
    auto noteBegun(const RequestProfile &request, const RunningRequest &run, ServerState &server)
        -> void;
    auto noteComplete(const RequestProfile &request, const RunningRequest &run, ServerState &server)
        -> void;
    /// Expected time until the answer is complete; unset before it can be estimated.
    auto expectedTimeLeft(const RequestProfile &request, const RunningRequest &run,
                          const ServerState &server, Utils::TimePoint now) const
        -> std::optional<Milliseconds>;
    /// Looks at all servers of the service. Returns true if the share that may leave the failure
    /// domain has changed. `costWeight` is the cost of leaving it, in requests.
    auto observe(const std::vector<ServerView> &servers, double costWeight, Utils::TimePoint now)
        -> bool;

private:
    auto modelFor(std::map<std::string, DelayModel> &models, const std::string &name)
        -> DelayModel &;

    std::map<std::string, DelayModel> m_beginnings; ///< By model.
    std::map<std::string, DelayModel> m_perEvent; ///< By model.
    double m_medianBeginning = 1;
    double m_medianPerEvent = 1;
    double m_meanTokens = 0;
    double m_meanAnswerTokens = 0;
    double m_meanRequestBytes = 0;
    double m_meanAnswerBytes = 0;
    double m_hintRatio; ///< Mean of an answer's tokens relative to the hint.
    DomainPolicy m_domain;
};

} // namespace Routing
