#pragma once

#include "requestend.h"
#include "timeline.h"

#include <vector>

namespace Explain {

/// Something that happened to a request or round it.
struct ExplanationRow
{
    std::chrono::milliseconds time{0};
    std::string text;
    bool isOfRequest = false;
};

/// What happened to the request and round it, in order of time. Where there is too much for a
/// screen, what is farthest from the request's last end is left out and counted.
struct ExplanationRows
{
    std::vector<ExplanationRow> rows;
    size_t leftOut = 0;

    static auto create(const std::vector<LogLine> &lines, const std::vector<RequestEnd> &ends,
                       const Timeline &timeline) -> ExplanationRows;
};

auto eventName(Utils::Event event) -> std::string;

} // namespace Explain
