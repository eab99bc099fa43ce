#pragma once

#include "requestend.h"
#include "timeline.h"

#include <vector>

namespace Explain {

/// Something that happened to a request or round it.
struct StoryRow
{
    std::chrono::milliseconds time{0};
    std::string text;
    bool isOfRequest = false;
};

/// What happened to the request and round it, in order of time. Where there is too much for a
/// screen, what is farthest from the request's last end is left out and counted.
struct StoryRows
{
    std::vector<StoryRow> rows;
    size_t leftOut = 0;

    static auto of(const std::vector<LogLine> &lines, const std::vector<RequestEnd> &ends,
                   const Timeline &timeline) -> StoryRows;
};

auto eventName(Utils::Event event) -> std::string;

} // namespace Explain
