#pragma once

#include "causefinder.h"
#include "explanationrows.h"

namespace Explain {

/// Explains how one request ended and why, short enough for one screen.
class RequestExplanation
{
public:
    /// `lines` are all lines that name the request; there must be at least one.
    static auto create(const std::string &id, std::vector<LogLine> lines, const Timeline &timeline,
                       const CauseFinder &finder) -> RequestExplanation;

    auto text() const -> std::string;
    auto toJson() const -> nlohmann::json;

private:
    /// How and why the request ended at one gateway, and the state known there.
    struct Ending
    {
        RequestEnd end;
        Finding finding; ///< Has no cause if the request was served in time.
        std::vector<std::string> inputs;
    };

    std::string m_id;
    std::chrono::milliseconds m_begin{0};
    std::vector<Ending> m_endings;
    ExplanationRows m_rows;
    std::vector<std::string> m_notes;
};

} // namespace Explain
