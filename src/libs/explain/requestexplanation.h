#pragma once

#include "causefinder.h"
#include "explanationrows.h"

namespace Explain {

/// A request's way from its id to its cause, for one screen.
class RequestExplanation
{
public:
    /// `lines` are all that name the request; there must be one at least.
    static auto create(const std::string &id, std::vector<LogLine> lines, const Timeline &timeline,
                       const CauseFinder &finder) -> RequestExplanation;

    auto text() const -> std::string;
    auto toJson() const -> nlohmann::json;

private:
    /// How it ended at one gateway and why, and what was known there.
    struct Ending
    {
        RequestEnd end;
        Finding finding; ///< Without a cause if it was served in time.
        std::vector<std::string> inputs;
    };

    std::string m_id;
    std::chrono::milliseconds m_begin{0};
    std::vector<Ending> m_endings;
    ExplanationRows m_rows;
    std::vector<std::string> m_notes;
};

} // namespace Explain
