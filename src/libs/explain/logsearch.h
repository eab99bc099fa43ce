#pragma once

#include "logfiles.h"
#include "losscounter.h"
#include "requestexplanation.h"

namespace Explain {

/// Why a search of the logs failed.
struct LogError
{
    enum class Kind {
        Unusable, ///< The logs can't be read or are not logs of gateways.
        UnknownRequest,
    };
    Kind kind = Kind::Unusable;
    std::string message;
};

/// Collects a request's lines and their context; reads the logs once.
auto explainRequest(const LogFiles &logs, const std::string &id, const LateLimits &limits)
    -> Utils::Result<RequestExplanation, LogError>;

/// What `acaciactl losses` prints.
struct LossReport
{
    std::string text;
    nlohmann::json json;
};

/// Counts the requests that were not served or served late; reads the logs twice.
auto countLosses(const LogFiles &logs, const LateLimits &limits)
    -> Utils::Result<LossReport, LogError>;

} // namespace Explain
