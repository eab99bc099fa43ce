#pragma once

#include "requestend.h"
#include "timeline.h"

#include <vector>

namespace Explain {

/// An event of a request or around it.
struct ExplanationRow
{
    std::chrono::milliseconds time{0};
    std::string text;
    bool isOfRequest = false;
};

/// The events of a request and around it, ordered by time. If they don't fit on a screen, those
/// farthest from the request's last end are left out and counted.
struct ExplanationRows
{
    std::vector<ExplanationRow> rows;
    size_t leftOut = 0;

    static auto create(const std::vector<LogLine> &lines, const std::vector<RequestEnd> &ends,
                       const Timeline &timeline) -> ExplanationRows;
};

auto eventName(Utils::Event event) -> std::string;

} // namespace Explain
