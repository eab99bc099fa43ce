#pragma once

#include "logline.h"

namespace Explain {

/// Failures that a request met before its end.
struct RequestFailures
{
    std::string failedServer; ///< The last server whose answer broke off or was lost.
    std::chrono::milliseconds failedAt{0};
    std::string pausedServer; ///< The last server that asked for a pause.
    std::string limitedServer; ///< The last server whose limit left no room for the request.
    std::string limitText; ///< That limit and the time until the next permit.
    bool isRetryDenied = false; ///< The retry budget was used up.

    /// Adds a line of the request other than its end.
    auto addLine(const LogLine &line) -> void;
};

/// Delays above which a request counts as served late.
struct LateLimits
{
    std::chrono::milliseconds answer{1000}; ///< To a stream's first event, or to a whole answer.
    std::chrono::milliseconds pause{1000}; ///< Between a stream's events.
};

/// How a request ended at one gateway.
struct RequestEnd
{
    std::string id;
    std::string gateway;
    std::string outcome;
    std::string route;
    std::string customer;
    std::string model;
    std::string server;
    std::int64_t status = 0;
    std::int64_t sends = 0;
    std::int64_t mayHaveRun = 0;
    std::int64_t configuration = 0;
    std::int64_t tokens = 0;
    std::int64_t charged = 0;
    bool isServed = false;
    std::chrono::milliseconds arrivedAt{0};
    std::chrono::milliseconds endedAt{0};
    std::chrono::milliseconds firstEvent{-1}; ///< Since the arrival; negative without any.
    std::chrono::milliseconds longestPause{0};
    RequestFailures failures;

    static auto isEnd(const LogLine &line) -> bool;
    static auto fromLine(const LogLine &line) -> RequestEnd;

    auto duration() const -> std::chrono::milliseconds;
    /// Time from the arrival to the first event of a stream or to the whole answer.
    auto answerTime() const -> std::chrono::milliseconds;
    auto isLate(const LateLimits &limits) const -> bool;
    auto baseModel() const -> std::string_view;
    auto adapter() const -> std::string_view;
};

} // namespace Explain
