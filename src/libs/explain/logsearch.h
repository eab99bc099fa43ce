#pragma once

#include "logfiles.h"
#include "losscounter.h"
#include "requestexplanation.h"

namespace Explain {

/// Why logs tell nothing.
struct LogError
{
    enum class Kind {
        Unusable, ///< They can't be read, or are no logs of gateways.
        UnknownRequest,
    };
    Kind kind = Kind::Unusable;
    std::string message;
};

/// Follows a request through the logs, which are read once.
auto explainRequest(const LogFiles &logs, const std::string &id, const LateLimits &limits)
    -> Utils::Result<RequestExplanation, LogError>;

/// What `acaciactl losses` prints.
struct LossReport
{
    std::string text;
    nlohmann::json json;
};

/// Counts losses in the logs, which are read twice.
auto countLosses(const LogFiles &logs, const LateLimits &limits)
    -> Utils::Result<LossReport, LogError>;

} // namespace Explain
