#pragma once

#include "causefinder.h"

#include <map>

namespace Explain {

/// The requests that share one cause.
struct Loss
{
    size_t count = 0;
    std::string example; ///< The id of one of them.
    std::map<std::string, size_t> outcomes;
};

/// Counts by cause the requests that were not served or served late.
class LossCounter
{
public:
    /// `timeline` and `finder` must outlive the counter.
    LossCounter(const Timeline &timeline, const CauseFinder &finder);

    /// Adds any line of a log. The timeline must be complete already.
    auto addLine(std::string_view line) -> void;

    auto servedInTime() const -> size_t;
    auto servedLate() const -> size_t;
    auto notServed() const -> size_t;
    /// By the name of the cause; the counts add up to `notServed`.
    auto notServedByCause() const -> const std::map<std::string, Loss> &;
    /// The counts add up to `servedLate`.
    auto lateByCause() const -> const std::map<std::string, Loss> &;

    auto text() const -> std::string;
    auto toJson() const -> nlohmann::json;

private:
    auto addServedLine(std::string_view object) -> void;
    auto count(const LogLine &line) -> void;

    const Timeline &m_timeline;
    const CauseFinder &m_finder;
    size_t m_servedInTime = 0;
    size_t m_servedLate = 0;
    size_t m_notServed = 0;
    std::map<std::string, Loss> m_notServedByCause;
    std::map<std::string, Loss> m_lateByCause;
    /// Failures of requests that have not ended, by gateway and id.
    std::map<std::string, RequestFailures> m_failures;
};

} // namespace Explain
